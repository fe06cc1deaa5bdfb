//! Checks of the inventory.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::{Names, check_delay};
use crate::fault::Faults;
use crate::inventory::{BackendServer, Inventory, Link};
use crate::prefix::{Prefix, PrefixError};

/// Reports all faults of the inventory.
pub(crate) fn check_inventory(inventory: &Inventory, faults: &mut Faults) {
    let regions = inventory.regions.iter().map(|r| &*r.id);
    let regions = Names::collect("region", "regions", regions, faults);
    let domains = inventory.domains.iter().map(|d| &*d.id);
    let domains = Names::collect("failure domain", "domains", domains, faults);
    let services = inventory.services.iter().map(|s| &*s.id);
    let services = Names::collect("service", "services", services, faults);
    Names::collect(
        "entry VM",
        "entry_vms",
        inventory.entry_vms.iter().map(|v| &*v.id),
        faults,
    );
    Names::collect(
        "server",
        "servers",
        inventory.servers.iter().map(|s| &*s.id),
        faults,
    );

    for (i, region) in inventory.regions.iter().enumerate() {
        check_delay(
            region.domain_delay_ms,
            || format!("regions[{i}].domain_delay_ms"),
            faults,
        );
    }
    for (i, domain) in inventory.domains.iter().enumerate() {
        regions.expect(&domain.region, || format!("domains[{i}].region"), faults);
    }
    for (i, vm) in inventory.entry_vms.iter().enumerate() {
        domains.expect(&vm.domain, || format!("entry_vms[{i}].domain"), faults);
    }
    for (i, server) in inventory.servers.iter().enumerate() {
        services.expect(&server.service, || format!("servers[{i}].service"), faults);
        domains.expect(&server.domain, || format!("servers[{i}].domain"), faults);
        check_capacity(i, server, faults);
    }
    check_links(inventory, &regions, faults);
    check_blocks(inventory, &domains, faults);
    check_addresses(inventory, faults);
    check_coverage(inventory, faults);
}

fn check_capacity(i: usize, server: &BackendServer, faults: &mut Faults) {
    if server.slots == 0 {
        let path = format!("servers[{i}].slots");
        faults.error(
            &path,
            "a server needs slots",
            "give at least 1, or remove the server",
        );
    }
    if server.connections < server.slots {
        let message = format!(
            "{} connections cannot fill {} slots",
            server.connections, server.slots
        );
        let fix = format!("give at least {}", server.slots);
        faults.error(&format!("servers[{i}].connections"), message, fix);
    }
}

fn check_links(inventory: &Inventory, regions: &Names<'_>, faults: &mut Faults) {
    let mut seen = HashSet::new();
    for (i, link) in inventory.links.iter().enumerate() {
        let path = format!("links[{i}]");
        regions.expect(&link.from, || format!("{path}.from"), faults);
        regions.expect(&link.to, || format!("{path}.to"), faults);
        check_delay(link.delay_ms, || format!("{path}.delay_ms"), faults);
        if link.bytes_per_second == 0 {
            let path = format!("{path}.bytes_per_second");
            faults.error(
                &path,
                "a link carries no bytes",
                "give its limit, or remove the link",
            );
        }
        if link.from == link.to {
            let message = format!("link starts and ends in {:?}", link.from);
            faults.error(
                &path,
                message,
                "a link joins two regions; remove it or correct one end",
            );
        }
        if !seen.insert((&*link.from, &*link.to)) {
            let message = format!("link from {:?} to {:?} is given twice", link.from, link.to);
            faults.error(&path, message, "keep one of the two");
        }
    }
    warn_missing_links(inventory, &seen, faults);
}

