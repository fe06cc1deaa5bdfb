//! A plain breaker per server, to compare with the comparison of latencies.

use std::collections::VecDeque;
use std::time::Duration;

/// Calls that the breaker remembers.
const CALLS: usize = 20;
/// Time that the breaker stays open before a probe.
const OPEN: Duration = Duration::from_secs(1);

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until: Duration },
    HalfOpen { probing: bool },
}

/// Opens when half of the recent calls were slow, and closes after one fast probe.
#[derive(Clone, Debug)]
pub struct Breaker {
    slow: Duration,
    state: State,
    calls: VecDeque<bool>,
}

impl Breaker {
    /// Creates a closed breaker; calls longer than `slow` count against the server.
    pub fn new(slow: Duration) -> Self {
        Breaker {
            slow,
            state: State::Closed,
            calls: VecDeque::new(),
        }
    }

    /// True if a call may start.
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
        let slow = latency > self.slow;
        match self.state {
            State::HalfOpen { .. } if slow => self.state = State::Open { until: now + OPEN },
            State::HalfOpen { .. } => {
                self.state = State::Closed;
                self.calls.clear();
            }
            State::Open { .. } => {}
            State::Closed => {
                self.calls.push_back(slow);
                if self.calls.len() > CALLS {
                    self.calls.pop_front();
                }
                let count = self.calls.iter().filter(|s| **s).count();
                if self.calls.len() == CALLS && count * 2 >= CALLS {
                    self.state = State::Open { until: now + OPEN };
                }
            }
        }
    }
}
