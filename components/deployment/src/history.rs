//! What callers were told, checked against what the servers ran.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::caller::Answer;

/// One attempt that was sent to an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Entry VM.
    pub address: SocketAddr,
    /// What came back; `Unknown(0)` without an answer.
    pub answer: Answer,
}

/// Everything done under one ticket, key or idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Execution id; no other operation has it.
    pub id: Box<str>,
    /// Whether it must run at most once.
    pub binding: bool,
    /// When its first attempt began, after its look-up; its ticket was issued before.
    pub begun: Instant,
    /// Attempts in the order of their ends.
    pub attempts: Vec<Attempt>,
}

/// Counts of a history, and every contradiction in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Operations with at least one attempt.
    pub operations: usize,
    /// Binding ones among them.
    pub binding: usize,
    /// Attempts.
    pub attempts: usize,
    /// Whole answers.
    pub whole: usize,
    /// Attempts refused as not run, by result code.
    pub not_run: BTreeMap<u16, usize>,
    /// Attempts with unknown outcome, by result code; 0 without an answer.
    pub unknown: BTreeMap<u16, usize>,
    /// Operations that ran.
    pub ran: usize,
    /// Contradictions.
    pub faults: Vec<String>,
}

/// Checks a history against the number of runs per execution id.
pub fn check(operations: &[Operation], runs: &BTreeMap<Box<str>, u64>) -> Verdict {
    let mut verdict = Verdict::default();
    for operation in operations.iter().filter(|o| !o.attempts.is_empty()) {
        let ran = runs.get(&operation.id).copied().unwrap_or(0);
        verdict.operations += 1;
        verdict.binding += usize::from(operation.binding);
        verdict.attempts += operation.attempts.len();
        verdict.ran += usize::from(ran > 0);
        for attempt in &operation.attempts {
            verdict.count(&attempt.answer);
        }
        if let Some(fault) = contradiction(operation, ran) {
            let detail = format!("{fault}: runs={ran} {operation:?}");
            verdict.faults.push(detail);
        }
    }
    verdict
}

/// Returns the operations that the servers started although their tickets, of the given lifetime,
/// had expired before `from`; `before` and `after` are the runs at `from` and later.
pub fn late<'a>(
    operations: &'a [Operation],
    before: &BTreeMap<Box<str>, u64>,
    after: &BTreeMap<Box<str>, u64>,
    from: Instant,
    lifetime: Duration,
) -> Vec<&'a Operation> {
    let runs = |all: &BTreeMap<Box<str>, u64>, id| all.get(id).copied().unwrap_or(0);
    let binding = operations.iter().filter(|o| o.binding);
    binding
        .filter(|o| runs(after, &o.id) > runs(before, &o.id) && o.begun + lifetime < from)
        .collect()
}

/// Returns what callers were told of an operation that its runs contradict.
fn contradiction(operation: &Operation, ran: u64) -> Option<&'static str> {
    let answers = || operation.attempts.iter().map(|a| &a.answer);
    let whole = answers().any(|a| *a == Answer::Whole);
    if answers().any(|a| *a == Answer::Wrong) {
        Some("an answer is cut or belongs to another request")
    } else if operation.binding && ran > 1 {
        Some("binding work ran more than once")
    } else if whole && ran == 0 {
        Some("an answered request never ran")
    } else if answers().all(|a| matches!(a, Answer::NotRun(_))) && ran > 0 {
        Some("a request that was refused as not run ran")
    } else {
        None
    }
}

impl Verdict {
    fn count(&mut self, answer: &Answer) {
        match answer {
            Answer::Whole => self.whole += 1,
            Answer::Wrong => {}
            Answer::NotRun(code) => *self.not_run.entry(*code).or_default() += 1,
            Answer::Unknown(code) => *self.unknown.entry(*code).or_default() += 1,
        }
    }

    /// Prints the counts; panics on a contradiction and on a history without whole answers.
    pub fn require(&self, test: &str, seed: u64) {
        println!("test={test} seed={seed} {self}");
        assert!(self.whole > 0, "{test}: no request was answered: {self}");
        let faults = &self.faults[..self.faults.len().min(5)];
        assert!(faults.is_empty(), "{test}: seed={seed} {faults:#?}");
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operations={} binding={} attempts={} whole={} not_run={:?} unknown={:?} ran={} faults={}",
            self.operations,
            self.binding,
            self.attempts,
            self.whole,
            self.not_run,
            self.unknown,
            self.ran,
            self.faults.len()
        )
    }
}
