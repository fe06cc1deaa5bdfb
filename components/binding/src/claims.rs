//! Batches of caller-key claims for conditional transactions of the table service.
//!
//! A claim is a row that is put only if it is absent. It names the process and operation that may
//! execute the work. The same claim may be put twice without harm, because a row that names the
//! claim's own operation counts as won.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use config::{EntryVmId, Incarnation};
use serde::{Deserialize, Serialize};

/// Key of a row in the table service.
pub type RowKey = Box<str>;

/// One process of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the entry VM.
    pub vm: EntryVmId,
    /// Random number of the process.
    pub incarnation: Incarnation,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Process that may execute the work.
    pub process: Identity,
    /// Record of that process, from [`crate::Permit::record`].
    pub operation: u64,
}

/// One row to put if it is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Row.
    pub key: RowKey,
    /// Record that the claim is for.
    pub operation: u64,
    /// Uptime after which the claim is not needed any more.
    pub deadline: Duration,
}

/// Bounds of the batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Most claims in one transaction.
    pub batch: usize,
    /// Longest time that a claim waits for others.
    pub wait: Duration,
    /// Most claims that are queued or in transactions.
    pub queue: usize,
    /// Most transactions and read-backs at once; more than one, so that a lost answer does not
    /// block all other claims.
    pub in_flight: usize,
    /// Pause after a failed call to the table service; claims are refused during it.
    pub pause: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            batch: 64,
            wait: Duration::from_millis(5),
            queue: 4096,
            in_flight: 4,
            pause: Duration::from_millis(500),
        }
    }
}

/// Why a claim was refused. Nothing was sent for it: the request is refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The queue is full.
    QueueFull,
    /// The table service cannot be reached.
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
            ClaimRefusal::Unreachable => "table service cannot be reached",
            ClaimRefusal::DeadlinePassed => "deadline passed before the key was claimed",
            ClaimRefusal::Busy => "the key is being claimed by another request",
        })
    }
}

impl std::error::Error for ClaimRefusal {}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This operation holds the row and may send.
    Won,
    /// Another process holds the row: forward to it if it lives, else outcome unknown.
    Held(Holder),
    /// An earlier operation of this process held the row and its record is gone: outcome unknown.
    HeldEarlier,
    /// Refused as not run.
    Refused(ClaimRefusal),
}

/// A claim with its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Row.
    pub key: RowKey,
    /// Record that the claim was for.
    pub operation: u64,
    /// Result.
    pub verdict: ClaimVerdict,
}

/// Next call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Put these rows if all are absent, then call [`ClaimBatch::on_transact`] with the number.
    Transact(u64, Vec<(RowKey, Holder)>),
    /// Read these rows, then call [`ClaimBatch::on_read`] with the number.
    ReadBack(u64, Vec<RowKey>),
    /// Nothing to do before this uptime, or before the next claim or answer.
    Wait(Option<Duration>),
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// All rows were put.
    Committed,
    /// Nothing was put; these rows exist.
    Conflict(Vec<(RowKey, Holder)>),
    /// The transaction surely did not take effect and never will, such as a failed connect.
    NotSent,
    /// It may have taken effect, or may do so later.
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
    /// The answer of the table service is awaited.
    Called,
    /// The answer was lost: read back from this uptime on.
    Unsettled(Duration),
}

/// Claims of one process on their way to the table service.
#[derive(Debug)]
pub struct ClaimBatch {
    me: Identity,
    settings: ClaimSettings,
    /// Claims not in a transaction, each with the uptime at which it must leave.
    queue: VecDeque<(Duration, Claim)>,
    batches: Vec<Batch>,
    /// Operation per row in the queue or in a batch.
    pending: HashMap<RowKey, u64>,
    next_number: u64,
    /// The table service could not be reached; the next try is at this uptime.
    unreachable_until: Option<Duration>,
}

impl ClaimBatch {
    /// No claims yet.
    pub fn new(me: Identity, settings: ClaimSettings) -> ClaimBatch {
        ClaimBatch {
            me,
            settings,
            queue: VecDeque::new(),
            batches: Vec::new(),
            pending: HashMap::new(),
            next_number: 1,
            unreachable_until: None,
        }
    }

