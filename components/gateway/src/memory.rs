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

    /// Reserves memory until the reservation is dropped; `None` if the budget does not allow it.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            memory: self.clone(),
            bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }
}

/// Memory reserved for a body.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// Reserves further memory; returns false if the budget does not allow it.
    pub fn grow(&mut self, bytes: usize) -> bool {
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
        let held = self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
        metrics::gauge!("gateway_body_memory_bytes").set((held - self.bytes) as f64);
    }
}
