//! A fake backend server with slots and a queue in front of them.

use std::collections::VecDeque;

/// A fake backend server; requests beyond its slots wait in order of arrival.
#[derive(Clone, Debug)]
pub struct Server {
    /// Slots.
    pub slots: u32,
    /// Attempts being served.
    pub busy: u32,
    /// Requests that arrived while all slots were busy.
    pub over_limit: u64,
    waiting: VecDeque<u32>,
}

impl Server {
    /// Creates an idle server.
    pub fn new(slots: u32) -> Self {
        Server {
            slots,
            busy: 0,
            over_limit: 0,
            waiting: VecDeque::new(),
        }
    }

    /// An attempt arrives; true if it starts now.
    pub fn arrive(&mut self, attempt: u32) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.over_limit += 1;
        self.waiting.push_back(attempt);
        false
    }

    /// An attempt in a slot has ended; returns the next one to start.
    pub fn finish(&mut self) -> Option<u32> {
        let next = self.waiting.pop_front();
        self.busy -= u32::from(next.is_none());
        next
    }
}
