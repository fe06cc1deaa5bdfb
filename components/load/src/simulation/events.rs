//! Event queue ordered by virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Pending events; events with the same time are returned in the order in which they were added.
#[derive(Debug)]
pub struct Events<E> {
    times: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Events {
            times: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<E> Events<E> {
    pub fn push(&mut self, at: Duration, event: E) {
        self.times.push(Reverse((at, self.next)));
        self.pending.insert(self.next, event);
        self.next += 1;
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, number)) = self.times.pop()?;
        let event = self.pending.remove(&number)?;
        Some((at, event))
    }
}
