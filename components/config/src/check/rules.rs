//! Checks of the rules, alone and against the inventory.

use std::collections::{BTreeMap, HashSet};

use super::{NameIndex, check_range};
use crate::Configuration;
use crate::diagnostic::Diagnostics;
use crate::drain::is_drained;
use crate::ids::DomainId;
use crate::inventory::Inventory;
use crate::rules::{Rules, Shift};
use crate::shift::SHARE_TOLERANCE;
use crate::validate::join_path;

/// Maximum of the default deadline and of ticket and look-up lifetimes.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Checks the rules without the inventory.
pub(crate) fn check_rules(rules: &Rules, diagnostics: &mut Diagnostics) {
    for (value, name) in [
        (rules.shift_cap_per_minute, "shift_cap_per_minute"),
        (rules.failover_cap_per_minute, "failover_cap_per_minute"),
        (rules.retry_budget, "retry_budget"),
        (rules.deferrable_slot_share, "deferrable_slot_share"),
    ] {
        if !(0.0..=1.0).contains(&value) {
            let message = format!("{value} is not a share");
            diagnostics.error(
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
            diagnostics.warning(name, "shifts never move traffic", "give a number above 0");
        }
    }
    check_range(
        rules.default_deadline_ms,
        1..=MAX_DURATION_MS,
        "default_deadline_ms",
        diagnostics,
    );
    check_range(
        rules.ticket_lifetime_ms,
        1..=MAX_DURATION_MS,
        "ticket_lifetime_ms",
        diagnostics,
    );
    check_range(
        rules.look_up_lifetime_ms,
        1..=MAX_DURATION_MS,
        "look_up_lifetime_ms",
        diagnostics,
    );
    check_duplicates("drains.servers", &rules.drains.servers, diagnostics);
    check_duplicates("drains.entry_vms", &rules.drains.entry_vms, diagnostics);
    check_duplicates("drains.domains", &rules.drains.domains, diagnostics);
    check_duplicates("drains.regions", &rules.drains.regions, diagnostics);
    for (service, shift) in &rules.shifts {
        let path = join_path("shifts", service);
        check_shares(&shift.from, &format!("{path}.from"), diagnostics);
        check_shares(&shift.to, &format!("{path}.to"), diagnostics);
    }
}

fn check_duplicates(path: &str, names: &[Box<str>], diagnostics: &mut Diagnostics) {
    let mut seen = HashSet::new();
    for (i, name) in names.iter().enumerate() {
        if !seen.insert(name) {
            diagnostics.error(
                &format!("{path}[{i}]"),
                format!("duplicate entry {name:?}"),
                "remove it",
            );
        }
    }
}

fn check_shares(shares: &BTreeMap<DomainId, f64>, path: &str, diagnostics: &mut Diagnostics) {
    for (domain, share) in shares {
        if !(0.0..=1.0).contains(share) {
            let message = format!("{share} is not a share");
            diagnostics.error(
                &join_path(path, domain),
                message,
                "give a number from 0 to 1",
            );
        }
    }
    // The sum of an empty map is negative zero, which would be printed as `-0`.
    let sum = shares.values().sum::<f64>() + 0.0;
    if (sum - 1.0).abs().is_nan() || (sum - 1.0).abs() > SHARE_TOLERANCE {
        diagnostics.error(
            path,
            format!("shares add up to {sum}"),
            "make them add up to 1",
        );
    }
}

pub(crate) fn check_rules_against_inventory(
    configuration: &Configuration,
    diagnostics: &mut Diagnostics,
) {
    let Configuration { inventory, rules } = configuration;
    let domains =
        NameIndex::from_existing("failure domain", inventory.domains.iter().map(|d| &*d.id));
    let services = NameIndex::from_existing("service", inventory.services.iter().map(|s| &*s.id));
    check_drains(configuration, &domains, diagnostics);
    for (service, shift) in &rules.shifts {
        let path = join_path("shifts", service);
        services.check_exists(service, || path.clone(), diagnostics);
        for (side, shares) in [("from", &shift.from), ("to", &shift.to)] {
            for domain in shares.keys() {
                domains.check_exists(
                    domain,
                    || join_path(&format!("{path}.{side}"), domain),
                    diagnostics,
                );
            }
        }
        check_targets(inventory, service, shift, &path, diagnostics);
        warn_drained_targets(configuration, service, shift, &path, diagnostics);
    }
    warn_all_drained(configuration, diagnostics);
}

fn check_drains(
    configuration: &Configuration,
    domains: &NameIndex<'_>,
    diagnostics: &mut Diagnostics,
) {
    let Configuration { inventory, rules } = configuration;
    let servers = NameIndex::from_existing("server", inventory.servers.iter().map(|s| &*s.id));
    let vms = NameIndex::from_existing("entry VM", inventory.entry_vms.iter().map(|v| &*v.id));
    let regions = NameIndex::from_existing("region", inventory.regions.iter().map(|r| &*r.id));
    for (list, names, known) in [
        ("servers", &rules.drains.servers, &servers),
        ("entry_vms", &rules.drains.entry_vms, &vms),
        ("domains", &rules.drains.domains, domains),
        ("regions", &rules.drains.regions, &regions),
    ] {
        for (i, name) in names.iter().enumerate() {
            known.check_exists(name, || format!("drains.{list}[{i}]"), diagnostics);
        }
    }
}

/// Reports shifts to a failure domain without servers of the service, where requests would fail.
fn check_targets(
    inventory: &Inventory,
    service: &str,
    shift: &Shift,
    path: &str,
    diagnostics: &mut Diagnostics,
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
            diagnostics.error(&join_path(&format!("{path}.to"), domain), message, fix);
        }
    }
}

fn warn_drained_targets(
    configuration: &Configuration,
    service: &str,
    shift: &Shift,
    path: &str,
    diagnostics: &mut Diagnostics,
) {
    for (domain, share) in shift.to.iter().filter(|(_, share)| **share > 0.0) {
        let servers = configuration.inventory.servers.iter();
        let mut servers = servers
            .filter(|s| *s.service == *service && s.domain == *domain)
            .peekable();
        if servers.peek().is_some() && servers.all(|s| is_drained(configuration, s)) {
            let message = format!("{share} of the traffic goes to {domain:?}, which is drained");
            let fix = "shift the service elsewhere or end the drain";
            diagnostics.warning(&join_path(&format!("{path}.to"), domain), message, fix);
        }
    }
}

fn warn_all_drained(configuration: &Configuration, diagnostics: &mut Diagnostics) {
    let Configuration { inventory, rules } = configuration;
    for service in &inventory.services {
        let mut servers = inventory
            .servers
            .iter()
            .filter(|s| s.service == service.id)
            .peekable();
        if servers.peek().is_some() && servers.all(|s| is_drained(configuration, s)) {
            let message = format!("all servers of service {:?} are drained", service.id);
            diagnostics.warning("drains", message, "keep at least one server in use");
        }
    }
    let vm_drained = |vm: &crate::EntryVm| {
        rules.drains.entry_vms.contains(&vm.id)
            || crate::drain::domain_is_drained(configuration, &vm.domain)
    };
    if !inventory.entry_vms.is_empty() && inventory.entry_vms.iter().all(vm_drained) {
        diagnostics.warning(
            "drains",
            "all entry VMs are drained",
            "keep at least one in use",
        );
    }
}
