//! A plain circuit breaker, measured as an alternative to the comparison of latencies between
//! servers.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent calls that are evaluated.
const WINDOW_CALLS: usize = 20;
/// Time that an open breaker rejects calls before it allows a probe.
const OPEN_DURATION: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Duration },
    HalfOpen { probing: bool },
}

/// Circuit breaker of one server. Opens when half of the last `WINDOW_CALLS` calls were slow, and
/// closes after one fast probe.
#[derive(Clone, Debug)]
pub struct Breaker {
    slow_threshold: Duration,
    state: State,
    calls: VecDeque<bool>,
}

impl Breaker {
    /// Creates a closed breaker; calls that take longer than `slow_threshold` count as slow.
    pub fn new(slow_threshold: Duration) -> Self {
        Breaker {
            slow_threshold,
            state: State::Closed,
            calls: VecDeque::new(),
        }
    }

    /// Returns true if a call may start.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { probing } => !probing,
        }
    }

    /// Records the start of a call.
    pub fn started(&mut self) {
        if self.state != State::Closed {
            self.state = State::HalfOpen { probing: true };
        }
    }

    /// Records the end of a call.
    pub fn finished(&mut self, now: Duration, latency: Duration) {
        let slow = latency > self.slow_threshold;
        match self.state {
            State::HalfOpen { .. } if slow => {
                self.state = State::Open {
                    until: now + OPEN_DURATION,
                }
            }
            State::HalfOpen { .. } => {
                self.state = State::Closed;
                self.calls.clear();
            }
            State::Open { .. } => {}
            State::Closed => {
                self.calls.push_back(slow);
                if self.calls.len() > WINDOW_CALLS {
                    self.calls.pop_front();
                }
                let count = self.calls.iter().filter(|s| **s).count();
                if self.calls.len() == WINDOW_CALLS && count * 2 >= WINDOW_CALLS {
                    self.state = State::Open {
                        until: now + OPEN_DURATION,
                    };
                }
            }
        }
    }
}
