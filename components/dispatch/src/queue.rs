//! Queue of requests that wait for a slot.

use std::time::Duration;

use config::RegionId;

use crate::pool::{AdmissionRequest, RequestId};

/// Factor on the mean service time when judging whether a request can meet its target latency.
const SERVICE_MARGIN: f64 = 1.4;

#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: AdmissionRequest,
    /// When it entered the queue.
    pub queued_at: Duration,
    /// Other region in which it would run if the shift limit did not apply.
    pub preferred_region: Option<RegionId>,
}

impl QueuedRequest {
    /// Time for which the caller has waited so far, at this entry VM and before.
    pub fn waited(&self, now: Duration) -> Duration {
        self.request.waited + now.saturating_sub(self.queued_at)
    }

    /// When the target latency passes.
    pub fn target_time(&self) -> Duration {
        self.queued_at + self.request.target_left
    }

    /// When the caller gives up.
    pub fn deadline(&self) -> Duration {
        self.queued_at + self.request.deadline_left
    }

    /// Whether a response can arrive within the target latency.
    pub fn can_meet_target(&self, mean_service_time: Duration, now: Duration) -> bool {
        now + mean_service_time.mul_f64(SERVICE_MARGIN) <= self.target_time()
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    requests: Vec<QueuedRequest>,
    /// Since when the queue has not been empty.
    standing_since: Option<Duration>,
}

impl Queue {
    pub fn push(&mut self, request: AdmissionRequest, now: Duration) {
        self.standing_since.get_or_insert(now);
        self.requests.push(QueuedRequest {
            request,
            queued_at: now,
            preferred_region: None,
        });
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.iter().any(|r| r.request.id == id)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Time for which the queue has not been empty.
    pub fn standing_time(&self, now: Duration) -> Duration {
        self.standing_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Sorts hedges last, then by priority. Within a priority, requests that can still meet their
    /// target come first, by earliest target time; the others follow, newest first, so that under
    /// overload some responses are on time instead of all being late.
    pub fn sort(&mut self, mean_service_time: Duration, now: Duration) {
        self.requests.sort_by_cached_key(|r| {
            let misses_target = !r.can_meet_target(mean_service_time, now);
            let order = if misses_target {
                Duration::MAX.saturating_sub(r.queued_at)
            } else {
                r.target_time()
            };
            (r.request.hedge, r.request.priority, misses_target, order)
        });
    }

    /// Removes the requests for which `f` returns a value, in queue order, and returns those
    /// values. `f` gets the position among the remaining requests.
    pub fn take<T>(&mut self, mut f: impl FnMut(usize, &mut QueuedRequest) -> Option<T>) -> Vec<T> {
        let mut taken = Vec::new();
        let mut position = 0;
        self.requests.retain_mut(|r| {
            let value = f(position, r);
            let keep = value.is_none();
            taken.extend(value);
            position += usize::from(keep);
            keep
        });
        if self.requests.is_empty() {
            self.standing_since = None;
        }
        taken
    }

    pub fn remove(&mut self, id: RequestId) {
        self.take(|_, r| (r.request.id == id).then_some(()));
    }

    pub fn remove_incarnation(&mut self, incarnation: u64) {
        self.take(|_, r| (r.request.id.0 == incarnation).then_some(()));
    }
}
