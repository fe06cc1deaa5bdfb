//! Requests that run in other regions.

use std::time::Duration;

use config::RegionId;

use super::{Ask, AskId, Decision, Pool, Snapshot};
use crate::queue::Waiting;
use crate::window::Window;

/// Time for which forwarded requests are counted against the last report of free slots.
const FORWARD_WINDOW: Duration = Duration::from_millis(250);
/// Share of the round trip to another region that a request may wait here before it is forwarded.
const FORWARD_WAIT: f64 = 0.5;
/// Age at which a report about another region is not used.
const REMOTE_LIFETIME: Duration = Duration::from_millis(900);

/// What is known of the pool of another region.
#[derive(Clone, Debug)]
pub(super) struct Remote {
    pub snapshot: Snapshot,
    /// When it was reported.
    pub at: Duration,
    /// Round trip to that region.
    round_trip: Duration,
    /// Requests forwarded since.
    forwarded: Window,
}

impl Pool {
    /// Records the state of the pool of another region.
    pub fn note_remote(
        &mut self,
        region: RegionId,
        snapshot: Snapshot,
        round_trip: Duration,
        now: Duration,
    ) {
        let remote = self.remotes.entry(region).or_insert_with(|| Remote {
            snapshot,
            at: now,
            round_trip,
            forwarded: Window::new(FORWARD_WINDOW),
        });
        remote.snapshot = snapshot;
        remote.round_trip = round_trip;
        remote.at = now;
    }

    /// Passes a request on although it could run here, where too many would come back at once.
    pub(super) fn keep_away(
        &mut self,
        waiting: &Waiting,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        let shift = &mut self.shift;
        let (region, remote) = self.remotes.iter_mut().find(|(region, r)| {
            ask.regions.contains(region)
                && r.at + REMOTE_LIFETIME > now
                && r.snapshot.free > 0
                && shift.must_leave(region, now)
        })?;
        remote.forwarded.record(now);
        self.shift
            .record(waiting.wanted.as_ref(), Some(region), now);
        Some((ask.id, Decision::Forward(region.clone())))
    }

    pub(super) fn update_balance(&mut self, now: Duration) {
        if !self.balance.is_due(now) || self.remotes.is_empty() {
            return;
        }
        let own = self.snapshot(now);
        let others: Vec<(RegionId, Snapshot)> = self
            .remotes
            .iter()
            .filter(|(_, r)| r.at + REMOTE_LIFETIME > now)
            .map(|(region, r)| (region.clone(), r.snapshot))
            .collect();
        self.balance.update(own, &others, now);
    }

    /// Passes on the requests that other regions run to balance the load.
    pub(super) fn send_away(
        &mut self,
        waiting: &mut Waiting,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        if ask.regions.is_empty() {
            return None;
        }
        let region = self.balance.region(place(ask))?.clone();
        let remote = self.remotes.get_mut(&region)?;
        let fresh = remote.at + REMOTE_LIFETIME > now;
        if !fresh || !ask.regions.contains(&region) {
            return None;
        }
        waiting.wanted = Some(region.clone());
        if !self.shift.may_leave(&region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift.record(Some(&region), Some(&region), now);
        Some((ask.id, Decision::Forward(region)))
    }

    pub(super) fn forward(
        &mut self,
        waiting: &mut Waiting,
        position: usize,
        capacity: u32,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let usual = self.usual_or_first();
        let wait = if capacity == 0 {
            Duration::MAX
        } else {
            usual.mul_f64((position + 1) as f64 / f64::from(capacity))
        };
        let wait = wait.max(now.saturating_sub(waiting.since));
        let (region, remote) = self
            .remotes
            .iter_mut()
            .filter(|(region, _)| waiting.ask.regions.contains(region))
            .filter_map(|(region, r)| {
                let sent = r.forwarded.count(now) as u32;
                let left = r.snapshot.free.saturating_sub(sent);
                let fresh = r.at + REMOTE_LIFETIME > now;
                let worth_it = wait >= r.round_trip.mul_f64(FORWARD_WAIT);
                (fresh && left > 0 && worth_it).then_some((left, region, r))
            })
            .max_by_key(|(left, ..)| *left)
            .map(|(_, region, r)| (region, r))?;
        waiting.wanted = Some(region.clone());
        if !self.shift.may_leave(region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift.record(Some(region), Some(region), now);
        Some((waiting.ask.id, Decision::Forward(region.clone())))
    }
}

/// Place of a request between 0 and 1, the same for all requests for an object.
fn place(ask: &Ask) -> f64 {
    let mixed = ask
        .object
        .unwrap_or(ask.id.1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
