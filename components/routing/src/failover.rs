//! Traffic shares during the failure of domains or regions.

use std::time::Duration;

use config::Rules;

use crate::Shares;
use crate::domain::{DomainView, State};
use crate::shift::ShiftLimiter;

/// Returns `shares` with those of dead domains moved to serving domains in proportion to their
/// slots: within the region of the dead domain, or to all regions if no domain of its region
/// serves.
///
/// Shares stay unchanged if no domain serves.
pub fn failover_target(shares: &Shares, views: &[DomainView]) -> Shares {
    let mut out = shares.clone();
    for view in views.iter().filter(|v| v.state == State::Dead) {
        let share = shares.get(&view.id).copied().unwrap_or(0.0);
        let serving = |v: &&DomainView| v.state == State::Serving && v.slots > 0.0;
        let in_region = |v: &&DomainView| serving(v) && v.region == view.region;
        let mut receivers: Vec<_> = views.iter().filter(in_region).collect();
        if receivers.is_empty() {
            receivers = views.iter().filter(serving).collect();
        }
        let slots: f64 = receivers.iter().map(|v| v.slots).sum();
        if slots > 0.0 && share > 0.0 {
            out.remove(&view.id);
            for v in receivers {
                *out.entry(v.id.clone()).or_default() += share * v.slots / slots;
            }
        }
    }
    out
}

/// Base shares of a service on one entry VM. They follow planned shifts and failovers, each limited
/// by its own cap.
///
/// Movement away from dead domains is limited by `failover_cap_per_minute`. All other movement,
/// including the return to a recovered domain, is limited by `shift_cap_per_minute`.
#[derive(Clone, Debug)]
pub struct BaseShares {
    /// Shares without regard to dead domains.
    planned: ShiftLimiter,
    /// Planned shares with those of dead domains moved to serving ones.
    in_force: ShiftLimiter,
}

impl BaseShares {
    /// Starts with the given shares in force.
    pub fn new(shares: Shares, now: Duration) -> Self {
        BaseShares {
            planned: ShiftLimiter::new(shares.clone(), now),
            in_force: ShiftLimiter::new(shares, now),
        }
    }

    /// Shares in force.
    pub fn shares(&self) -> &Shares {
        self.in_force.shares()
    }

    /// Moves towards the desired shares, with those of dead domains moved to serving ones, and
    /// returns the shares in force. `is_failover` marks a shift that an operator has declared a
    /// failover. Must be called at least once a second.
    pub fn advance(
        &mut self,
        desired: &Shares,
        is_failover: bool,
        views: &[DomainView],
        rules: &Rules,
        now: Duration,
    ) -> &Shares {
        let (shift_cap, failover_cap) = (rules.shift_cap_per_minute, rules.failover_cap_per_minute);
        let planned_cap = if is_failover { failover_cap } else { shift_cap };
        let target = failover_target(self.planned.advance(desired, planned_cap, now), views);
        let dead = |v: &DomainView| v.state == State::Dead;
        let dead_with_share =
            |v: &DomainView| dead(v) && self.in_force.shares().contains_key(&v.id);
        let cap = if views.iter().any(dead_with_share) {
            failover_cap
        } else {
            planned_cap
        };
        self.in_force.advance(&target, cap, now)
    }
}
