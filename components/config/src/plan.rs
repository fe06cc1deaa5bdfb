//! Plans: the effect of a configuration change on traffic shares, slots, machines and drains.

use std::collections::{BTreeMap, BTreeSet};

use crate::Configuration;
use crate::drain::Resource;
use crate::ids::{DomainId, ServiceId};
use crate::inventory::Inventory;
use crate::rules::{Drains, ShiftReason};
use crate::shift::{cap_per_minute, moved_share, shares, shift_end_ms, slots};

/// Excess over a cap that is attributed to floating-point rounding.
const CAP_TOLERANCE: f64 = 1e-9;
/// Length of the window to which a cap applies.
const WINDOW_MS: u64 = 60_000;
/// Interval between the start times of the windows in which the moved share is computed.
const SAMPLE_INTERVAL_MS: u64 = 1_000;

/// Effect of replacing one configuration by another at a given time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Effect on each service, in name order; services without a change are included.
    pub services: Vec<ServicePlan>,
    /// Resources whose drain starts.
    pub drained: Vec<Resource>,
    /// Resources whose drain ends.
    pub undrained: Vec<Resource>,
    /// Resources that are added to the inventory.
    pub added: Vec<Resource>,
    /// Resources that are removed from the inventory.
    pub removed: Vec<Resource>,
    /// Resources that stay in the inventory but whose fields, such as domain, address or slots,
    /// change.
    pub changed: Vec<Resource>,
}

impl Plan {
    /// Returns true if any service moves more traffic than its cap allows.
    pub fn exceeds_cap(&self) -> bool {
        self.services.iter().any(ServicePlan::exceeds_cap)
    }
}

/// Effect of a change on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    pub service: ServiceId,
    /// Effect on each failure domain, in name order.
    pub domains: Vec<DomainPlan>,
    /// Share of the traffic that moves at once when the change takes effect.
    pub moved_at_once: f64,
    /// Share that moves within the minute after the change, including the change itself.
    pub moved_in_next_minute: f64,
    /// Largest share that moves within any one-minute window that contains the change.
    pub max_moved_in_minute: f64,
    /// Largest share that may move per minute before the change.
    pub cap_before: f64,
    /// Largest share that may move per minute after the change.
    pub cap_after: f64,
    /// Platform time at which the shift in force after the change completes; `None` without a shift
    /// or if it never completes.
    pub end_ms: Option<u64>,
}

impl ServicePlan {
    /// Returns true if more traffic moves than the caps allow. Traffic before the change moved
    /// under the old cap, so a window that contains the change is compared with the larger of both
    /// caps.
    pub fn exceeds_cap(&self) -> bool {
        let larger_cap = self.cap_before.max(self.cap_after);
        self.moved_in_next_minute > self.cap_after + CAP_TOLERANCE
            || self.max_moved_in_minute > larger_cap + CAP_TOLERANCE
    }
}

/// Effect of a change on one service in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPlan {
    pub domain: DomainId,
    /// Share just before the change.
    pub share_before: f64,
    /// Share just after the change.
    pub share_after: f64,
    /// Share when the shift in force after the change completes.
    pub share_at_end: f64,
    /// Slots of undrained servers before the change.
    pub slots_before: u64,
    /// Slots of undrained servers after the change.
    pub slots_after: u64,
}

/// Computes the effect of a change at platform time `now_ms`.
pub fn plan(before: &Configuration, after: &Configuration, now_ms: u64) -> Plan {
    let services = [before, after]
        .into_iter()
        .flat_map(|c| &c.inventory.services);
    let services: BTreeSet<&ServiceId> = services.map(|s| &s.id).collect();
    let services = services
        .into_iter()
        .map(|s| plan_service(before, after, s, now_ms))
        .collect();
    let (old, new) = (
        drained_resources(&before.rules.drains),
        drained_resources(&after.rules.drains),
    );
    let (old_resources, new_resources) =
        (resources(&before.inventory), resources(&after.inventory));
    Plan {
        services,
        drained: new.difference(&old).cloned().collect(),
        undrained: old.difference(&new).cloned().collect(),
        added: new_resources
            .keys()
            .filter(|r| !old_resources.contains_key(*r))
            .cloned()
            .collect(),
        removed: old_resources
            .keys()
            .filter(|r| !new_resources.contains_key(*r))
            .cloned()
            .collect(),
        changed: old_resources
            .iter()
            .filter(|(r, fields)| new_resources.get(*r).is_some_and(|new| new != *fields))
            .map(|(r, _)| r.clone())
            .collect(),
    }
}

