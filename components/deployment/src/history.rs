//! Checks the outcomes that callers saw against the execution logs of the servers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::caller::RequestOutcome;

/// A request sent once to an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Address of the entry VM.
    pub address: SocketAddr,
    /// Outcome that the caller saw; `Unknown(0)` without a response.
    pub outcome: RequestOutcome,
}

/// All attempts with the same ticket or key, or of the same idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Execution id, unique among operations.
    pub id: Box<str>,
    /// Whether it must be executed at most once.
    pub binding: bool,
    /// Start of the first attempt. The look-up comes before it, so the ticket is older.
    pub started_at: Instant,
    /// Attempts in the order in which they ended.
    pub attempts: Vec<Attempt>,
}

/// Counts of a history and all violations found in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryReport {
    /// Number of operations with at least one attempt.
    pub operations: usize,
    /// Number of binding operations among them.
    pub binding: usize,
    pub attempts: usize,
    /// Attempts with a complete response.
    pub complete: usize,
    /// Attempts refused without being executed, by result code.
    pub not_run: BTreeMap<u16, usize>,
    /// Attempts with an unknown outcome, by result code; 0 without a response.
    pub unknown: BTreeMap<u16, usize>,
    /// Number of operations that a server started at least once.
    pub executed: usize,
    /// Outcomes that contradict the execution logs, with their operations.
    pub violations: Vec<String>,
}

/// Checks a history against the number of executions per execution id.
pub fn check(
    operations: &[Operation],
    execution_counts: &BTreeMap<Box<str>, u64>,
) -> HistoryReport {
    let mut report = HistoryReport::default();
    for operation in operations.iter().filter(|o| !o.attempts.is_empty()) {
        let executions = execution_counts.get(&operation.id).copied().unwrap_or(0);
        report.operations += 1;
        report.binding += usize::from(operation.binding);
        report.attempts += operation.attempts.len();
        report.executed += usize::from(executions > 0);
        for attempt in &operation.attempts {
            report.count(&attempt.outcome);
        }
        if let Some(violation) = find_violation(operation, executions) {
            let detail = format!("{violation}: runs={executions} {operation:?}");
            report.violations.push(detail);
        }
    }
    report
}

/// Returns the binding operations that the servers executed after `from` although their tickets,
/// which have the given lifetime, expired before it.
///
/// `before` and `after` are the execution counts at `from` and at a later time.
pub fn executed_after_expiry<'a>(
    operations: &'a [Operation],
    before: &BTreeMap<Box<str>, u64>,
    after: &BTreeMap<Box<str>, u64>,
    from: Instant,
    lifetime: Duration,
) -> Vec<&'a Operation> {
    let count = |counts: &BTreeMap<Box<str>, u64>, id| counts.get(id).copied().unwrap_or(0);
    let binding = operations.iter().filter(|o| o.binding);
    binding
        .filter(|o| count(after, &o.id) > count(before, &o.id) && o.started_at + lifetime < from)
        .collect()
}

/// Returns how the outcomes of an operation contradict the number of its executions.
fn find_violation(operation: &Operation, executions: u64) -> Option<&'static str> {
    let outcomes = || operation.attempts.iter().map(|a| &a.outcome);
    let completed = outcomes().any(|a| *a == RequestOutcome::Complete);
    if outcomes().any(|a| *a == RequestOutcome::Invalid) {
        Some("a response is truncated or belongs to another request")
    } else if operation.binding && executions > 1 {
        Some("binding work was executed more than once")
    } else if completed && executions == 0 {
        Some("a request with a complete response was never executed")
    } else if outcomes().all(|a| matches!(a, RequestOutcome::NotRun(_))) && executions > 0 {
        Some("a request that was refused as not run was executed")
    } else {
        None
    }
}

impl HistoryReport {
    fn count(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Complete => self.complete += 1,
            RequestOutcome::Invalid => {}
            RequestOutcome::NotRun(code) => *self.not_run.entry(*code).or_default() += 1,
            RequestOutcome::Unknown(code) => *self.unknown.entry(*code).or_default() += 1,
        }
    }

    /// Prints the counts; panics if there is a violation or no complete response.
    pub fn assert_consistent(&self, test: &str, seed: u64) {
        println!("test={test} seed={seed} {self}");
        assert!(
            self.complete > 0,
            "{test}: no request got a complete response: {self}"
        );
        let violations = &self.violations[..self.violations.len().min(5)];
        assert!(violations.is_empty(), "{test}: seed={seed} {violations:#?}");
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operations={} binding={} attempts={} whole={} not_run={:?} unknown={:?} ran={} faults={}",
            self.operations,
            self.binding,
            self.attempts,
            self.complete,
            self.not_run,
            self.unknown,
            self.executed,
            self.violations.len()
        )
    }
}
