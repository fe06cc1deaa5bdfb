//! Health of a server, from the outcomes of its requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Failure rate above which a server gets one request at a time.
const SUSPECT_RATE: f64 = 0.5;
/// Weight of the newest outcome in the failure rate.
const RATE_WEIGHT: f64 = 0.2;
/// Weight of the newest latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// First time without requests after the server could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest time without requests.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Time without requests after another entry VM has said that the server is leaving.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);
/// Bounds of the relative latency; the upper one keeps a slow server in use under load.
const RELATIVE_BOUNDS: (f64, f64) = (0.5, 8.0);

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Complete answer after this time, relative to the usual service time.
    Answered(Duration),
    /// The server answered with an error, or its answer was damaged.
    Failed,
    /// The server refused the request without running it.
    Refused,
    /// The connection could not be opened.
    Unreachable,
    /// No answer came within the time that the request had.
    Silent,
    /// Another server answered first, or the caller left, after this one had become slow.
    Slow,
    /// The caller left or another server answered first.
    Cancelled,
    /// The granted slot was not used.
    Unused,
    /// The server is leaving or evacuated, as the entry VM that asked knows.
    Leaving,
    /// The server is cold, as the entry VM that asked knows, and was not granted as such.
    Cold,
}

/// Failure rate, latency and pauses of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Moving share of failed requests.
    failure_rate: f64,
    /// Moving latency relative to the pool's.
    relative: f64,
    /// Consecutive requests that found the server unreachable or silent.
    misses: u32,
    /// No requests before this moment.
    paused_until: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_rate: 0.0,
            relative: 1.0,
            misses: 0,
            paused_until: Duration::ZERO,
        }
    }
}

impl Health {
    /// Tells whether a server with `in_flight` requests may get one more.
    pub fn admits(&self, now: Duration, in_flight: u32) -> bool {
        if now < self.paused_until {
            return false;
        }
        let suspect = self.misses > 0 || self.failure_rate > SUSPECT_RATE;
        !suspect || in_flight == 0
    }

    /// Latency relative to the pool's, raised by failures.
    pub fn relative_latency(&self) -> f64 {
        self.relative.clamp(RELATIVE_BOUNDS.0, RELATIVE_BOUNDS.1) * (1.0 + 4.0 * self.failure_rate)
    }

    /// Tells whether the last requests found the server unreachable.
    pub fn missing(&self) -> bool {
        self.misses > 0
    }

    /// Records an outcome; `usual` is the pool's service time.
    pub fn record(&mut self, outcome: Outcome, usual: Duration, now: Duration) {
        match outcome {
            Outcome::Answered(latency) => {
                self.misses = 0;
                self.fail(0.0);
                let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(0.001);
                self.relative += LATENCY_WEIGHT * (ratio.min(RELATIVE_BOUNDS.1) - self.relative);
            }
            Outcome::Failed | Outcome::Refused => self.fail(1.0),
            Outcome::Unreachable => {
                self.fail(1.0);
                self.pause(now);
            }
            Outcome::Silent => {
                self.fail(1.0);
                self.slow_down();
            }
            Outcome::Slow => self.slow_down(),
            Outcome::Leaving => self.paused_until = now + LEAVING_PAUSE,
            Outcome::Cold | Outcome::Cancelled | Outcome::Unused => {}
        }
    }

    fn slow_down(&mut self) {
        self.relative += LATENCY_WEIGHT * (RELATIVE_BOUNDS.1 - self.relative);
    }

    fn fail(&mut self, failed: f64) {
        self.failure_rate += RATE_WEIGHT * (failed - self.failure_rate);
    }

    fn pause(&mut self, now: Duration) {
        if now >= self.paused_until {
            let pause = FIRST_PAUSE * 2u32.saturating_pow(self.misses.min(8));
            self.paused_until = now + pause.min(LONGEST_PAUSE);
            self.misses = self.misses.saturating_add(1);
        }
    }
}
