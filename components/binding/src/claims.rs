//! Batching of caller-key claims into conditional transactions of the table service.
//!
//! A claim is a row that is put only if it is absent. It names the process and operation that may
//! execute the work. Putting a claim is idempotent: an existing row that names the claim's own
//! operation counts as won.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use config::{EntryVmId, Incarnation};
use serde::{Deserialize, Serialize};

/// Key of a row in the table service.
pub type RowKey = Box<str>;

/// Identity of one process of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Id of the entry VM.
    pub vm: EntryVmId,
    /// Random number drawn when the process starts.
    pub incarnation: Incarnation,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Process that may execute the work.
    pub process: ProcessIdentity,
    /// Record number in that process, from [`crate::ExecutionPermit::record_number`].
    pub operation: u64,
}

/// Request to put one row if it is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub key: RowKey,
    /// Record number of the work.
    pub operation: u64,
    /// Uptime after which the claim is no longer needed.
    pub deadline: Duration,
}

/// Limits and delays of claim batching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Claims in one transaction.
    pub max_batch: usize,
    /// Time for which a claim waits for others.
    pub max_wait: Duration,
    /// Claims that are queued or in transactions.
    pub max_pending: usize,
    /// Concurrent transactions and read-backs; more than one, so that a lost answer does not block
    /// all other claims.
    pub max_in_flight: usize,
    /// Delay after a failed call to the table service; new claims are refused during it.
    pub retry_delay: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            max_batch: 64,
            max_wait: Duration::from_millis(5),
            max_pending: 4096,
            max_in_flight: 4,
            retry_delay: Duration::from_millis(500),
        }
    }
}

/// Reason why a claim was refused. The request was not sent and is refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The queue is full.
    QueueFull,
    /// The table service is unreachable.
    Unreachable,
    /// The deadline passed before the claim was settled.
    DeadlinePassed,
    /// Another operation of this process is claiming the same row.
    Busy,
}

impl fmt::Display for ClaimRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClaimRefusal::QueueFull => "claim queue is full",
            ClaimRefusal::Unreachable => "table service is unreachable",
            ClaimRefusal::DeadlinePassed => "deadline passed before the caller key was claimed",
            ClaimRefusal::Busy => "caller key is being claimed by another request",
        })
    }
}

impl std::error::Error for ClaimRefusal {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This operation holds the row and may send its request.
    Won,
    /// Another process holds the row: forward to it if it is alive, else the outcome is unknown.
    Held(ClaimHolder),
    /// An earlier operation of this process holds the row and its record was removed: the outcome
    /// is unknown.
    HeldByEarlierOperation,
    /// Refused as not run.
    Refused(ClaimRefusal),
}

/// Claim with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledClaim {
    pub key: RowKey,
    /// Record number of the work.
    pub operation: u64,
    pub outcome: ClaimOutcome,
}

/// Next call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Put the rows if all are absent, then call [`ClaimBatcher::on_transact`] with the number.
    Transact(u64, Vec<(RowKey, ClaimHolder)>),
    /// Read the rows, then call [`ClaimBatcher::on_read_back`] with the number.
    ReadBack(u64, Vec<RowKey>),
    /// Nothing to do before this uptime, the next claim or the next answer.
    Wait(Option<Duration>),
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// All rows were put.
    Committed,
    /// No row was put, because these rows exist.
    Conflict(Vec<(RowKey, ClaimHolder)>),
    /// The transaction did not and will not take effect; for example, the connection failed.
    NotSent,
    /// The transaction may have taken effect or may still do so.
    Lost,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    claims: Vec<Claim>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A call to the table service is in progress.
    InFlight,
    /// The answer was lost; the rows are read back from this uptime on.
    AwaitingReadBack(Duration),
}

/// Batches the claims of one process for the table service.
#[derive(Debug)]
pub struct ClaimBatcher {
    identity: ProcessIdentity,
    settings: ClaimSettings,
    /// Claims not yet in a transaction, each with the uptime at which it must be sent.
    queue: VecDeque<(Duration, Claim)>,
    batches: Vec<Batch>,
    /// Operation of each row that is queued or in a batch.
    pending: HashMap<RowKey, u64>,
    next_number: u64,
    /// Set while the table service is unreachable: the uptime of the next call.
    unreachable_until: Option<Duration>,
}

impl ClaimBatcher {
    pub fn new(identity: ProcessIdentity, settings: ClaimSettings) -> ClaimBatcher {
        ClaimBatcher {
            identity,
            settings,
            queue: VecDeque::new(),
            batches: Vec::new(),
            pending: HashMap::new(),
            next_number: 1,
            unreachable_until: None,
        }
    }

