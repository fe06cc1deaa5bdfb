//! Execution records: the at-most-once state machine of the process that owns the work.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use crate::work::{RequestDigest, Work, WorkId};

/// Limits of the execution records of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    pub max_records: usize,
    /// Total size of the stored answers.
    pub max_answer_bytes: usize,
    /// Bytes reserved for the answer of each running request.
    pub reserved_answer_bytes: usize,
    /// Time for which a record is kept after its expiry, or after its end if that is later.
    pub retention: Duration,
}

impl Default for RecordLimits {
    fn default() -> Self {
        RecordLimits {
            max_records: 100_000,
            max_answer_bytes: 64 << 20,
            // 330 connections per server and 12 servers reserve 62 MiB.
            reserved_answer_bytes: 16 << 10,
            retention: Duration::from_mins(2),
        }
    }
}

/// Permission to execute one attempt. Exactly one exists per running record; it must be returned
/// through [`Records::finish_not_run`], [`Records::finish_answered`] or
/// [`Records::finish_unknown`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct ExecutionPermit {
    id: WorkId,
    record: u64,
}

impl ExecutionPermit {
    pub fn id(&self) -> WorkId {
        self.id
    }

    /// Returns the number of the record in this process. It is the same for all attempts at the
    /// work and serves as the operation of its claim.
    pub fn record_number(&self) -> u64 {
        self.record
    }
}

/// How to proceed with an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// Execute the attempt.
    Run(ExecutionPermit),
    /// Wait for the attempt that is already running.
    Running,
    /// Return the stored answer.
    Answered(A),
    /// The outcome is unknown.
    Unknown,
    /// The work did not run and can no longer start: refuse as not run.
    NotRun,
    /// The ticket or key was already used for another request: caller error.
    DigestMismatch,
    /// The record or answer limit is reached: refuse as not run.
    Full,
    /// The process is stopping and accepts no new work: refuse as not run.
    Stopping,
    /// The ticket expired and no record exists: the outcome is unknown.
    Expired,
}

/// Outcome of an attempt as recorded, which the caller must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The work did not run; the caller may retry with the same ticket or key.
    NotRun,
    /// The answer is stored for retries.
    Answered,
    /// The answer is too large to store: this caller receives it, retries are told unknown.
    AnswerNotStored,
    /// The work may have run.
    Unknown,
}

/// Reason why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The ticket expired while the request waited or the process was paused.
    Expired,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The process is stopping and its send cutoff has passed.
    Stopping,
    /// The attempt was already sent and may have run.
    AlreadySent,
    /// The permit matches no running record.
    NoRecord,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendRefusal::Expired => "ticket expired before the request was sent",
            SendRefusal::DeadlinePassed => "deadline passed before the request was sent",
            SendRefusal::Stopping => "process is stopping and sends no more requests",
            SendRefusal::AlreadySent => "request was already sent",
            SendRefusal::NoRecord => "request has no running execution record",
        })
    }
}

impl std::error::Error for SendRefusal {}

#[derive(Debug)]
enum State<A> {
    /// A permit is issued; `sent` is set once the first byte may have been written.
    Running {
        sent: bool,
    },
    NotRun,
    Answered {
        answer: A,
        bytes: usize,
    },
    Unknown,
}

#[derive(Debug)]
struct Record<A> {
    number: u64,
    digest: RequestDigest,
    expires: Duration,
    deadline: Duration,
    /// Uptime at which the record may be removed; valid only while it is not running.
    remove_at: Duration,
    state: State<A>,
}

/// Execution records of one process. `A` is an answer that is cheap to clone, such as an `Arc`.
#[derive(Debug)]
pub struct Records<A> {
    limits: RecordLimits,
    by_id: HashMap<WorkId, Record<A>>,
    /// Records that are not running, ordered by the uptime at which they may be removed.
    removal_queue: BTreeSet<(Duration, WorkId)>,
    /// Total size of the stored answers.
    answer_bytes: usize,
    running: usize,
    next_number: u64,
    last_expiry: Option<Duration>,
    /// Set when the process is stopping: nothing is sent from this uptime on.
    send_cutoff: Option<Duration>,
}

impl<A: Clone> Records<A> {
    pub fn new(limits: RecordLimits) -> Records<A> {
        Records {
            limits,
            by_id: HashMap::new(),
            removal_queue: BTreeSet::new(),
            answer_bytes: 0,
            running: 0,
            next_number: 1,
            last_expiry: None,
            send_cutoff: None,
        }
    }

    /// Decides how to proceed with an attempt, and records it before it runs.
    pub fn begin(&mut self, work: &Work, now: Duration) -> BeginResult<A> {
        self.remove_expired(now);
        if let Some(record) = self.by_id.get(&work.id) {
            if record.digest != work.digest {
                return BeginResult::DigestMismatch;
            }
            match &record.state {
                State::Running { .. } => return BeginResult::Running,
                State::Answered { answer, .. } => return BeginResult::Answered(answer.clone()),
                State::Unknown => return BeginResult::Unknown,
                State::NotRun => {
                    if now >= work.expires || self.send_cutoff.is_some() {
                        return BeginResult::NotRun;
                    }
                }
            }
        } else if work.claimed {
            return BeginResult::Unknown;
        } else if now >= work.expires {
            return BeginResult::Expired;
        } else if self.send_cutoff.is_some() {
            return BeginResult::Stopping;
        }
        self.start(work)
    }