fn plan_service(
    before: &Configuration,
    after: &Configuration,
    service: &ServiceId,
    now_ms: u64,
) -> ServicePlan {
    let shift = after.rules.shifts.get(service);
    let cap_after = service_cap(after, service);
    let (old, new) = (
        shares(before, service, now_ms),
        shares(after, service, now_ms),
    );
    let end = shift.map_or(&new, |shift| &shift.to);
    let (old_slots, new_slots) = (slots(before, service), slots(after, service));
    let names: BTreeSet<&DomainId> = old
        .keys()
        .chain(new.keys())
        .chain(end.keys())
        .chain(old_slots.keys())
        .chain(new_slots.keys())
        .collect();
    let domain = |name: &DomainId| DomainPlan {
        domain: name.clone(),
        share_before: old.get(name).copied().unwrap_or(0.0),
        share_after: new.get(name).copied().unwrap_or(0.0),
        share_at_end: end.get(name).copied().unwrap_or(0.0),
        slots_before: old_slots.get(name).copied().unwrap_or(0),
        slots_after: new_slots.get(name).copied().unwrap_or(0),
    };
    ServicePlan {
        service: service.clone(),
        domains: names.into_iter().map(domain).collect(),
        // A service without shares before or after the change has no traffic to move.
        moved_at_once: if has_traffic(&old) && has_traffic(&new) {
            moved_share(&old, &new)
        } else {
            0.0
        },
        moved_in_next_minute: moved_in_window(before, after, service, now_ms, 0),
        max_moved_in_minute: (0..=WINDOW_MS)
            .step_by(SAMPLE_INTERVAL_MS as usize)
            .map(|ms| moved_in_window(before, after, service, now_ms, ms))
            .fold(0.0, f64::max),
        cap_before: service_cap(before, service),
        cap_after,
        end_ms: shift.and_then(|shift| shift_end_ms(shift, cap_after)),
    }
}

/// Returns true if any failure domain has a share above 0.
fn has_traffic(shares: &BTreeMap<DomainId, f64>) -> bool {
    shares.values().any(|s| *s > 0.0)
}

/// Cap of a service's shift, or the cap of planned shifts if it has none.
fn service_cap(configuration: &Configuration, service: &str) -> f64 {
    let rules = &configuration.rules;
    let reason = rules
        .shifts
        .get(service)
        .map_or(ShiftReason::Planned, |shift| shift.reason);
    cap_per_minute(rules, reason)
}

/// Share that moves in the window that starts `ms_before` milliseconds before the change: the sum
/// of the old shift's movement until the change, the movement at the change, and the new shift's
/// movement for the rest of the window.
fn moved_in_window(
    before: &Configuration,
    after: &Configuration,
    service: &str,
    now_ms: u64,
    ms_before: u64,
) -> f64 {
    let (old, new) = (
        shares(before, service, now_ms),
        shares(after, service, now_ms),
    );
    if !has_traffic(&old) || !has_traffic(&new) {
        return 0.0;
    }
    let earlier = shares(before, service, now_ms.saturating_sub(ms_before));
    let later = shares(after, service, now_ms.saturating_add(WINDOW_MS - ms_before));
    moved_share(&earlier, &old) + moved_share(&old, &new) + moved_share(&new, &later)
}

fn drained_resources(drains: &Drains) -> BTreeSet<Resource> {
    let servers = drains.servers.iter().cloned().map(Resource::Server);
    let vms = drains.entry_vms.iter().cloned().map(Resource::EntryVm);
    let domains = drains.domains.iter().cloned().map(Resource::Domain);
    let regions = drains.regions.iter().cloned().map(Resource::Region);
    servers.chain(vms).chain(domains).chain(regions).collect()
}

/// Maps each region, failure domain, entry VM and server to its fields as text, for comparison.
fn resources(inventory: &Inventory) -> BTreeMap<Resource, String> {
    let regions = inventory.regions.iter();
    let regions = regions.map(|r| (Resource::Region(r.id.clone()), format!("{r:?}")));
    let domains = inventory.domains.iter();
    let domains = domains.map(|d| (Resource::Domain(d.id.clone()), format!("{d:?}")));
    let vms = inventory.entry_vms.iter();
    let vms = vms.map(|v| (Resource::EntryVm(v.id.clone()), format!("{v:?}")));
    let servers = inventory.servers.iter();
    let servers = servers.map(|s| (Resource::Server(s.id.clone()), format!("{s:?}")));
    regions.chain(domains).chain(vms).chain(servers).collect()
}
