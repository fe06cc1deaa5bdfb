//! Slots of a server and the short queue in front of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

/// Slots of one server; clones share them.
#[derive(Clone)]
pub(super) struct Slots {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    total: usize,
    max_queue: usize,
    busy: usize,
    peak: usize,
    /// Most requests ever in service or in the queue at once.
    peak_present: usize,
    next_waiter: u64,
    queue: VecDeque<(u64, Sender<()>)>,
}

/// One occupied slot; freed on drop.
pub(super) struct Slot {
    slots: Slots,
}

/// A place in the queue.
struct Waiter {
    id: u64,
    slots: Slots,
    granted: Receiver<()>,
    /// Whether the waiter has turned its grant into a [`Slot`].
    taken: bool,
}

impl Slots {
    /// Free slots.
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

    /// Slots in use.
    pub fn busy(&self) -> usize {
        self.lock().busy
    }

    /// Most slots ever in use at once.
    pub fn peak(&self) -> usize {
        self.lock().peak
    }

    /// Most requests ever in service or in the queue at once.
    pub fn peak_present(&self) -> usize {
        self.lock().peak_present
    }

    /// Waits for a slot; `None` if the queue is full.
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

    /// Hands a slot to the first waiter or frees it.
    fn release(&self) {
        let mut inner = self.lock();
        match inner.queue.pop_front() {
            // The channel has room for the one grant that it ever gets.
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
        // A waiter that is no longer queued was granted a slot that it never took.
        if !queued {
            self.slots.release();
        }
    }
}
