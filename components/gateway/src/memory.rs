//! Budget for the bodies that an entry VM holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that all bodies together may take.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    held: AtomicUsize,
}

impl BodyMemory {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(BodyMemory {
            limit,
            held: AtomicUsize::new(0),
        })
    }

    /// Creates a reservation of no memory, which can grow.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are reserved.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn limit(&self) -> usize {
        self.limit
    }
}

/// Memory reserved for a body until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// Reserves as much as a growing buffer needs to hold `length` bytes; returns false if the budget
    /// does not allow it.
    pub fn grow_to(&mut self, length: usize) -> bool {
        // Buffers double their capacity when they are full.
        length <= self.bytes || self.grow((length - self.bytes).max(self.bytes))
    }

    /// Reserves further memory; returns false if the budget does not allow it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let held = self.memory.held.fetch_add(bytes, Ordering::Relaxed);
        if held.saturating_add(bytes) > self.memory.limit {
            self.memory.held.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        metrics::gauge!("gateway_body_memory_bytes").set((held + bytes) as f64);
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let held = self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
        metrics::gauge!("gateway_body_memory_bytes").set((held - self.bytes) as f64);
    }
}
