//! Shares of the requests of a region that run in other regions, so that all are equally loaded.

use std::time::Duration;

use config::RegionId;

use crate::pool::Snapshot;

/// Load up to which a region keeps all requests; above it, waits for slots grow quickly.
const KEPT_LOAD: f64 = 0.85;
/// Time between two updates.
const PERIOD: Duration = Duration::from_millis(100);
/// Part of the difference to the new shares that an update makes up for; smooths arrivals that
/// are counted over two seconds.
const STEP: f64 = 0.25;

/// Shares of other regions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balance {
    shares: Vec<(RegionId, f64)>,
    updated: Duration,
}

impl Balance {
    /// Tells whether the shares are due to be updated.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.updated + PERIOD
    }

    /// Moves the shares towards an equal load of all regions.
    pub fn update(&mut self, own: Snapshot, others: &[(RegionId, Snapshot)], now: Duration) {
        self.updated = now;
        let wanted = shares(own, others);
        self.shares
            .retain(|(r, _)| others.iter().any(|(o, _)| o == r));
        for (region, share) in wanted {
            match self.shares.iter_mut().find(|(r, _)| *r == region) {
                Some((_, old)) => *old += STEP * (share - *old),
                None => self.shares.push((region, STEP * share)),
            }
        }
    }

    /// Returns the region of the request at `place`, from 0 to 1; `None` is the own region. The
    /// same objects leave as long as the shares stay, so that they are warm where they run.
    pub fn region(&self, place: f64) -> Option<&RegionId> {
        let mut end = 0.0;
        self.shares.iter().find_map(|(region, share)| {
            end += share;
            (place < end).then_some(region)
        })
    }
}

/// Shares of the own requests that the other regions should run.
fn shares(own: Snapshot, others: &[(RegionId, Snapshot)]) -> Vec<(RegionId, f64)> {
    let figures = |s: Snapshot| (f64::from(s.demand), f64::from(s.capacity));
    let (demand, capacity) = figures(own);
    let all = others.iter().map(|(_, s)| figures(*s));
    let (all_demand, all_capacity) =
        all.fold((demand, capacity), |sum, f| (sum.0 + f.0, sum.1 + f.1));
    let load = (all_demand / all_capacity.max(1.0)).max(KEPT_LOAD);
    let excess = (demand - capacity * load).max(0.0) / demand.max(1.0);
    let spare = |s: Snapshot| (f64::from(s.capacity) * load - f64::from(s.demand)).max(0.0);
    let all_spare: f64 = others.iter().map(|(_, s)| spare(*s)).sum();
    others
        .iter()
        .map(|(region, s)| (region.clone(), excess * spare(*s) / all_spare.max(1.0)))
        .collect()
}
