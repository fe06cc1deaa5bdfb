//! Execution records: the at-most-once state machine of the process that owns the work.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use crate::work::{RequestDigest, Work, WorkId};

/// Bounds of the records kept by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    /// Most records.
    pub records: usize,
    /// Most bytes of answers.
    pub answer_bytes: usize,
    /// Bytes set aside for the answer of each running request.
    pub reserved_bytes: usize,
    /// How long a record is kept after its expiry, or after its end if that is later.
    pub retention: Duration,
}

impl Default for RecordLimits {
    fn default() -> Self {
        RecordLimits {
            records: 100_000,
            answer_bytes: 64 << 20,
            // 330 connections per server and 12 servers reserve 62 MiB.
            reserved_bytes: 16 << 10,
            retention: Duration::from_mins(2),
        }
    }
}

/// Permission to execute one attempt. Exactly one exists per running record; it must be given
/// back through [`Records::not_run`], [`Records::answered`] or [`Records::unknown`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    id: WorkId,
    record: u64,
}

impl Permit {
    /// Identity of the work.
    pub fn id(&self) -> WorkId {
        self.id
    }

    /// Number of the record in this process. It stays the same when the work is tried again, and
    /// serves as the operation id of its claim.
    pub fn record(&self) -> u64 {
        self.record
    }
}

/// What to do with an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// Execute it.
    Run(Permit),
    /// Wait for the attempt that is being executed.
    Running,
    /// Return the recorded answer.
    Answered(A),
    /// The outcome is unknown.
    Unknown,
    /// The work did not run and cannot start any more: refuse as not run.
    NotRun,
    /// The ticket or key was used with another request: caller error.
    DigestMismatch,
    /// No room for another record: refuse as not run.
    Full,
    /// The process is stopping and takes no new work: refuse as not run.
    Stopping,
    /// Expired without a record: outcome unknown.
    Expired,
}

/// How an attempt ended, as the record shows it and the caller must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing ran; the caller may try again with the same ticket or key.
    NotRun,
    /// The answer is kept for retries.
    Answered,
    /// The answer is too large to keep: this caller gets it, retries are told unknown.
    AnswerNotKept,
    /// The work may have run.
    Unknown,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The ticket expired while the request waited or the process was paused.
    Expired,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The process is stopping and its last time to send has passed.
    Stopping,
    /// This attempt was sent before and may have run.
    AlreadySent,
    /// The permit belongs to no running record.
    NoRecord,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendRefusal::Expired => "ticket expired before the request was sent",
            SendRefusal::DeadlinePassed => "deadline passed before the request was sent",
            SendRefusal::Stopping => "process is stopping",
            SendRefusal::AlreadySent => "request was already sent",
            SendRefusal::NoRecord => "no running record for this request",
        })
    }
}

impl std::error::Error for SendRefusal {}

#[derive(Debug)]
enum State<A> {
    /// A permit is out; `sent` after the first byte may have been written.
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
    /// When the record may be dropped; counts only while it is not running.
    drop_at: Duration,
    state: State<A>,
}

/// Execution records of one process. `A` is a cheaply cloned answer, such as an `Arc`.
#[derive(Debug)]
pub struct Records<A> {
    limits: RecordLimits,
    by_id: HashMap<WorkId, Record<A>>,
    /// Records that are not running, by the time at which they may be dropped.
    drops: BTreeSet<(Duration, WorkId)>,
    /// Bytes of kept answers.
    answer_bytes: usize,
    running: usize,
    next_number: u64,
    last_expiry: Option<Duration>,
    /// Set when the process is stopping: the uptime from which nothing is sent any more.
    last_send: Option<Duration>,
}

impl<A: Clone> Records<A> {
    /// Empty records.
    pub fn new(limits: RecordLimits) -> Records<A> {
        Records {
            limits,
            by_id: HashMap::new(),
            drops: BTreeSet::new(),
            answer_bytes: 0,
            running: 0,
            next_number: 1,
            last_expiry: None,
            last_send: None,
        }
    }

    /// Decides what happens to an attempt, and records it before it runs.
    pub fn begin(&mut self, work: &Work, now: Duration) -> Begin<A> {
        self.drop_old(now);
        if let Some(record) = self.by_id.get(&work.id) {
            if record.digest != work.digest {
                return Begin::DigestMismatch;
            }
            match &record.state {
                State::Running { .. } => return Begin::Running,
                State::Answered { answer, .. } => return Begin::Answered(answer.clone()),
                State::Unknown => return Begin::Unknown,
                State::NotRun => {
                    if now >= work.expires || self.last_send.is_some() {
                        return Begin::NotRun;
                    }
                }
            }
        } else if work.claimed {
            return Begin::Unknown;
        } else if now >= work.expires {
            return Begin::Expired;
        } else if self.last_send.is_some() {
            return Begin::Stopping;
        }
        self.start(work)
    }

