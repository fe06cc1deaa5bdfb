//! Delay after which an idempotent request is sent to a second server.

use std::time::Duration;

use config::Class;
use hdrhistogram::Histogram;

use crate::budget::{Budget, Reason};

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Settings of the delay estimate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Quantile of recent latency that is the delay (0 to 1).
    pub quantile: f64,
    /// Length of a window; the estimate covers one to two of them.
    pub window: Duration,
    /// Samples below which nothing is hedged.
    pub min_samples: u64,
    /// Lower bound of the delay.
    pub min_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            // Hedges use at most 4% of the traffic and leave a fifth of a budget of 5% to retries.
            quantile: 0.96,
            window: Duration::from_secs(5),
            min_samples: 50,
            min_delay: Duration::from_millis(2),
        }
    }
}

/// Learns the delay for one service from the latency of answered attempts.
#[derive(Clone, Debug)]
pub struct Hedge {
    settings: Settings,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated: Duration,
    delay: Option<Duration>,
    stale: u32,
}

impl Hedge {
    /// Creates an estimator without samples.
    pub fn new(settings: Settings) -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, 2).expect("bounds are constants");
        Hedge {
            settings,
            previous: histogram.clone(),
            current: histogram,
            rotated: Duration::ZERO,
            delay: None,
            stale: 0,
        }
    }

    /// Records the latency of an attempt, or the elapsed time of a cancelled one.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.rotated + self.settings.window {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated = now;
        }
        self.current.saturating_record(latency.as_micros() as u64);
        self.stale += 1;
        // The quantile costs a pass over the histogram, so it is not taken for every sample.
        if self.stale >= 16 || self.delay.is_none() {
            self.stale = 0;
            self.delay = self.estimate();
        }
    }

    fn estimate(&self) -> Option<Duration> {
        let larger = if self.current.len() >= self.settings.min_samples {
            &self.current
        } else {
            &self.previous
        };
        if larger.len() < self.settings.min_samples {
            return None;
        }
        let micros = larger.value_at_quantile(self.settings.quantile);
        Some(Duration::from_micros(micros).max(self.settings.min_delay))
    }

    /// Recent latency at the quantile, for any class; a request that takes longer is unusual.
    pub fn quantile(&self) -> Option<Duration> {
        self.delay
    }

    /// Delay after which a request of this class is hedged; `None` if it must not be.
    pub fn delay(&self, class: Class, now: Duration, deadline: Duration) -> Option<Duration> {
        if class != Class::Idempotent {
            return None;
        }
        self.delay.filter(|delay| now + *delay < deadline)
    }

    /// Takes a token of the retry budget for a hedge of this class.
    pub fn take(class: Class, budget: &mut Budget) -> bool {
        class == Class::Idempotent && budget.take(Reason::Hedge)
    }
}
