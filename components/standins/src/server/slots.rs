//! Slots of a server and the bounded queue of requests that wait for one.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

/// Slots of a server; clones share them.
#[derive(Clone)]
pub(super) struct Slots {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    total: usize,
    max_queue: usize,
    busy: usize,
    peak: usize,
    /// Highest number of requests at once in service, in the queue, or refused by a full queue.
    peak_present: usize,
    next_waiter: u64,
    queue: VecDeque<(u64, Sender<()>)>,
}

/// Slot in use; released on drop.
pub(super) struct Slot {
    slots: Slots,
}

/// Place in the queue; given up on drop.
struct Waiter {
    id: u64,
    slots: Slots,
    granted: Receiver<()>,
    /// Whether the grant has become a [`Slot`], which then releases it.
    taken: bool,
}

impl Slots {
    pub fn new(total: usize, max_queue: usize) -> Slots {
        let inner = Inner {
            total,
            max_queue,
            busy: 0,
            peak: 0,
            peak_present: 0,
            next_waiter: 0,
            queue: VecDeque::new(),
        };
        Slots {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    pub fn busy(&self) -> usize {
        self.lock().busy
    }

    /// Returns the highest number of slots in use at once.
    pub fn peak(&self) -> usize {
        self.lock().peak
    }

    /// Returns the highest number of requests at once in service, in the queue, or refused by a full
    /// queue.
    pub fn peak_present(&self) -> usize {
        self.lock().peak_present
    }

    /// Waits for a slot in order of arrival; returns `None` at once if the queue is full.
    pub async fn acquire(&self) -> Option<Slot> {
        let mut waiter = {
            let mut inner = self.lock();
            let present = inner.busy + inner.queue.len() + 1;
            inner.peak_present = inner.peak_present.max(present);
            if inner.busy < inner.total {
                inner.busy += 1;
                inner.peak = inner.peak.max(inner.busy);
                return Some(Slot {
                    slots: self.clone(),
                });
            }
            if inner.queue.len() >= inner.max_queue {
                return None;
            }
            let (tx, granted) = async_channel::bounded(1);
            let id = inner.next_waiter;
            inner.next_waiter += 1;
            inner.queue.push_back((id, tx));
            Waiter {
                id,
                slots: self.clone(),
                granted,
                taken: false,
            }
        };
        waiter.granted.recv().await.ok()?;
        waiter.taken = true;
        Some(Slot {
            slots: self.clone(),
        })
    }

    /// Passes a slot on to the first waiter, or frees it if nobody waits.
    fn release(&self) {
        let mut inner = self.lock();
        match inner.queue.pop_front() {
            // Cannot fail for lack of room: each waiter gets a single grant.
            Some((_, tx)) => drop(tx.try_send(())),
            None => inner.busy -= 1,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release();
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let queued = {
            let mut inner = self.slots.lock();
            let before = inner.queue.len();
            inner.queue.retain(|(id, _)| *id != self.id);
            inner.queue.len() < before
        };
        // A waiter that has left the queue holds a granted slot that nobody uses.
        if !queued {
            self.slots.release();
        }
    }
}
