//! Checks of the rules, alone and against the inventory.

use std::collections::{BTreeMap, HashSet};

use super::{Names, check_range};
use crate::Configuration;
use crate::edit::is_drained;
use crate::fault::Faults;
use crate::ids::DomainId;
use crate::inventory::Inventory;
use crate::rules::{Rules, Shift};
use crate::shift::SHARE_TOLERANCE;
use crate::walk::join;

/// Longest deadline and ticket lifetime, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;

/// Reports faults that show without the inventory.
pub(crate) fn check_rules(rules: &Rules, faults: &mut Faults) {
    for (value, name) in [
        (rules.shift_cap_per_minute, "shift_cap_per_minute"),
        (rules.failover_cap_per_minute, "failover_cap_per_minute"),
        (rules.retry_budget, "retry_budget"),
        (rules.deferrable_slot_share, "deferrable_slot_share"),
    ] {
        if !(0.0..=1.0).contains(&value) {
            let message = format!("{value} is no share");
            faults.error(
                name,
                message,
                "give a number from 0 to 1, such as 0.1 for 10 %",
            );
        }
    }
    for (value, name) in [
        (rules.shift_cap_per_minute, "shift_cap_per_minute"),
        (rules.failover_cap_per_minute, "failover_cap_per_minute"),
    ] {
        if value == 0.0 {
            faults.warning(name, "shifts never move", "give a number above 0");
        }
    }
    check_range(
        rules.default_deadline_ms,
        1..=MAX_TIME_MS,
        "default_deadline_ms",
        faults,
    );
    check_range(
        rules.ticket_lifetime_ms,
        1..=MAX_TIME_MS,
        "ticket_lifetime_ms",
        faults,
    );
    check_range(
        rules.look_up_lifetime_ms,
        1..=MAX_TIME_MS,
        "look_up_lifetime_ms",
        faults,
    );
    check_twice("drains.servers", &rules.drains.servers, faults);
    check_twice("drains.entry_vms", &rules.drains.entry_vms, faults);
    check_twice("drains.domains", &rules.drains.domains, faults);
    check_twice("drains.regions", &rules.drains.regions, faults);
    for (service, shift) in &rules.shifts {
        let path = join("shifts", service);
        check_shares(&shift.from, &format!("{path}.from"), faults);
        check_shares(&shift.to, &format!("{path}.to"), faults);
    }
}

fn check_twice(path: &str, names: &[Box<str>], faults: &mut Faults) {
    let mut seen = HashSet::new();
    for (i, name) in names.iter().enumerate() {
        if !seen.insert(name) {
            faults.error(
                &format!("{path}[{i}]"),
                format!("{name:?} is listed twice"),
                "remove it",
            );
        }
    }
}

fn check_shares(shares: &BTreeMap<DomainId, f64>, path: &str, faults: &mut Faults) {
    for (domain, share) in shares {
        if !(0.0..=1.0).contains(share) {
            let message = format!("{share} is no share");
            faults.error(&join(path, domain), message, "give a number from 0 to 1");
        }
    }
    // The sum of no shares is a negative zero, which would be printed as such.
    let sum = shares.values().sum::<f64>() + 0.0;
    if (sum - 1.0).abs().is_nan() || (sum - 1.0).abs() > SHARE_TOLERANCE {
        faults.error(
            path,
            format!("shares add up to {sum}"),
            "make them add up to 1",
        );
    }
}

/// Reports rules that do not fit the inventory.
pub(crate) fn check_rules_with(configuration: &Configuration, faults: &mut Faults) {
    let Configuration { inventory, rules } = configuration;
    let domains = Names::known("failure domain", inventory.domains.iter().map(|d| &*d.id));
    let services = Names::known("service", inventory.services.iter().map(|s| &*s.id));
    check_drains(configuration, &domains, faults);
    for (service, shift) in &rules.shifts {
        let path = join("shifts", service);
        services.expect(service, || path.clone(), faults);
        for (side, shares) in [("from", &shift.from), ("to", &shift.to)] {
            for domain in shares.keys() {
                domains.expect(domain, || join(&format!("{path}.{side}"), domain), faults);
            }
        }
        check_targets(inventory, service, shift, &path, faults);
        warn_drained_targets(configuration, service, shift, &path, faults);
    }
    warn_all_drained(configuration, faults);
}

fn check_drains(configuration: &Configuration, domains: &Names<'_>, faults: &mut Faults) {
    let Configuration { inventory, rules } = configuration;
    let servers = Names::known("server", inventory.servers.iter().map(|s| &*s.id));
    let vms = Names::known("entry VM", inventory.entry_vms.iter().map(|v| &*v.id));
    let regions = Names::known("region", inventory.regions.iter().map(|r| &*r.id));
    for (list, names, known) in [
        ("servers", &rules.drains.servers, &servers),
        ("entry_vms", &rules.drains.entry_vms, &vms),
        ("domains", &rules.drains.domains, domains),
        ("regions", &rules.drains.regions, &regions),
    ] {
        for (i, name) in names.iter().enumerate() {
            known.expect(name, || format!("drains.{list}[{i}]"), faults);
        }
    }
}

/// A shift to a domain without servers of the service would lose its share of the traffic.
fn check_targets(
    inventory: &Inventory,
    service: &str,
    shift: &Shift,
    path: &str,
    faults: &mut Faults,
) {
    let serves = |domain: &str| {
        inventory
            .servers
            .iter()
            .any(|s| &*s.service == service && &*s.domain == domain)
    };
    for (domain, share) in &shift.to {
        let known = inventory.domains.iter().any(|d| d.id == *domain);
        if known && *share > 0.0 && !serves(domain) {
            let message = format!("failure domain {domain:?} has no servers of {service:?}");
            let fix = "shift to failure domains with servers of the service";
            faults.error(&join(&format!("{path}.to"), domain), message, fix);
        }
    }
}

fn warn_drained_targets(
    configuration: &Configuration,
    service: &str,
    shift: &Shift,
    path: &str,
    faults: &mut Faults,
) {
    for (domain, share) in shift.to.iter().filter(|(_, share)| **share > 0.0) {
        let servers = configuration.inventory.servers.iter();
        let mut servers = servers
            .filter(|s| *s.service == *service && s.domain == *domain)
            .peekable();
        if servers.peek().is_some() && servers.all(|s| is_drained(configuration, s)) {
            let message = format!("{share} of the traffic goes to {domain:?}, which is drained");
            let fix = "shift the service elsewhere or end the drain";
            faults.warning(&join(&format!("{path}.to"), domain), message, fix);
        }
    }
}

fn warn_all_drained(configuration: &Configuration, faults: &mut Faults) {
    let Configuration { inventory, rules } = configuration;
    for service in &inventory.services {
        let mut servers = inventory
            .servers
            .iter()
            .filter(|s| s.service == service.id)
            .peekable();
        if servers.peek().is_some() && servers.all(|s| is_drained(configuration, s)) {
            let message = format!("all servers of service {:?} are drained", service.id);
            faults.warning("drains", message, "keep at least one server in use");
        }
    }
    let vm_drained = |vm: &crate::EntryVm| {
        rules.drains.entry_vms.contains(&vm.id)
            || crate::edit::domain_is_drained(configuration, &vm.domain)
    };
    if !inventory.entry_vms.is_empty() && inventory.entry_vms.iter().all(vm_drained) {
        faults.warning(
            "drains",
            "all entry VMs are drained",
            "keep at least one in use",
        );
    }
}
