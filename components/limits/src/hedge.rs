//! Delay after which an idempotent request is sent to a second server.

use std::time::Duration;

use config::Class;
use hdrhistogram::Histogram;

use crate::budget::{RetryBudget, RetryReason};

/// Upper bound of the histograms; longer latencies are recorded as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Quantile of the recent latency that is used as the delay (0 to 1).
    pub quantile: f64,
    /// Length of a histogram window; the estimate uses the samples of the current or previous one.
    pub window: Duration,
    /// Fewest samples in a window for an estimate; without one, nothing is hedged.
    pub min_samples: u64,
    /// Lower bound of the delay.
    pub min_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            // Hedges are at most 4% of the traffic, which leaves a fifth of a retry budget of 5% to
            // other retries.
            quantile: 0.96,
            window: Duration::from_secs(5),
            min_samples: 50,
            min_delay: Duration::from_millis(2),
        }
    }
}

/// Estimates the hedge delay of a service from the latency of its recent attempts.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    settings: Settings,
    current_window: Histogram<u32>,
    previous_window: Histogram<u32>,
    rotated_at: Duration,
    delay: Option<Duration>,
    samples_since_estimate: u32,
}

impl HedgeDelay {
    /// Creates an estimator without samples.
    pub fn new(settings: Settings) -> Self {
        let histogram =
            Histogram::new_with_max(MAX_LATENCY_MICROS, 2).expect("bounds are constants");
        HedgeDelay {
            settings,
            previous_window: histogram.clone(),
            current_window: histogram,
            rotated_at: Duration::ZERO,
            delay: None,
            samples_since_estimate: 0,
        }
    }

    /// Records the latency of an attempt, or the elapsed time of a cancelled one.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.rotated_at + self.settings.window {
            std::mem::swap(&mut self.current_window, &mut self.previous_window);
            self.current_window.reset();
            self.rotated_at = now;
        }
        self.current_window
            .saturating_record(latency.as_micros() as u64);
        self.samples_since_estimate += 1;
        // The quantile costs a pass over the histogram, so it is not computed for every sample.
        if self.samples_since_estimate >= 16 || self.delay.is_none() {
            self.samples_since_estimate = 0;
            self.delay = self.estimate();
        }
    }

    fn estimate(&self) -> Option<Duration> {
        let window = if self.current_window.len() >= self.settings.min_samples {
            &self.current_window
        } else {
            &self.previous_window
        };
        if window.len() < self.settings.min_samples {
            return None;
        }
        let micros = window.value_at_quantile(self.settings.quantile);
        Some(Duration::from_micros(micros).max(self.settings.min_delay))
    }

    /// Recent latency at the configured quantile, for any class; at least [`Settings::min_delay`].
    pub fn quantile(&self) -> Option<Duration> {
        self.delay
    }

    /// Delay after which a request of this class is hedged; `None` if the class is not idempotent,
    /// there is no estimate yet, or the deadline is earlier.
    pub fn delay(&self, class: Class, now: Duration, deadline: Duration) -> Option<Duration> {
        if class != Class::Idempotent {
            return None;
        }
        self.delay.filter(|delay| now + *delay < deadline)
    }

    /// Takes a token of the retry budget for a hedge; returns false if the budget is exhausted or
    /// the class must not be hedged.
    pub fn try_take_token(class: Class, budget: &mut RetryBudget) -> bool {
        class == Class::Idempotent && budget.try_take_token(RetryReason::Hedge)
    }
}