    /// Queues a claim. A claim that is already on its way for the same operation is kept and only
    /// its deadline is extended.
    pub fn submit(&mut self, claim: Claim, now: Duration) -> Result<(), ClaimRefusal> {
        if let Some(&operation) = self.pending.get(&claim.key) {
            if operation != claim.operation {
                return Err(ClaimRefusal::Busy);
            }
            self.extend(&claim);
            return Ok(());
        }
        if self.unreachable_until.is_some_and(|until| now < until) {
            return Err(ClaimRefusal::Unreachable);
        }
        if self.pending.len() >= self.settings.queue {
            return Err(ClaimRefusal::QueueFull);
        }
        self.pending.insert(claim.key.clone(), claim.operation);
        self.queue.push_back((now + self.settings.wait, claim));
        Ok(())
    }

    fn extend(&mut self, claim: &Claim) {
        let queued = self.queue.iter_mut().map(|(_, c)| c);
        let called = self.batches.iter_mut().flat_map(|b| b.claims.iter_mut());
        if let Some(c) = queued.chain(called).find(|c| c.key == claim.key) {
            c.deadline = c.deadline.max(claim.deadline);
        }
    }

    /// Refuses the claims whose deadline has passed. Nothing was sent for them. A transaction
    /// that still takes effect leaves rows of this process without a winner, which later attempts
    /// see as won (same operation) or as held earlier.
    pub fn expire(&mut self, now: Duration) -> Vec<Settled> {
        let mut late = Vec::new();
        self.queue.retain(|(_, claim)| {
            let is_late = now >= claim.deadline;
            if is_late {
                late.push(claim.clone());
            }
            !is_late
        });
        for batch in &mut self.batches {
            late.extend(batch.claims.extract_if(.., |c| now >= c.deadline));
        }
        self.batches
            .retain(|b| b.stage == Stage::Called || !b.claims.is_empty());
        // The table service did not answer since its last failure: that is what the caller
        // has to know.
        let why = match self.unreachable_until {
            Some(_) => ClaimRefusal::Unreachable,
            None => ClaimRefusal::DeadlinePassed,
        };
        self.refuse(late, why)
    }

    /// Next call to the table service. Call again until it returns `Wait`.
    pub fn step(&mut self, now: Duration) -> ClaimStep {
        let is_free = self.called() < self.settings.in_flight;
        if is_free && let Some(step) = self.read_back(now) {
            return step;
        }
        if is_free && self.is_due(now) {
            return self.transact();
        }
        ClaimStep::Wait(self.next_time(is_free))
    }

    fn called(&self) -> usize {
        let is_called = |b: &&Batch| b.stage == Stage::Called;
        self.batches.iter().filter(is_called).count()
    }

    fn read_back(&mut self, now: Duration) -> Option<ClaimStep> {
        let batch = self
            .batches
            .iter_mut()
            .find(|b| matches!(b.stage, Stage::Unsettled(from) if now >= from))?;
        batch.stage = Stage::Called;
        let keys = batch.claims.iter().map(|c| c.key.clone()).collect();
        Some(ClaimStep::ReadBack(batch.number, keys))
    }

    fn is_due(&self, now: Duration) -> bool {
        if self.unreachable_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_late = self.queue.front().is_some_and(|(due, _)| now >= *due);
        is_late || self.queue.len() >= self.settings.batch
    }

