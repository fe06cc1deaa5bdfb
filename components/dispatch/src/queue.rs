//! Requests that wait for a slot, in the order in which they are served.

use std::time::Duration;

use config::RegionId;

use crate::pool::{Ask, AskId};

/// Share by which the usual service time is raised when judging whether a target can be met.
const SERVICE_MARGIN: f64 = 1.4;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// What was asked.
    pub ask: Ask,
    /// When it was asked.
    pub since: Duration,
    /// Other region in which it would run if requests could move between regions at once.
    pub wanted: Option<RegionId>,
}

impl Waiting {
    /// Time for which the caller has waited at entry VMs.
    pub fn waited(&self, now: Duration) -> Duration {
        self.ask.waited + now.saturating_sub(self.since)
    }

    /// Moment at which the target latency passes.
    pub fn target_at(&self) -> Duration {
        self.since + self.ask.target_left
    }

    /// Moment at which the caller gives up.
    pub fn deadline_at(&self) -> Duration {
        self.since + self.ask.deadline_left
    }

    /// Tells whether an answer can come within the target latency.
    pub fn can_meet_target(&self, usual: Duration, now: Duration) -> bool {
        now + usual.mul_f64(SERVICE_MARGIN) <= self.target_at()
    }
}

/// Waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
    /// Since when the queue has not been empty.
    standing_since: Option<Duration>,
}

impl Queue {
    pub fn push(&mut self, ask: Ask, now: Duration) {
        self.standing_since.get_or_insert(now);
        self.waiting.push(Waiting {
            ask,
            since: now,
            wanted: None,
        });
    }

    pub fn contains(&self, id: AskId) -> bool {
        self.waiting.iter().any(|w| w.ask.id == id)
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Time for which the queue has not been empty.
    pub fn standing(&self, now: Duration) -> Duration {
        self.standing_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Sorts by rank; within a rank those that can still meet their target first, by deadline,
    /// then the others, newest first, so that under overload some are on time and not all late.
    pub fn sort(&mut self, usual: Duration, now: Duration) {
        self.waiting.sort_by_cached_key(|w| {
            let late = !w.can_meet_target(usual, now);
            let order = if late {
                Duration::MAX.saturating_sub(w.since)
            } else {
                w.target_at()
            };
            (w.ask.spare, w.ask.rank, late, order)
        });
    }

    /// Removes and returns what `f` selects, in the order of the queue.
    pub fn take<T>(&mut self, mut f: impl FnMut(usize, &mut Waiting) -> Option<T>) -> Vec<T> {
        let mut taken = Vec::new();
        let mut position = 0;
        self.waiting.retain_mut(|w| {
            let chosen = f(position, w);
            let kept = chosen.is_none();
            taken.extend(chosen);
            position += usize::from(kept);
            kept
        });
        if self.waiting.is_empty() {
            self.standing_since = None;
        }
        taken
    }

    pub fn remove(&mut self, id: AskId) {
        self.take(|_, w| (w.ask.id == id).then_some(()));
    }

    pub fn remove_incarnation(&mut self, incarnation: u64) {
        self.take(|_, w| (w.ask.id.0 == incarnation).then_some(()));
    }
}