/// Regions without a link cannot take each other's work.
fn warn_missing_links(inventory: &Inventory, seen: &HashSet<(&str, &str)>, faults: &mut Faults) {
    for Link { from, to, .. } in &inventory.links {
        if !seen.contains(&(&**to, &**from)) {
            let message = format!("no link leads back from {to:?} to {from:?}");
            faults.warning("links", message, "add it; links are directed");
        }
    }
    for (i, region) in inventory.regions.iter().enumerate() {
        let alone =
            inventory.regions.len() > 1 && !seen.iter().any(|(from, _)| *from == &*region.id);
        if alone {
            let message = format!("no link starts in region {:?}", region.id);
            let fix = "add links to the other regions, or it cannot use their servers";
            faults.warning(&format!("regions[{i}]"), message, fix);
        }
    }
}

fn check_blocks(inventory: &Inventory, domains: &Names<'_>, faults: &mut Faults) {
    let mut seen = HashSet::with_capacity(inventory.client_blocks.len());
    for (i, block) in inventory.client_blocks.iter().enumerate() {
        domains.expect(
            &block.domain,
            || format!("client_blocks[{i}].domain"),
            faults,
        );
        let path = || format!("client_blocks[{i}].prefix");
        match block.prefix.parse::<Prefix>() {
            Ok(prefix) if !seen.insert(prefix) => {
                let message = format!("block {prefix} is given twice");
                faults.error(&path(), message, "keep one of the two");
            }
            Ok(_) => {}
            Err(error) => {
                let fix = match error {
                    PrefixError::Form => "write it as address/bits, such as 198.18.0.0/16".into(),
                    PrefixError::Bits => "give at most 32 bits for IPv4 and 128 for IPv6".into(),
                    PrefixError::HostBits(valid) => format!("write {valid}"),
                };
                let message = format!("{:?} is no valid prefix", block.prefix);
                faults.error(&path(), message, fix);
            }
        }
    }
}

fn check_addresses(inventory: &Inventory, faults: &mut Faults) {
    let vms = inventory.entry_vms.iter().enumerate().flat_map(|(i, vm)| {
        [
            (format!("entry_vms[{i}].caller_address"), vm.caller_address),
            (format!("entry_vms[{i}].peer_address"), vm.peer_address),
            (
                format!("entry_vms[{i}].operator_address"),
                vm.operator_address,
            ),
        ]
    });
    let servers = inventory.servers.iter().enumerate();
    let servers = servers.map(|(i, s)| (format!("servers[{i}].address"), s.address));
    let mut seen: HashMap<SocketAddr, String> = HashMap::new();
    for (path, address) in vms.chain(servers) {
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let message = format!("{address} cannot be connected to");
            faults.error(
                &path,
                message,
                "give the machine's own IP address and a port from 1",
            );
        } else if let Some(first) = seen.get(&address) {
            let message = format!("address {address} is already used at {first}");
            faults.error(&path, message, "give each listener its own address");
        } else {
            seen.insert(address, path);
        }
    }
}

/// Warns of services and domains that cannot do any work.
fn check_coverage(inventory: &Inventory, faults: &mut Faults) {
    let served: HashSet<&str> = inventory.servers.iter().map(|s| &*s.service).collect();
    for (i, service) in inventory.services.iter().enumerate() {
        if !served.contains(&*service.id) {
            let message = format!("service {:?} has no servers", service.id);
            faults.warning(
                &format!("services[{i}]"),
                message,
                "add servers or remove the service",
            );
        }
    }
    let entered: HashSet<&str> = inventory.entry_vms.iter().map(|v| &*v.domain).collect();
    let used: HashSet<&str> = inventory.servers.iter().map(|s| &*s.domain).collect();
    for (i, domain) in inventory.domains.iter().enumerate() {
        if used.contains(&*domain.id) && !entered.contains(&*domain.id) {
            let message = format!("failure domain {:?} has servers but no entry VM", domain.id);
            let fix = "add an entry VM; only those of a domain send to its servers";
            faults.warning(&format!("domains[{i}]"), message, fix);
        }
    }
    if inventory.entry_vms.is_empty() {
        faults.warning("entry_vms", "no entry VM is listed", "add at least one");
    }
}
