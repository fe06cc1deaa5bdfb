//! Passive health checking: tracks a server's health from the outcomes of its requests.

use std::time::Duration;

use config::Incarnation;
use serde::{Deserialize, Serialize};

/// Failure rate above which a server gets at most one request at a time.
const SUSPECT_FAILURE_RATE: f64 = 0.5;
/// Weight of the newest outcome in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Weight of the newest latency in the moving average of the relative latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Back-off after the first failure to connect; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Back-off after another entry VM has reported that the server is leaving.
const LEAVING_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which an answer to another entry VM, or its failure to connect, tells whether a server is
/// down or one entry VM does not reach it.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Bounds of the relative latency. The upper bound keeps a slow server in use under load.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The server answered completely; holds the latency.
    Answered(Duration),
    /// The server answered with an error, or the response was corrupt.
    Failed,
    /// The server rejected the request without running it.
    Refused,
    /// The connection could not be opened.
    Unreachable,
    /// No response arrived before the request timed out.
    #[serde(rename = "Silent")]
    TimedOut,
    /// The attempt was cancelled after it had become slow: another server answered first, or the
    /// caller disconnected.
    Slow,
    /// The attempt was cancelled: the caller disconnected, or another server answered first.
    Cancelled,
    /// The granted slot was not used.
    Unused,
    /// The requesting entry VM knows that the server is leaving or evacuated.
    Leaving,
    /// The requesting entry VM knows that the server is cold, but the grant did not say so.
    Cold,
}

/// Failure rate, relative latency and back-off of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Moving average of the failure rate.
    failure_rate: f64,
    /// Moving average of the latency relative to the pool's mean.
    relative_latency: f64,
    /// Consecutive back-offs because the server was unreachable.
    unreachable_count: u32,
    /// No requests are sent before this time.
    backoff_until: Duration,
    /// Last entry VM that got an answer, and when.
    last_answer: Option<(Incarnation, Duration)>,
    /// Last entry VM that could not connect, and when.
    last_unreachable: Option<(Incarnation, Duration)>,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_rate: 0.0,
            relative_latency: 1.0,
            unreachable_count: 0,
            backoff_until: Duration::ZERO,
            last_answer: None,
            last_unreachable: None,
        }
    }
}

impl Health {
    /// Whether a server with `in_flight` requests may get another one.
    pub fn admits(&self, now: Duration, in_flight: u32) -> bool {
        if now < self.backoff_until {
            return false;
        }
        let suspect = self.unreachable_count > 0 || self.failure_rate > SUSPECT_FAILURE_RATE;
        !suspect || in_flight == 0
    }

    /// Latency relative to the pool's mean, raised by failures.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
            .clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1)
            * (1.0 + 4.0 * self.failure_rate)
    }

    /// Whether the last connection attempt failed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_count > 0
    }

    /// Records an outcome that the entry VM `by` reports; `expected` is the service time expected
    /// for the request.
    pub fn record(&mut self, outcome: Outcome, by: Incarnation, expected: Duration, now: Duration) {
        match outcome {
            Outcome::Answered(latency) => {
                self.last_answer = Some((by, now));
                self.unreachable_count = 0;
                self.record_failure_sample(0.0);
                let ratio = latency.as_secs_f64() / expected.as_secs_f64().max(0.001);
                self.relative_latency +=
                    LATENCY_WEIGHT * (ratio.min(RELATIVE_LATENCY_BOUNDS.1) - self.relative_latency);
            }
            Outcome::Failed | Outcome::Refused => self.record_failure_sample(1.0),
            Outcome::Unreachable => {
                let only_for_sender = self.is_reached_by_others(by, now);
                self.last_unreachable = Some((by, now));
                if !only_for_sender {
                    self.record_failure_sample(1.0);
                    self.back_off(now);
                }
            }
            Outcome::TimedOut => {
                self.record_failure_sample(1.0);
                self.record_slow();
            }
            Outcome::Slow => self.record_slow(),
            Outcome::Leaving => self.backoff_until = now + LEAVING_BACKOFF,
            Outcome::Cold | Outcome::Cancelled | Outcome::Unused => {}
        }
    }

    /// Whether another entry VM than `by` has had an answer lately, and after any other one failed to
    /// connect.
    fn is_reached_by_others(&self, by: Incarnation, now: Duration) -> bool {
        let of_other = |report: Option<(Incarnation, Duration)>| {
            let (_, at) = report.filter(|(vm, at)| *vm != by && *at + REPORT_WINDOW > now)?;
            Some(at)
        };
        of_other(self.last_answer).is_some_and(|answer| {
            of_other(self.last_unreachable).is_none_or(|failure| failure < answer)
        })
    }

    fn record_slow(&mut self) {
        self.relative_latency +=
            LATENCY_WEIGHT * (RELATIVE_LATENCY_BOUNDS.1 - self.relative_latency);
    }

    fn record_failure_sample(&mut self, failed: f64) {
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate);
    }

    fn back_off(&mut self, now: Duration) {
        if now >= self.backoff_until {
            let back_off = INITIAL_BACKOFF * 2u32.saturating_pow(self.unreachable_count.min(8));
            self.backoff_until = now + back_off.min(MAX_BACKOFF);
            self.unreachable_count = self.unreachable_count.saturating_add(1);
        }
    }
}
