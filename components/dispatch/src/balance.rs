//! Balances load across regions: computes the share of a region's requests that other regions run,
//! so that all are equally loaded.

use std::time::Duration;

use config::RegionId;

use crate::pool::PoolSnapshot;

/// Utilization up to which a region keeps all its requests; above it, queueing delays grow quickly.
const OFFLOAD_UTILIZATION: f64 = 0.85;
/// Time between two updates of the shares.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);
/// Part of the difference to the new shares that an update applies; smooths arrival counts, which
/// cover two seconds.
const SMOOTHING: f64 = 0.25;

/// Shares of the own requests that other regions run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionBalancer {
    shares: Vec<(RegionId, f64)>,
    updated: Duration,
}

impl RegionBalancer {
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.updated + UPDATE_PERIOD
    }

    /// Moves the shares towards an equal utilization of all regions.
    pub fn update(
        &mut self,
        own: PoolSnapshot,
        others: &[(RegionId, PoolSnapshot)],
        now: Duration,
    ) {
        self.updated = now;
        let new_shares = shares(own, others);
        self.shares
            .retain(|(r, _)| others.iter().any(|(o, _)| o == r));
        for (region, share) in new_shares {
            match self.shares.iter_mut().find(|(r, _)| *r == region) {
                Some((_, old)) => *old += SMOOTHING * (share - *old),
                None => self.shares.push((region, SMOOTHING * share)),
            }
        }
    }

    /// Returns the region that runs a request, by its hash fraction from 0 to 1; `None` is this
    /// region. The same objects are forwarded as long as the shares stay, so that they are cached
    /// where they run.
    pub fn region(&self, fraction: f64) -> Option<&RegionId> {
        let mut end = 0.0;
        self.shares.iter().find_map(|(region, share)| {
            end += share;
            (fraction < end).then_some(region)
        })
    }
}

/// Shares of the own requests that the other regions should run.
fn shares(own: PoolSnapshot, others: &[(RegionId, PoolSnapshot)]) -> Vec<(RegionId, f64)> {
    let demand_and_capacity = |s: PoolSnapshot| (f64::from(s.demand), f64::from(s.capacity));
    let (demand, capacity) = demand_and_capacity(own);
    let all = others.iter().map(|(_, s)| demand_and_capacity(*s));
    let (total_demand, total_capacity) =
        all.fold((demand, capacity), |sum, f| (sum.0 + f.0, sum.1 + f.1));
    let utilization = (total_demand / total_capacity.max(1.0)).max(OFFLOAD_UTILIZATION);
    let excess = (demand - capacity * utilization).max(0.0) / demand.max(1.0);
    let headroom =
        |s: PoolSnapshot| (f64::from(s.capacity) * utilization - f64::from(s.demand)).max(0.0);
    let total_headroom: f64 = others.iter().map(|(_, s)| headroom(*s)).sum();
    others
        .iter()
        .map(|(region, s)| {
            (
                region.clone(),
                excess * headroom(*s) / total_headroom.max(1.0),
            )
        })
        .collect()
}