    fn start(&mut self, work: &Work) -> Begin<A> {
        if self.free_answer_bytes() < self.limits.reserved_bytes {
            return Begin::Full;
        }
        let is_full = self.by_id.len() >= self.limits.records;
        let record = match self.by_id.entry(work.id) {
            Entry::Occupied(entry) => {
                let record = entry.into_mut();
                self.drops.remove(&(record.drop_at, work.id));
                record
            }
            Entry::Vacant(_) if is_full => return Begin::Full,
            Entry::Vacant(entry) => {
                let number = self.next_number;
                self.next_number += 1;
                entry.insert(Record {
                    number,
                    digest: work.digest,
                    expires: work.expires,
                    deadline: work.deadline,
                    drop_at: work.expires,
                    state: State::NotRun,
                })
            }
        };
        record.state = State::Running { sent: false };
        record.expires = record.expires.max(work.expires);
        record.deadline = work.deadline;
        let permit = Permit {
            id: work.id,
            record: record.number,
        };
        self.running += 1;
        self.note_expiry(work.expires);
        Begin::Run(permit)
    }

    /// Last check before the first byte is written. After `Ok` the record becomes `NotRun` only
    /// if [`Records::surely_not_executed`] was called.
    pub fn about_to_send(&mut self, permit: &Permit, now: Duration) -> Result<(), SendRefusal> {
        let last_send = self.last_send;
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
        if last_send.is_some_and(|limit| now >= limit) {
            return Err(SendRefusal::Stopping);
        }
        record.state = State::Running { sent: true };
        Ok(())
    }

    /// The server surely did not run what was sent: the connect failed, or it answered 503 with
    /// `x-not-run`. The attempt may be sent again or end as not run.
    pub fn surely_not_executed(&mut self, permit: &Permit) {
        if let Some(record) = self.running_record(permit) {
            record.state = State::Running { sent: false };
        }
    }

    /// Ends an attempt that was not sent. One that was sent ends as unknown instead, whatever the
    /// caller of this function believes.
    pub fn not_run(&mut self, permit: Permit, now: Duration) -> Ending {
        let is_unsent = self
            .running_record(&permit)
            .is_some_and(|record| matches!(record.state, State::Running { sent: false }));
        if is_unsent {
            self.end(&permit, State::NotRun, now);
            return Ending::NotRun;
        }
        self.unknown(permit, now)
    }

    /// Ends an attempt with the server's complete answer of `bytes` bytes.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit ends only one attempt"
    )]
    pub fn answered(&mut self, permit: Permit, answer: A, bytes: usize, now: Duration) -> Ending {
        // The answer may use the room set aside for it.
        if bytes > self.free_answer_bytes() + self.limits.reserved_bytes {
            self.end(&permit, State::Unknown, now);
            return Ending::AnswerNotKept;
        }
        self.end(&permit, State::Answered { answer, bytes }, now);
        Ending::Answered
    }

    /// Ends an attempt of which the outcome is unknown.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit ends only one attempt"
    )]
    pub fn unknown(&mut self, permit: Permit, now: Duration) -> Ending {
        self.end(&permit, State::Unknown, now);
        Ending::Unknown
    }

    /// Stops taking new work; nothing is sent from uptime `last_send` on.
    pub fn stop(&mut self, last_send: Duration) {
        self.last_send = Some(last_send);
    }

    /// Counts a ticket that was issued for this process, so that a graceful shutdown waits for it.
    pub fn note_expiry(&mut self, expires: Duration) {
        self.last_expiry = self.last_expiry.max(Some(expires));
    }

    /// Uptime until which a stopping process must answer retries: the last expiry of all tickets
    /// issued or executed here. Running attempts are counted by [`Records::running`].
    pub fn last_expiry(&self) -> Option<Duration> {
        self.last_expiry
    }

    /// Attempts being executed.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Records kept.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Bytes of answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Drops the records whose retention has passed. `begin` does this as well; call it from a
    /// timer to free memory while there are no attempts.
    pub fn drop_old(&mut self, now: Duration) {
        while let Some(&(drop_at, id)) = self.drops.first() {
            if drop_at > now {
                break;
            }
            self.drops.pop_first();
            if let Some(record) = self.by_id.remove(&id)
                && let State::Answered { bytes, .. } = record.state
            {
                self.answer_bytes -= bytes;
            }
        }
    }

    fn running_record(&mut self, permit: &Permit) -> Option<&mut Record<A>> {
        let record = self.by_id.get_mut(&permit.id)?;
        let is_running = matches!(record.state, State::Running { .. });
        (record.number == permit.record && is_running).then_some(record)
    }

    fn end(&mut self, permit: &Permit, state: State<A>, now: Duration) {
        let retention = self.limits.retention;
        let Some(record) = self.running_record(permit) else {
            return;
        };
        // An attempt that ended late is kept as long as one that ended at its expiry.
        record.drop_at = record.expires.max(now) + retention;
        let drop_at = record.drop_at;
        let kept = match &state {
            State::Answered { bytes, .. } => *bytes,
            _ => 0,
        };
        record.state = state;
        self.answer_bytes += kept;
        self.drops.insert((drop_at, permit.id));
        self.running -= 1;
    }

    fn free_answer_bytes(&self) -> usize {
        let reserved = self.running * self.limits.reserved_bytes;
        self.limits
            .answer_bytes
            .saturating_sub(self.answer_bytes + reserved)
    }
}
