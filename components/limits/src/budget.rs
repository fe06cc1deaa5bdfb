//! Retry budget of a service at an entry VM, and backoff between retries.

use std::time::Duration;

/// Capacity of the bucket in tokens, which bounds a burst of retries.
const MAX_TOKENS: f64 = 20.0;

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The connection could not be opened.
    Connect,
    /// The server rejected the request because of overload.
    Shed,
    /// The connection closed before the response was complete.
    Closed,
    /// The attempt timed out.
    Timeout,
    /// Hedge: the first attempt exceeded the hedge delay.
    Hedge,
}

impl RetryReason {
    /// All reasons, in the order of their discriminants, which index the counters.
    pub const ALL: [RetryReason; 5] = [
        RetryReason::Connect,
        RetryReason::Shed,
        RetryReason::Closed,
        RetryReason::Timeout,
        RetryReason::Hedge,
    ];

    /// Value of the `reason` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RetryReason::Connect => "connect",
            RetryReason::Shed => "shed",
            RetryReason::Closed => "closed",
            RetryReason::Timeout => "timeout",
            RetryReason::Hedge => "hedge",
        }
    }
}

/// Retries of one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Retries that took a token.
    pub granted: u64,
    /// Retries refused because the budget was exhausted.
    pub denied: u64,
}

/// Token bucket that limits retries to a share of the traffic: each first attempt adds `share`
/// tokens, and each retry or hedge takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    counts: [RetryCounts; RetryReason::ALL.len()],
}

impl RetryBudget {
    /// Creates an empty bucket, so that retries never exceed `share` of the first attempts.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share: share.clamp(0.0, 1.0),
            tokens: 0.0,
            counts: [RetryCounts::default(); RetryReason::ALL.len()],
        }
    }

    /// Changes the share after a change of the configuration.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Records the first attempt of a request, which adds `share` tokens.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns false if the budget is exhausted.
    pub fn try_take_token(&mut self, reason: RetryReason) -> bool {
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
    pub fn refund(&mut self, reason: RetryReason) {
        let count = &mut self.counts[reason as usize];
        if count.granted > 0 {
            count.granted -= 1;
            self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
        }
    }

    pub fn count(&self, reason: RetryReason) -> RetryCounts {
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
    /// Random delay before retry number `attempt` (0 is the first retry), or `None` if the retry
    /// would start at or after the deadline.
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
