//! Simulated backend server.

use std::collections::VecDeque;

/// A simulated backend server; attempts beyond its slots wait in order of arrival.
#[derive(Clone, Debug)]
pub struct Server {
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Attempts that arrived while all slots were in use.
    pub over_limit: u64,
    waiting: VecDeque<u32>,
}

impl Server {
    pub fn new(slots: u32) -> Self {
        Server {
            slots,
            busy: 0,
            over_limit: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Records the arrival of an attempt; returns true if it starts immediately.
    pub fn arrive(&mut self, attempt: u32) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.over_limit += 1;
        self.waiting.push_back(attempt);
        false
    }

    /// Frees the slot of an attempt; returns the waiting attempt that takes the slot.
    pub fn finish(&mut self) -> Option<u32> {
        let next = self.waiting.pop_front();
        self.busy -= u32::from(next.is_none());
        next
    }
}