    /// Queues a claim. If the same operation already has a pending claim on the row, only its
    /// deadline is extended.
    pub fn submit(&mut self, claim: Claim, now: Duration) -> Result<(), ClaimRefusal> {
        if let Some(&operation) = self.pending.get(&claim.key) {
            if operation != claim.operation {
                return Err(ClaimRefusal::Busy);
            }
            self.extend_deadline(&claim);
            return Ok(());
        }
        if self.unreachable_until.is_some_and(|until| now < until) {
            return Err(ClaimRefusal::Unreachable);
        }
        if self.pending.len() >= self.settings.max_pending {
            return Err(ClaimRefusal::QueueFull);
        }
        self.pending.insert(claim.key.clone(), claim.operation);
        self.queue.push_back((now + self.settings.max_wait, claim));
        Ok(())
    }

    fn extend_deadline(&mut self, claim: &Claim) {
        let queued = self.queue.iter_mut().map(|(_, c)| c);
        let in_flight = self.batches.iter_mut().flat_map(|b| b.claims.iter_mut());
        if let Some(c) = queued.chain(in_flight).find(|c| c.key == claim.key) {
            c.deadline = c.deadline.max(claim.deadline);
        }
    }

    /// Refuses the claims whose deadline has passed; their requests were not sent. If a transaction
    /// takes effect later, its rows name operations that were refused. Later attempts see them as
    /// won (same operation) or as held by an earlier operation.
    pub fn expire(&mut self, now: Duration) -> Vec<SettledClaim> {
        let mut expired = Vec::new();
        self.queue.retain(|(_, claim)| {
            let is_expired = now >= claim.deadline;
            if is_expired {
                expired.push(claim.clone());
            }
            !is_expired
        });
        for batch in &mut self.batches {
            expired.extend(batch.claims.extract_if(.., |c| now >= c.deadline));
        }
        self.batches
            .retain(|b| b.stage == Stage::InFlight || !b.claims.is_empty());
        // If the table service has not answered since its last failure, the caller is told that
        // it is unreachable.
        let reason = match self.unreachable_until {
            Some(_) => ClaimRefusal::Unreachable,
            None => ClaimRefusal::DeadlinePassed,
        };
        self.refuse(expired, reason)
    }

    /// Returns the next call to the table service. Must be called until it returns `Wait`.
    pub fn step(&mut self, now: Duration) -> ClaimStep {
        let has_capacity = self.in_flight() < self.settings.max_in_flight;
        if has_capacity && let Some(step) = self.read_back(now) {
            return step;
        }
        if has_capacity && self.is_due(now) {
            return self.transact();
        }
        ClaimStep::Wait(self.next_time(has_capacity))
    }

    fn in_flight(&self) -> usize {
        let is_in_flight = |b: &&Batch| b.stage == Stage::InFlight;
        self.batches.iter().filter(is_in_flight).count()
    }

    fn read_back(&mut self, now: Duration) -> Option<ClaimStep> {
        let batch = self
            .batches
            .iter_mut()
            .find(|b| matches!(b.stage, Stage::AwaitingReadBack(from) if now >= from))?;
        batch.stage = Stage::InFlight;
        let keys = batch.claims.iter().map(|c| c.key.clone()).collect();
        Some(ClaimStep::ReadBack(batch.number, keys))
    }

    fn is_due(&self, now: Duration) -> bool {
        if self.unreachable_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_overdue = self.queue.front().is_some_and(|(due, _)| now >= *due);
        is_overdue || self.queue.len() >= self.settings.max_batch
    }

    fn transact(&mut self) -> ClaimStep {
        let len = self.queue.len().min(self.settings.max_batch);
        let claims: Vec<Claim> = self.queue.drain(..len).map(|(_, claim)| claim).collect();
        let rows = claims
            .iter()
            .map(|claim| (claim.key.clone(), self.holder(claim.operation)))
            .collect();
        let number = self.next_number;
        self.next_number += 1;
        self.batches.push(Batch {
            number,
            claims,
            stage: Stage::InFlight,
        });
        ClaimStep::Transact(number, rows)
    }

