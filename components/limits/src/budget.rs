//! Retry budget of one service at one entry VM, and backoff between retries.

use std::time::Duration;

/// Tokens that can accumulate while no retries are needed.
const MAX_TOKENS: f64 = 20.0;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The connection could not be opened.
    Connect,
    /// The server shed the request.
    Shed,
    /// The connection closed before the response was complete.
    Closed,
    /// The attempt timed out.
    Timeout,
    /// Hedge: the first attempt takes longer than usual.
    Hedge,
}

impl Reason {
    /// All reasons, in counter order.
    pub const ALL: [Reason; 5] = [
        Reason::Connect,
        Reason::Shed,
        Reason::Closed,
        Reason::Timeout,
        Reason::Hedge,
    ];

    /// Label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Connect => "connect",
            Reason::Shed => "shed",
            Reason::Closed => "closed",
            Reason::Timeout => "timeout",
            Reason::Hedge => "hedge",
        }
    }
}

/// Counters of one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Sent again.
    pub granted: u64,
    /// Not sent again because the budget was spent.
    pub denied: u64,
}

/// Token bucket filled by traffic: each first attempt adds `share` tokens, each retry or hedge
/// takes one.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
    counts: [Count; Reason::ALL.len()],
}

impl Budget {
    /// Creates an empty bucket, so that retries never exceed `share` of the first attempts.
    pub fn new(share: f64) -> Self {
        Budget {
            share: share.clamp(0.0, 1.0),
            tokens: 0.0,
            counts: [Count::default(); Reason::ALL.len()],
        }
    }

    /// Changes the share, for a new configuration.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, reason: Reason) -> bool {
        let granted = self.tokens >= 1.0;
        let count = &mut self.counts[reason as usize];
        if granted {
            self.tokens -= 1.0;
            count.granted += 1;
        } else {
            count.denied += 1;
        }
        granted
    }

    /// Returns the token of a retry that was granted but not sent.
    pub fn give_back(&mut self, reason: Reason) {
        let count = &mut self.counts[reason as usize];
        if count.granted > 0 {
            count.granted -= 1;
            self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
        }
    }

    /// Counters of a reason.
    pub fn count(&self, reason: Reason) -> Count {
        self.counts[reason as usize]
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of all delays.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            base: Duration::from_millis(20),
            max: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Delay before retry number `attempt` (0 is the first retry), or `None` if it would end
    /// after the deadline.
    pub fn delay(
        &self,
        attempt: u32,
        now: Duration,
        deadline: Duration,
        rng: &mut fastrand::Rng,
    ) -> Option<Duration> {
        let factor = 2_u32.saturating_pow(attempt.min(16));
        let bound = self.base.saturating_mul(factor).min(self.max);
        let delay = bound.mul_f64(rng.f64());
        (now + delay < deadline).then_some(delay)
    }
}
