//! Token bucket that limits the bytes per second of an entry VM's share of a link.
//!
//! Responses are enqueued in chunks, so a short response waits for at most one chunk of a long one.

use std::collections::VecDeque;
use std::time::Duration;

use config::Class;

/// Number of bytes at the start of an idempotent response that go to the short lane.
pub const SHORT_BYTES: u64 = 64 * 1024;

/// Largest chunk that should be enqueued in the long lane.
pub const CHUNK_BYTES: u64 = 16 * 1024;

/// Priority of a chunk, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Responses to binding work.
    Binding,
    /// The first [`SHORT_BYTES`] of idempotent responses.
    Short,
    /// The remainder of long idempotent responses, and responses to deferrable work.
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

    /// Largest chunk that should be enqueued in this lane. The two higher lanes take a whole short
    /// response as one chunk, so that it waits for at most one long chunk in total.
    pub fn chunk_bytes(self) -> u64 {
        match self {
            Lane::Binding | Lane::Short => SHORT_BYTES,
            Lane::Long => CHUNK_BYTES,
        }
    }
}

/// Rate and burst limits of a [`Pacer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Rate of this VM's share of the link.
    pub bytes_per_second: u64,
    /// Capacity of the bucket in bytes, which may be sent at once after an idle period.
    pub burst: u64,
    /// Share of the bytes that the long lane gets even if the other lanes are never empty (0 to 1).
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
pub enum PopResult<T> {
    /// Send this chunk now.
    Send(T),
    /// The bucket is empty; call again after this time.
    Wait(Duration),
    /// All lanes are empty.
    Idle,
}

#[derive(Debug)]
struct Chunk<T> {
    bytes: u64,
    item: T,
}

/// Schedules enqueued chunks by lane and limits their rate.
#[derive(Debug)]
pub struct Pacer<T> {
    settings: Settings,
    lanes: [VecDeque<Chunk<T>>; 3],
    /// Bytes that may be sent now. Negative after an overdraft: a chunk is sent once the credit is
    /// positive, since chunks above the burst size would otherwise never be sent.
    credit: f64,
    /// Bytes of the long lane that take precedence over the other lanes.
    long_credit: f64,
    refilled_at: Duration,
}

impl<T> Pacer<T> {
    /// Creates a pacer with a full bucket.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Pacer {
            credit: settings.burst as f64,
            settings,
            lanes: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            long_credit: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate after a change of the configuration or of the number of entry VMs.
    pub fn set_rate(&mut self, now: Duration, bytes_per_second: u64) {
        self.refill(now);
        self.settings.bytes_per_second = bytes_per_second;
    }

    /// Enqueues a chunk.
    pub fn push(&mut self, lane: Lane, bytes: u64, item: T) {
        self.lanes[lane as usize].push_back(Chunk { bytes, item });
    }

    /// Bytes enqueued and not yet sent.
    pub fn waiting_bytes(&self) -> u64 {
        self.lanes.iter().flatten().map(|c| c.bytes).sum()
    }

    /// Dequeues the next chunk if the rate allows it.
    pub fn pop(&mut self, now: Duration) -> PopResult<T> {
        self.refill(now);
        let Some(lane) = self.next_lane() else {
            return PopResult::Idle;
        };
        if self.credit <= 0.0 {
            return PopResult::Wait(self.time_until_credit());
        }
        let Some(chunk) = self.lanes[lane as usize].pop_front() else {
            return PopResult::Idle;
        };
        let bytes = chunk.bytes as f64;
        self.credit -= bytes;
        self.update_long_credit(lane, bytes);
        PopResult::Send(chunk.item)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let added = elapsed * self.settings.bytes_per_second as f64;
        self.credit = (self.credit + added).min(self.settings.burst as f64);
    }

    /// Time until the credit is positive.
    fn time_until_credit(&self) -> Duration {
        let rate = self.settings.bytes_per_second as f64;
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        // Up to a credit of one byte, rounded up, so that the next call can send.
        Duration::from_secs_f64((1.0 - self.credit) / rate) + Duration::from_nanos(1)
    }

    fn next_lane(&self) -> Option<Lane> {
        let long = self.lanes[Lane::Long as usize].front();
        if long.is_some_and(|c| c.bytes as f64 <= self.long_credit) {
            return Some(Lane::Long);
        }
        let has_chunks = |lane: &Lane| !self.lanes[*lane as usize].is_empty();
        [Lane::Binding, Lane::Short, Lane::Long]
            .into_iter()
            .find(has_chunks)
    }

    fn update_long_credit(&mut self, lane: Lane, bytes: f64) {
        if lane == Lane::Long {
            self.long_credit = (self.long_credit - bytes).max(0.0);
        } else if self.lanes[Lane::Long as usize].is_empty() {
            self.long_credit = 0.0;
        } else {
            self.long_credit += bytes * self.settings.long_share;
        }
    }
}