    fn start(&mut self, work: &Work) -> BeginResult<A> {
        if self.free_answer_bytes() < self.limits.reserved_answer_bytes {
            return BeginResult::Full;
        }
        let is_full = self.by_id.len() >= self.limits.max_records;
        let record = match self.by_id.entry(work.id) {
            Entry::Occupied(entry) => {
                let record = entry.into_mut();
                self.removal_queue.remove(&(record.remove_at, work.id));
                record
            }
            Entry::Vacant(_) if is_full => return BeginResult::Full,
            Entry::Vacant(entry) => {
                let number = self.next_number;
                self.next_number += 1;
                entry.insert(Record {
                    number,
                    digest: work.digest,
                    expires: work.expires,
                    deadline: work.deadline,
                    remove_at: work.expires,
                    state: State::NotRun,
                })
            }
        };
        record.state = State::Running { sent: false };
        record.expires = record.expires.max(work.expires);
        record.deadline = work.deadline;
        let permit = ExecutionPermit {
            id: work.id,
            record: record.number,
        };
        self.running += 1;
        self.track_expiry(work.expires);
        BeginResult::Run(permit)
    }

    /// Final check before the first byte is written. After `Ok` the record can end as `NotRun` only
    /// if [`Records::mark_not_executed`] is called.
    pub fn authorize_send(
        &mut self,
        permit: &ExecutionPermit,
        now: Duration,
    ) -> Result<(), SendRefusal> {
        let send_cutoff = self.send_cutoff;
        let record = self.running_record(permit).ok_or(SendRefusal::NoRecord)?;
        match record.state {
            State::Running { sent: false } => {}
            _ => return Err(SendRefusal::AlreadySent),
        }
        if now >= record.expires {
            return Err(SendRefusal::Expired);
        }
        if now >= record.deadline {
            return Err(SendRefusal::DeadlinePassed);
        }
        if send_cutoff.is_some_and(|limit| now >= limit) {
            return Err(SendRefusal::Stopping);
        }
        record.state = State::Running { sent: true };
        Ok(())
    }

    /// Records that the server did not run the request: the connection failed, or the server
    /// answered 503 with `x-not-run`. The attempt may be sent again or end as not run.
    pub fn mark_not_executed(&mut self, permit: &ExecutionPermit) {
        if let Some(record) = self.running_record(permit) {
            record.state = State::Running { sent: false };
        }
    }

    /// Ends an attempt that was not sent. If the record shows that it was sent, the attempt ends as
    /// unknown instead.
    pub fn finish_not_run(&mut self, permit: ExecutionPermit, now: Duration) -> AttemptOutcome {
        let is_unsent = self
            .running_record(&permit)
            .is_some_and(|record| matches!(record.state, State::Running { sent: false }));
        if is_unsent {
            self.end(&permit, State::NotRun, now);
            return AttemptOutcome::NotRun;
        }
        self.finish_unknown(permit, now)
    }

    /// Ends an attempt with the server's complete answer, whose size is `bytes`.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit ends only one attempt"
    )]
    pub fn finish_answered(
        &mut self,
        permit: ExecutionPermit,
        answer: A,
        bytes: usize,
        now: Duration,
    ) -> AttemptOutcome {
        // The answer may use the bytes reserved for it.
        if bytes > self.free_answer_bytes() + self.limits.reserved_answer_bytes {
            self.end(&permit, State::Unknown, now);
            return AttemptOutcome::AnswerNotStored;
        }
        self.end(&permit, State::Answered { answer, bytes }, now);
        AttemptOutcome::Answered
    }

    /// Ends an attempt whose outcome is unknown.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit ends only one attempt"
    )]
    pub fn finish_unknown(&mut self, permit: ExecutionPermit, now: Duration) -> AttemptOutcome {
        self.end(&permit, State::Unknown, now);
        AttemptOutcome::Unknown
    }

    /// Stops accepting new work; nothing is sent from uptime `send_cutoff` on.
    pub fn stop(&mut self, send_cutoff: Duration) {
        self.send_cutoff = Some(send_cutoff);
    }

    /// Records the expiry of a ticket issued for this process, so that a graceful shutdown waits
    /// for it.
    pub fn track_expiry(&mut self, expires: Duration) {
        self.last_expiry = self.last_expiry.max(Some(expires));
    }

    /// Returns the uptime until which a stopping process must answer retries: the latest expiry of
    /// all tickets issued or executed here. [`Records::running`] counts the running attempts.
    pub fn last_expiry(&self) -> Option<Duration> {
        self.last_expiry
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the total size of the stored answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes the records whose retention period has passed. `begin` does this too; a timer should
    /// call it to free memory while there are no attempts.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some(&(remove_at, id)) = self.removal_queue.first() {
            if remove_at > now {
                break;
            }
            self.removal_queue.pop_first();
            if let Some(record) = self.by_id.remove(&id)
                && let State::Answered { bytes, .. } = record.state
            {
                self.answer_bytes -= bytes;
            }
        }
    }

    fn running_record(&mut self, permit: &ExecutionPermit) -> Option<&mut Record<A>> {
        let record = self.by_id.get_mut(&permit.id)?;
        let is_running = matches!(record.state, State::Running { .. });
        (record.number == permit.record && is_running).then_some(record)
    }

    fn end(&mut self, permit: &ExecutionPermit, state: State<A>, now: Duration) {
        let retention = self.limits.retention;
        let Some(record) = self.running_record(permit) else {
            return;
        };
        // The retention of an attempt that ends after its expiry starts at its end.
        record.remove_at = record.expires.max(now) + retention;
        let remove_at = record.remove_at;
        let stored = match &state {
            State::Answered { bytes, .. } => *bytes,
            _ => 0,
        };
        record.state = state;
        self.answer_bytes += stored;
        self.removal_queue.insert((remove_at, permit.id));
        self.running -= 1;
    }

    fn free_answer_bytes(&self) -> usize {
        let reserved = self.running * self.limits.reserved_answer_bytes;
        self.limits
            .max_answer_bytes
            .saturating_sub(self.answer_bytes + reserved)
    }
}
