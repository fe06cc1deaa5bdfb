//! Sliding-window event counter.

use std::collections::VecDeque;
use std::time::Duration;

/// Timestamps of the events within the last `span`.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span: Duration,
    /// In ascending order.
    timestamps: VecDeque<Duration>,
}

impl SlidingWindow {
    pub fn new(span: Duration) -> Self {
        SlidingWindow {
            span,
            timestamps: VecDeque::new(),
        }
    }

    pub fn record(&mut self, now: Duration) {
        self.expire(now);
        self.timestamps.push_back(now);
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Duration) -> usize {
        self.expire(now);
        self.timestamps.len()
    }

    fn expire(&mut self, now: Duration) {
        while self
            .timestamps
            .front()
            .is_some_and(|&at| at + self.span <= now)
        {
            self.timestamps.pop_front();
        }
    }
}
