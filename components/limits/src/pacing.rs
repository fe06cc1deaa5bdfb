//! Token bucket for the bytes per second of an entry VM's share of a link.
//!
//! The caller offers chunks, not whole responses, so a short response waits for at most one
//! chunk of a long one.

use std::collections::VecDeque;
use std::time::Duration;

use config::Class;

/// Bytes of a response that count as short.
pub const SHORT_BYTES: u64 = 64 * 1024;

/// Largest chunk of the long lane that should be offered at once, in bytes.
pub const CHUNK_BYTES: u64 = 16 * 1024;

/// Priority of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Responses to binding work.
    Binding,
    /// The first bytes of idempotent responses.
    Short,
    /// The remainder of long responses, and deferrable work.
    Long,
}

impl Lane {
    /// Lane of the next chunk of a response of which `sent` bytes have been sent.
    pub fn of(class: Class, sent: u64) -> Self {
        match class {
            Class::Binding => Lane::Binding,
            Class::Idempotent if sent < SHORT_BYTES => Lane::Short,
            Class::Idempotent | Class::Deferrable => Lane::Long,
        }
    }

    /// Largest chunk that should be offered at once. In the upper lanes it is a whole short
    /// response, which then waits for one long chunk and not for one per chunk of its own.
    pub fn chunk_bytes(self) -> u64 {
        match self {
            Lane::Binding | Lane::Short => SHORT_BYTES,
            Lane::Long => CHUNK_BYTES,
        }
    }
}

/// Rate and bounds of a pacer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Share of the link, in bytes per second.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once after a pause.
    pub burst: u64,
    /// Share of the bytes that the long lane gets even if the others always wait (0 to 1).
    pub long_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            bytes_per_second: 0,
            burst: CHUNK_BYTES,
            long_share: 0.05,
        }
    }
}

/// Result of a [`Pacer::pop`].
#[derive(Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Send this chunk now.
    Send(T),
    /// Ask again after this time.
    Wait(Duration),
    /// Nothing is offered.
    Idle,
}

#[derive(Debug)]
struct Chunk<T> {
    bytes: u64,
    item: T,
}

/// Decides which offered chunk is sent next, and when.
#[derive(Debug)]
pub struct Pacer<T> {
    settings: Settings,
    lanes: [VecDeque<Chunk<T>>; 3],
    /// May be negative: a chunk is sent once there is any credit, so that chunks above the
    /// burst size are not blocked forever.
    credit: f64,
    /// Credit of the long lane against the other lanes.
    long_credit: f64,
    updated: Duration,
}

impl<T> Pacer<T> {
    /// Creates a pacer with a full bucket.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Pacer {
            credit: settings.burst as f64,
            settings,
            lanes: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            long_credit: 0.0,
            updated: now,
        }
    }

    /// Changes the rate, for a new configuration or number of entry VMs.
    pub fn set_rate(&mut self, now: Duration, bytes_per_second: u64) {
        self.refill(now);
        self.settings.bytes_per_second = bytes_per_second;
    }

    /// Offers a chunk.
    pub fn push(&mut self, lane: Lane, bytes: u64, item: T) {
        self.lanes[lane as usize].push_back(Chunk { bytes, item });
    }

    /// Bytes offered and not sent.
    pub fn waiting_bytes(&self) -> u64 {
        self.lanes.iter().flatten().map(|c| c.bytes).sum()
    }

    /// Takes the next chunk if the link share allows it.
    pub fn pop(&mut self, now: Duration) -> Step<T> {
        self.refill(now);
        let Some(lane) = self.next_lane() else {
            return Step::Idle;
        };
        if self.credit <= 0.0 {
            return Step::Wait(self.wait());
        }
        let Some(chunk) = self.lanes[lane as usize].pop_front() else {
            return Step::Idle;
        };
        let bytes = chunk.bytes as f64;
        self.credit -= bytes;
        self.count(lane, bytes);
        Step::Send(chunk.item)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let added = elapsed * self.settings.bytes_per_second as f64;
        self.credit = (self.credit + added).min(self.settings.burst as f64);
    }

    /// Time until the credit is positive.
    fn wait(&self) -> Duration {
        let rate = self.settings.bytes_per_second as f64;
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        // One byte more than the debt, and rounded up, so that the next call can send.
        Duration::from_secs_f64((1.0 - self.credit) / rate) + Duration::from_nanos(1)
    }

    fn next_lane(&self) -> Option<Lane> {
        let long = self.lanes[Lane::Long as usize].front();
        if long.is_some_and(|c| c.bytes as f64 <= self.long_credit) {
            return Some(Lane::Long);
        }
        let waits = |lane: &Lane| !self.lanes[*lane as usize].is_empty();
        [Lane::Binding, Lane::Short, Lane::Long]
            .into_iter()
            .find(waits)
    }

    fn count(&mut self, lane: Lane, bytes: f64) {
        if lane == Lane::Long {
            self.long_credit = (self.long_credit - bytes).max(0.0);
        } else if self.lanes[Lane::Long as usize].is_empty() {
            self.long_credit = 0.0;
        } else {
            self.long_credit += bytes * self.settings.long_share;
        }
    }
}