    fn transact(&mut self) -> ClaimStep {
        let len = self.queue.len().min(self.settings.batch);
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
            stage: Stage::Called,
        });
        ClaimStep::Transact(number, rows)
    }

    fn next_time(&self, is_free: bool) -> Option<Duration> {
        let calls = self.batches.iter().filter_map(|b| match b.stage {
            Stage::Unsettled(from) => Some(from),
            Stage::Called => None,
        });
        let due = self.queue.front().map(|(due, _)| *due);
        let due = due.map(|due| due.max(self.unreachable_until.unwrap_or_default()));
        let calls = calls.chain(due).filter(|_| is_free);
        let queued = self.queue.iter().map(|(_, c)| c.deadline);
        let batched = self.batches.iter().flat_map(|b| &b.claims);
        calls.chain(queued).chain(batched.map(|c| c.deadline)).min()
    }

    /// Takes the answer to a transaction and returns the claims that it settles.
    pub fn on_transact(&mut self, number: u64, answer: ClaimAnswer, now: Duration) -> Vec<Settled> {
        let Some(i) = self.batches.iter().position(|b| b.number == number) else {
            return Vec::new();
        };
        match answer {
            ClaimAnswer::Committed => {
                self.unreachable_until = None;
                let batch = self.batches.swap_remove(i);
                let verdicts = batch.claims.into_iter().map(|c| (c, ClaimVerdict::Won));
                self.settle(verdicts.collect())
            }
            ClaimAnswer::Conflict(rows) => {
                self.unreachable_until = None;
                self.split(i, &rows, now)
            }
            ClaimAnswer::NotSent => {
                self.unreachable_until = Some(now + self.settings.pause);
                let batch = self.batches.swap_remove(i);
                self.refuse(batch.claims, ClaimRefusal::Unreachable)
            }
            ClaimAnswer::Lost => {
                // Read back at once: an answer is lost more often than the service is down.
                self.unsettle(i, now);
                Vec::new()
            }
        }
    }

    /// Takes the rows read back, or `None` if the read failed.
    pub fn on_read(
        &mut self,
        number: u64,
        rows: Option<Vec<(RowKey, Holder)>>,
        now: Duration,
    ) -> Vec<Settled> {
        let Some(i) = self.batches.iter().position(|b| b.number == number) else {
            return Vec::new();
        };
        let Some(rows) = rows else {
            let again = now + self.settings.pause;
            self.unreachable_until = Some(again);
            self.unsettle(i, again);
            return Vec::new();
        };
        self.unreachable_until = None;
        self.split(i, &rows, now)
    }

    fn unsettle(&mut self, i: usize, from: Duration) {
        if self.batches[i].claims.is_empty() {
            self.batches.swap_remove(i);
        } else {
            self.batches[i].stage = Stage::Unsettled(from);
        }
    }

    /// Settles the claims whose rows exist and queues the others again, before all newer ones.
    fn split(&mut self, i: usize, rows: &[(RowKey, Holder)], now: Duration) -> Vec<Settled> {
        let batch = self.batches.swap_remove(i);
        let mut found = Vec::new();
        for claim in batch.claims.into_iter().rev() {
            match rows.iter().find(|(key, _)| *key == claim.key) {
                Some((_, holder)) => {
                    let verdict = self.judge(&claim, holder);
                    found.push((claim, verdict));
                }
                None => self.queue.push_front((now, claim)),
            }
        }
        self.settle(found)
    }

    fn judge(&self, claim: &Claim, holder: &Holder) -> ClaimVerdict {
        if holder.process != self.me {
            ClaimVerdict::Held(holder.clone())
        } else if holder.operation == claim.operation {
            ClaimVerdict::Won
        } else {
            ClaimVerdict::HeldEarlier
        }
    }

    fn refuse(&mut self, claims: Vec<Claim>, why: ClaimRefusal) -> Vec<Settled> {
        let refused = claims.into_iter().map(|c| (c, ClaimVerdict::Refused(why)));
        self.settle(refused.collect())
    }

    fn settle(&mut self, verdicts: Vec<(Claim, ClaimVerdict)>) -> Vec<Settled> {
        let settle = |(claim, verdict): (Claim, ClaimVerdict)| {
            self.pending.remove(&claim.key);
            Settled {
                key: claim.key,
                operation: claim.operation,
                verdict,
            }
        };
        verdicts.into_iter().map(settle).collect()
    }

    fn holder(&self, operation: u64) -> Holder {
        Holder {
            process: self.me.clone(),
            operation,
        }
    }

    /// Claims queued or in transactions.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no claim is on its way.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
