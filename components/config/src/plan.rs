//! What a change of configuration does to shares, slots and machines.

use std::collections::{BTreeMap, BTreeSet};

use crate::Configuration;
use crate::edit::Target;
use crate::ids::{DomainId, ServiceId};
use crate::inventory::Inventory;
use crate::rules::{Drains, ShiftReason};
use crate::shift::{cap_per_minute, moved_share, shares, shift_end_ms, slots};

/// Excess over a cap that is put down to rounding.
const CAP_TOLERANCE: f64 = 1e-9;
/// Length of the window that a cap applies to, in milliseconds.
const WINDOW_MS: u64 = 60_000;
/// Distance of the points at which the movement is measured, in milliseconds.
const STEP_MS: u64 = 1_000;

/// Effect of replacing one configuration by another at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Effect on each service, in name order; services without a change are included.
    pub services: Vec<ServicePlan>,
    /// Objects whose drain starts.
    pub drained: Vec<Target>,
    /// Objects whose drain ends.
    pub undrained: Vec<Target>,
    /// Machines and zones that are added.
    pub added: Vec<Target>,
    /// Machines and zones that are removed.
    pub removed: Vec<Target>,
    /// Machines that stay but whose domain, address, service or capacity changes.
    pub changed: Vec<Target>,
}

impl Plan {
    /// True if any service moves more traffic than its cap allows.
    pub fn passes_cap(&self) -> bool {
        self.services.iter().any(ServicePlan::passes_cap)
    }
}

/// Effect on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Name.
    pub service: ServiceId,
    /// Effect on each failure domain, in name order.
    pub domains: Vec<DomainPlan>,
    /// Share of the traffic that moves at once when the change takes effect.
    pub step: f64,
    /// Share that moves within the minute that starts with the change.
    pub moved_after: f64,
    /// Largest share that moves within any minute that contains the change.
    pub moved_in_a_minute: f64,
    /// Largest share that may move per minute before the change.
    pub cap_before: f64,
    /// Largest share that may move per minute after the change.
    pub cap_after: f64,
    /// Platform time at which the shift in force afterwards is complete; `None` without a shift or
    /// if it never is.
    pub end_ms: Option<u64>,
}

impl ServicePlan {
    /// True if more traffic moves than the caps allow. Movement before the change was made under
    /// the old cap, so a minute that contains the change is held to the larger of the two.
    pub fn passes_cap(&self) -> bool {
        let both = self.cap_before.max(self.cap_after);
        self.moved_after > self.cap_after + CAP_TOLERANCE
            || self.moved_in_a_minute > both + CAP_TOLERANCE
    }
}

/// Effect on one service in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPlan {
    /// Name.
    pub domain: DomainId,
    /// Share just before the change.
    pub share_before: f64,
    /// Share just after the change.
    pub share_after: f64,
    /// Share when the shift in force afterwards is complete.
    pub share_at_end: f64,
    /// Slots in use before the change.
    pub slots_before: u64,
    /// Slots in use after the change.
    pub slots_after: u64,
}

/// Computes what a change does when it takes effect at `now_ms` in platform time.
pub fn plan(before: &Configuration, after: &Configuration, now_ms: u64) -> Plan {
    let services = [before, after]
        .into_iter()
        .flat_map(|c| &c.inventory.services);
    let services: BTreeSet<&ServiceId> = services.map(|s| &s.id).collect();
    let services = services
        .into_iter()
        .map(|s| plan_service(before, after, s, now_ms))
        .collect();
    let (old, new) = (drains(&before.rules.drains), drains(&after.rules.drains));
    let (machines, wanted) = (objects(&before.inventory), objects(&after.inventory));
    Plan {
        services,
        drained: new.difference(&old).cloned().collect(),
        undrained: old.difference(&new).cloned().collect(),
        added: wanted
            .keys()
            .filter(|t| !machines.contains_key(*t))
            .cloned()
            .collect(),
        removed: machines
            .keys()
            .filter(|t| !wanted.contains_key(*t))
            .cloned()
            .collect(),
        changed: machines
            .iter()
            .filter(|(t, text)| wanted.get(*t).is_some_and(|w| w != *text))
            .map(|(t, _)| t.clone())
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
        // A service that starts or ends has no traffic to move.
        step: if carries(&old) && carries(&new) {
            moved_share(&old, &new)
        } else {
            0.0
        },
        moved_after: moved_around(before, after, service, now_ms, 0),
        moved_in_a_minute: (0..=WINDOW_MS)
            .step_by(STEP_MS as usize)
            .map(|ms| moved_around(before, after, service, now_ms, ms))
            .fold(0.0, f64::max),
        cap_before: service_cap(before, service),
        cap_after,
        end_ms: shift.and_then(|shift| shift_end_ms(shift, cap_after)),
    }
}

/// True if any domain has a share.
fn carries(shares: &BTreeMap<DomainId, f64>) -> bool {
    shares.values().any(|s| *s > 0.0)
}

/// Cap of a service's shift, or of a planned one if it has none.
fn service_cap(configuration: &Configuration, service: &str) -> f64 {
    let rules = &configuration.rules;
    let reason = rules
        .shifts
        .get(service)
        .map_or(ShiftReason::Planned, |shift| shift.reason);
    cap_per_minute(rules, reason)
}

/// Movement in the window that starts `ms_before` the change: that of the old path up to the
/// change, the step, and that of the new path for the rest of the window.
fn moved_around(
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
    if !carries(&old) || !carries(&new) {
        return 0.0;
    }
    let earlier = shares(before, service, now_ms.saturating_sub(ms_before));
    let later = shares(after, service, now_ms.saturating_add(WINDOW_MS - ms_before));
    moved_share(&earlier, &old) + moved_share(&old, &new) + moved_share(&new, &later)
}

/// All drained objects.
fn drains(drains: &Drains) -> BTreeSet<Target> {
    let servers = drains.servers.iter().cloned().map(Target::Server);
    let vms = drains.entry_vms.iter().cloned().map(Target::EntryVm);
    let domains = drains.domains.iter().cloned().map(Target::Domain);
    let regions = drains.regions.iter().cloned().map(Target::Region);
    servers.chain(vms).chain(domains).chain(regions).collect()
}

/// All machines and zones with their fields as text, to find those that differ.
fn objects(inventory: &Inventory) -> BTreeMap<Target, String> {
    let regions = inventory.regions.iter();
    let regions = regions.map(|r| (Target::Region(r.id.clone()), format!("{r:?}")));
    let domains = inventory.domains.iter();
    let domains = domains.map(|d| (Target::Domain(d.id.clone()), format!("{d:?}")));
    let vms = inventory.entry_vms.iter();
    let vms = vms.map(|v| (Target::EntryVm(v.id.clone()), format!("{v:?}")));
    let servers = inventory.servers.iter();
    let servers = servers.map(|s| (Target::Server(s.id.clone()), format!("{s:?}")));
    regions.chain(domains).chain(vms).chain(servers).collect()
}