    fn next_time(&self, has_capacity: bool) -> Option<Duration> {
        let calls = self.batches.iter().filter_map(|b| match b.stage {
            Stage::AwaitingReadBack(from) => Some(from),
            Stage::InFlight => None,
        });
        let due = self.queue.front().map(|(due, _)| *due);
        let due = due.map(|due| due.max(self.unreachable_until.unwrap_or_default()));
        let calls = calls.chain(due).filter(|_| has_capacity);
        let queued = self.queue.iter().map(|(_, c)| c.deadline);
        let batched = self.batches.iter().flat_map(|b| &b.claims);
        calls.chain(queued).chain(batched.map(|c| c.deadline)).min()
    }

    /// Processes the answer to a transaction; returns the claims that it settles.
    pub fn on_transact(
        &mut self,
        number: u64,
        answer: ClaimAnswer,
        now: Duration,
    ) -> Vec<SettledClaim> {
        let Some(i) = self.batches.iter().position(|b| b.number == number) else {
            return Vec::new();
        };
        match answer {
            ClaimAnswer::Committed => {
                self.unreachable_until = None;
                let batch = self.batches.swap_remove(i);
                let outcomes = batch.claims.into_iter().map(|c| (c, ClaimOutcome::Won));
                self.settle(outcomes.collect())
            }
            ClaimAnswer::Conflict(rows) => {
                self.unreachable_until = None;
                self.settle_existing(i, &rows, now)
            }
            ClaimAnswer::NotSent => {
                self.unreachable_until = Some(now + self.settings.retry_delay);
                let batch = self.batches.swap_remove(i);
                self.refuse(batch.claims, ClaimRefusal::Unreachable)
            }
            ClaimAnswer::Lost => {
                // Read back at once, because a lost answer is more likely than an outage.
                self.schedule_read_back(i, now);
                Vec::new()
            }
        }
    }

    /// Processes the rows read back (`None` if the read failed); returns the claims settled.
    pub fn on_read_back(
        &mut self,
        number: u64,
        rows: Option<Vec<(RowKey, ClaimHolder)>>,
        now: Duration,
    ) -> Vec<SettledClaim> {
        let Some(i) = self.batches.iter().position(|b| b.number == number) else {
            return Vec::new();
        };
        let Some(rows) = rows else {
            let retry_at = now + self.settings.retry_delay;
            self.unreachable_until = Some(retry_at);
            self.schedule_read_back(i, retry_at);
            return Vec::new();
        };
        self.unreachable_until = None;
        self.settle_existing(i, &rows, now)
    }

    fn schedule_read_back(&mut self, i: usize, from: Duration) {
        if self.batches[i].claims.is_empty() {
            self.batches.swap_remove(i);
        } else {
            self.batches[i].stage = Stage::AwaitingReadBack(from);
        }
    }

    /// Settles the claims whose rows exist and requeues the others before all newer claims.
    fn settle_existing(
        &mut self,
        i: usize,
        rows: &[(RowKey, ClaimHolder)],
        now: Duration,
    ) -> Vec<SettledClaim> {
        let batch = self.batches.swap_remove(i);
        let mut found = Vec::new();
        for claim in batch.claims.into_iter().rev() {
            match rows.iter().find(|(key, _)| *key == claim.key) {
                Some((_, holder)) => {
                    let outcome = self.outcome_of(&claim, holder);
                    found.push((claim, outcome));
                }
                None => self.queue.push_front((now, claim)),
            }
        }
        self.settle(found)
    }

    fn outcome_of(&self, claim: &Claim, holder: &ClaimHolder) -> ClaimOutcome {
        if holder.process != self.identity {
            ClaimOutcome::Held(holder.clone())
        } else if holder.operation == claim.operation {
            ClaimOutcome::Won
        } else {
            ClaimOutcome::HeldByEarlierOperation
        }
    }

    fn refuse(&mut self, claims: Vec<Claim>, reason: ClaimRefusal) -> Vec<SettledClaim> {
        let refused = claims
            .into_iter()
            .map(|c| (c, ClaimOutcome::Refused(reason)));
        self.settle(refused.collect())
    }

    fn settle(&mut self, outcomes: Vec<(Claim, ClaimOutcome)>) -> Vec<SettledClaim> {
        let settle = |(claim, outcome): (Claim, ClaimOutcome)| {
            self.pending.remove(&claim.key);
            SettledClaim {
                key: claim.key,
                operation: claim.operation,
                outcome,
            }
        };
        outcomes.into_iter().map(settle).collect()
    }

    fn holder(&self, operation: u64) -> ClaimHolder {
        ClaimHolder {
            process: self.identity.clone(),
            operation,
        }
    }

    /// Returns the number of claims that are queued or in transactions.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
