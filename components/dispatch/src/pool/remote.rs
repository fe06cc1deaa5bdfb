//! Forwarding of requests to other regions.

use std::time::Duration;

use config::RegionId;

use super::{AdmissionRequest, Decision, Pool, PoolSnapshot, RequestId};
use crate::queue::QueuedRequest;
use crate::window::SlidingWindow;

/// Time for which a forwarded request is counted against the free slots that its region last
/// reported.
const FORWARD_WINDOW: Duration = Duration::from_millis(250);
/// A request is forwarded once its wait here exceeds this share of the round-trip time to the other
/// region.
const FORWARD_WAIT_RATIO: f64 = 0.5;
/// Age from which a report about another region is ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(900);

/// Last known state of the pool of another region.
#[derive(Clone, Debug)]
pub(super) struct RemotePool {
    pub snapshot: PoolSnapshot,
    /// When the snapshot was received.
    pub reported_at: Duration,
    /// Round-trip time to that region.
    round_trip_time: Duration,
    /// Requests forwarded within the last `FORWARD_WINDOW`.
    forwarded: SlidingWindow,
}

impl Pool {
    /// Records the reported state of the pool of another region.
    pub fn update_remote(
        &mut self,
        region: RegionId,
        snapshot: PoolSnapshot,
        round_trip_time: Duration,
        now: Duration,
    ) {
        let remote = self.remotes.entry(region).or_insert_with(|| RemotePool {
            snapshot,
            reported_at: now,
            round_trip_time,
            forwarded: SlidingWindow::new(FORWARD_WINDOW),
        });
        remote.snapshot = snapshot;
        remote.round_trip_time = round_trip_time;
        remote.reported_at = now;
    }

    /// Forwards a request that could run here, so that the share of another region does not drop
    /// faster than the shift limit allows.
    pub(super) fn forward_to_hold_share(
        &mut self,
        queued: &QueuedRequest,
        now: Duration,
    ) -> Option<(RequestId, Decision)> {
        let request = &queued.request;
        let shift_limiter = &mut self.shift_limiter;
        let (region, remote) = self.remotes.iter_mut().find(|(region, r)| {
            request.forward_regions.contains(region)
                && r.reported_at + REPORT_LIFETIME > now
                && r.snapshot.free > 0
                && shift_limiter.must_forward(region, now)
        })?;
        remote.forwarded.record(now);
        self.shift_limiter
            .record(queued.preferred_region.as_ref(), Some(region), now);
        Some((request.id, Decision::Forward(region.clone())))
    }

    pub(super) fn update_balance(&mut self, now: Duration) {
        if !self.balancer.is_due(now) || self.remotes.is_empty() {
            return;
        }
        let own = self.snapshot(now);
        let others: Vec<(RegionId, PoolSnapshot)> = self
            .remotes
            .iter()
            .filter(|(_, r)| r.reported_at + REPORT_LIFETIME > now)
            .map(|(region, r)| (region.clone(), r.snapshot))
            .collect();
        self.balancer.update(own, &others, now);
    }

    /// Forwards the requests that other regions take over to balance the load.
    pub(super) fn forward_to_balance(
        &mut self,
        queued: &mut QueuedRequest,
        now: Duration,
    ) -> Option<(RequestId, Decision)> {
        let request = &queued.request;
        if request.forward_regions.is_empty() {
            return None;
        }
        let region = self.balancer.region(object_fraction(request))?.clone();
        let remote = self.remotes.get_mut(&region)?;
        let fresh = remote.reported_at + REPORT_LIFETIME > now;
        if !fresh || !request.forward_regions.contains(&region) {
            return None;
        }
        queued.preferred_region = Some(region.clone());
        if !self.shift_limiter.may_forward(&region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift_limiter.record(Some(&region), Some(&region), now);
        Some((request.id, Decision::Forward(region)))
    }

    /// Forwards a request to the region with the most free slots, if the wait here is long compared
    /// with the round trip to that region.
    pub(super) fn forward_overflow(
        &mut self,
        queued: &mut QueuedRequest,
        position: usize,
        usable_slots: u32,
        now: Duration,
    ) -> Option<(RequestId, Decision)> {
        let mean_service_time = self.mean_or_initial_service_time();
        let wait = if usable_slots == 0 {
            Duration::MAX
        } else {
            mean_service_time.mul_f64((position + 1) as f64 / f64::from(usable_slots))
        };
        let wait = wait.max(now.saturating_sub(queued.queued_at));
        let (region, remote) = self
            .remotes
            .iter_mut()
            .filter(|(region, _)| queued.request.forward_regions.contains(region))
            .filter_map(|(region, r)| {
                let recently_forwarded = r.forwarded.count(now) as u32;
                let free_slots = r.snapshot.free.saturating_sub(recently_forwarded);
                let fresh = r.reported_at + REPORT_LIFETIME > now;
                let worth_it = wait >= r.round_trip_time.mul_f64(FORWARD_WAIT_RATIO);
                (fresh && free_slots > 0 && worth_it).then_some((free_slots, region, r))
            })
            .max_by_key(|(free_slots, ..)| *free_slots)
            .map(|(_, region, r)| (region, r))?;
        queued.preferred_region = Some(region.clone());
        if !self.shift_limiter.may_forward(region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift_limiter.record(Some(region), Some(region), now);
        Some((queued.request.id, Decision::Forward(region.clone())))
    }
}

/// Hash of a request's object (or of its number) as a fraction between 0 and 1; the same for all
/// requests for an object.
fn object_fraction(request: &AdmissionRequest) -> f64 {
    let hash = request
        .object
        .unwrap_or(request.id.1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
