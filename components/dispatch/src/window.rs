//! Counts of events in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Moments of the events of the last `span`.
#[derive(Clone, Debug)]
pub struct Window {
    /// Length of the window.
    span: Duration,
    /// Moments in ascending order.
    moments: VecDeque<Duration>,
}

impl Window {
    /// Creates an empty window.
    pub fn new(span: Duration) -> Self {
        Window {
            span,
            moments: VecDeque::new(),
        }
    }

    /// Adds an event.
    pub fn record(&mut self, now: Duration) {
        self.expire(now);
        self.moments.push_back(now);
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Duration) -> usize {
        self.expire(now);
        self.moments.len()
    }

    fn expire(&mut self, now: Duration) {
        while self
            .moments
            .front()
            .is_some_and(|&at| at + self.span <= now)
        {
            self.moments.pop_front();
        }
    }
}
