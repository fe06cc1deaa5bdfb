//! Shares in force while domains or regions are dead.

use std::time::Duration;

use config::Rules;

use crate::Shares;
use crate::domain::{DomainView, State};
use crate::shift::ShiftLimiter;

/// Target shares with those of dead domains given to living ones: to the rest of the region in
/// proportion to slots, or to all other regions if none of the region serves.
///
/// Without any serving domain the shares stay as they are.
pub fn target(shares: &Shares, views: &[DomainView]) -> Shares {
    let mut out = shares.clone();
    for view in views.iter().filter(|v| v.state == State::Dead) {
        let share = shares.get(&view.id).copied().unwrap_or(0.0);
        let serving = |v: &&DomainView| v.state == State::Serving && v.slots > 0.0;
        let near = |v: &&DomainView| serving(v) && v.region == view.region;
        let mut takers: Vec<_> = views.iter().filter(near).collect();
        if takers.is_empty() {
            takers = views.iter().filter(serving).collect();
        }
        let slots: f64 = takers.iter().map(|v| v.slots).sum();
        if slots > 0.0 && share > 0.0 {
            out.remove(&view.id);
            for v in takers {
                *out.entry(v.id.clone()).or_default() += share * v.slots / slots;
            }
        }
    }
    out
}

/// Base shares of a service on one node: planned movement and fail-over, each under its cap.
///
/// Movement away from dead domains is limited by `failover_cap_per_minute`, everything else,
/// including the way back, by `shift_cap_per_minute`.
#[derive(Clone, Debug)]
pub struct Placement {
    planned: ShiftLimiter,
    placed: ShiftLimiter,
}

impl Placement {
    /// Starts with the given shares in force.
    pub fn new(shares: Shares, now: Duration) -> Self {
        Placement {
            planned: ShiftLimiter::new(shares.clone(), now),
            placed: ShiftLimiter::new(shares, now),
        }
    }

    /// Shares in force.
    pub fn shares(&self) -> &Shares {
        self.placed.shares()
    }

    /// Moves towards the prescribed shares around dead domains and returns the shares in force.
    /// `urgent` is set for a shift that an operator has declared a fail-over. Call it at least
    /// once a second.
    pub fn advance(
        &mut self,
        prescribed: &Shares,
        urgent: bool,
        views: &[DomainView],
        rules: &Rules,
        now: Duration,
    ) -> &Shares {
        let (slow, fast) = (rules.shift_cap_per_minute, rules.failover_cap_per_minute);
        let planned = if urgent { fast } else { slow };
        let target = target(self.planned.advance(prescribed, planned, now), views);
        let dead = |v: &DomainView| v.state == State::Dead;
        let stuck = |v: &DomainView| dead(v) && self.placed.shares().contains_key(&v.id);
        let cap = if views.iter().any(stuck) {
            fast
        } else {
            planned
        };
        self.placed.advance(&target, cap, now)
    }
}
