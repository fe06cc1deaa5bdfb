//! Changes to shifts that keep a configuration change within the caps.

use crate::Configuration;
use crate::ids::ServiceId;
use crate::plan::{ServicePlan, plan};
use crate::rules::{Rules, Shift, ShiftReason};
use crate::shift::{Shares, cap_per_minute, moved_share, share_at, shares, slot_shares};

/// Restarts unchanged shifts whose cap differs between `before` and `after` from the shares in
/// force at `now_ms`. Without this, the shares would be recomputed from the start of the shift with
/// the new cap, and the traffic would jump.
pub fn rebase_shifts(before: &Configuration, after: &mut Rules, now_ms: u64) {
    let caps = (after.shift_cap_per_minute, after.failover_cap_per_minute);
    for (service, shift) in &mut after.shifts {
        if before.rules.shifts.get(service) != Some(shift) {
            continue;
        }
        let old_cap = cap_per_minute(&before.rules, shift.reason);
        let new_cap = match shift.reason {
            ShiftReason::Planned => caps.0,
            ShiftReason::Failover => caps.1,
        };
        let in_force = share_at(shift, old_cap, now_ms);
        if moved_share(&in_force, &share_at(shift, new_cap, now_ms)) > 0.0 {
            shift.from = in_force;
            shift.start_ms = now_ms;
        }
    }
}

/// Adds a planned shift for each service without a shift that would exceed its cap because its
/// slots change, such as by a drain or a new server. Returns these services. Until the shift is
/// removed from the rules, their shares no longer follow the slots.
pub fn add_capped_shifts(
    before: &Configuration,
    after: &mut Configuration,
    now_ms: u64,
) -> Vec<ServiceId> {
    let over_cap = plan(before, after, now_ms).services;
    let over_cap = over_cap
        .iter()
        .filter(|s| s.exceeds_cap())
        .map(|s: &ServicePlan| &s.service);
    let mut added = Vec::new();
    for service in over_cap {
        let to = slot_shares(after, service);
        let mut from = shares(before, service, now_ms);
        from.retain(|domain, _| to.contains_key(domain));
        let sum: f64 = from.values().sum();
        if sum > 0.0 && !after.rules.shifts.contains_key(service) {
            let from: Shares = from.into_iter().map(|(d, s)| (d, s / sum)).collect();
            let shift = Shift {
                from,
                to,
                start_ms: now_ms,
                reason: ShiftReason::Planned,
            };
            after.rules.shifts.insert(service.clone(), shift);
            added.push(service.clone());
        }
    }
    added
}
