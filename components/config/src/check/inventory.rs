//! Checks of the inventory.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::{NameIndex, check_delay};
use crate::diagnostic::Diagnostics;
use crate::inventory::{BackendServer, Inventory, Link};
use crate::prefix::{Prefix, PrefixError};

pub(crate) fn check_inventory(inventory: &Inventory, diagnostics: &mut Diagnostics) {
    let regions = inventory.regions.iter().map(|r| &*r.id);
    let regions = NameIndex::collect("region", "regions", regions, diagnostics);
    let domains = inventory.domains.iter().map(|d| &*d.id);
    let domains = NameIndex::collect("failure domain", "domains", domains, diagnostics);
    let services = inventory.services.iter().map(|s| &*s.id);
    let services = NameIndex::collect("service", "services", services, diagnostics);
    NameIndex::collect(
        "entry VM",
        "entry_vms",
        inventory.entry_vms.iter().map(|v| &*v.id),
        diagnostics,
    );
    NameIndex::collect(
        "server",
        "servers",
        inventory.servers.iter().map(|s| &*s.id),
        diagnostics,
    );

    for (i, region) in inventory.regions.iter().enumerate() {
        check_delay(
            region.domain_delay_ms,
            || format!("regions[{i}].domain_delay_ms"),
            diagnostics,
        );
    }
    for (i, domain) in inventory.domains.iter().enumerate() {
        regions.check_exists(
            &domain.region,
            || format!("domains[{i}].region"),
            diagnostics,
        );
    }
    for (i, vm) in inventory.entry_vms.iter().enumerate() {
        domains.check_exists(&vm.domain, || format!("entry_vms[{i}].domain"), diagnostics);
    }
    for (i, server) in inventory.servers.iter().enumerate() {
        services.check_exists(
            &server.service,
            || format!("servers[{i}].service"),
            diagnostics,
        );
        domains.check_exists(
            &server.domain,
            || format!("servers[{i}].domain"),
            diagnostics,
        );
        check_capacity(i, server, diagnostics);
    }
    check_links(inventory, &regions, diagnostics);
    check_client_blocks(inventory, &domains, diagnostics);
    check_addresses(inventory, diagnostics);
    check_coverage(inventory, diagnostics);
}

fn check_capacity(i: usize, server: &BackendServer, diagnostics: &mut Diagnostics) {
    if server.slots == 0 {
        let path = format!("servers[{i}].slots");
        diagnostics.error(
            &path,
            "server has no slots",
            "give at least 1, or remove the server",
        );
    }
    if server.connections < server.slots {
        let message = format!(
            "{} connections are fewer than {} slots",
            server.connections, server.slots
        );
        let fix = format!("give at least {}", server.slots);
        diagnostics.error(&format!("servers[{i}].connections"), message, fix);
    }
}

fn check_links(inventory: &Inventory, regions: &NameIndex<'_>, diagnostics: &mut Diagnostics) {
    let mut seen = HashSet::new();
    for (i, link) in inventory.links.iter().enumerate() {
        let path = format!("links[{i}]");
        regions.check_exists(&link.from, || format!("{path}.from"), diagnostics);
        regions.check_exists(&link.to, || format!("{path}.to"), diagnostics);
        check_delay(link.delay_ms, || format!("{path}.delay_ms"), diagnostics);
        if link.bytes_per_second == 0 {
            let path = format!("{path}.bytes_per_second");
            diagnostics.error(
                &path,
                "link has a limit of 0 bytes per second",
                "give a limit of at least 1, or remove the link",
            );
        }
        if link.from == link.to {
            let message = format!("link starts and ends in {:?}", link.from);
            diagnostics.error(
                &path,
                message,
                "a link joins two regions; remove it or correct one end",
            );
        }
        if !seen.insert((&*link.from, &*link.to)) {
            let message = format!("duplicate link from {:?} to {:?}", link.from, link.to);
            diagnostics.error(&path, message, "keep one of the two");
        }
    }
    warn_missing_links(inventory, &seen, diagnostics);
}

/// Warns about regions without links, which cannot relay requests to each other.
fn warn_missing_links(
    inventory: &Inventory,
    seen: &HashSet<(&str, &str)>,
    diagnostics: &mut Diagnostics,
) {
    for Link { from, to, .. } in &inventory.links {
        if !seen.contains(&(&**to, &**from)) {
            let message = format!("no link leads back from {to:?} to {from:?}");
            diagnostics.warning("links", message, "add it; links are directed");
        }
    }
    for (i, region) in inventory.regions.iter().enumerate() {
        let isolated =
            inventory.regions.len() > 1 && !seen.iter().any(|(from, _)| *from == &*region.id);
        if isolated {
            let message = format!("no link starts in region {:?}", region.id);
            let fix = "add links to the other regions, or it cannot use their servers";
            diagnostics.warning(&format!("regions[{i}]"), message, fix);
        }
    }
}

fn check_client_blocks(
    inventory: &Inventory,
    domains: &NameIndex<'_>,
    diagnostics: &mut Diagnostics,
) {
    let mut seen = HashSet::with_capacity(inventory.client_blocks.len());
    for (i, block) in inventory.client_blocks.iter().enumerate() {
        domains.check_exists(
            &block.domain,
            || format!("client_blocks[{i}].domain"),
            diagnostics,
        );
        let path = || format!("client_blocks[{i}].prefix");
        match block.prefix.parse::<Prefix>() {
            Ok(prefix) if !seen.insert(prefix) => {
                let message = format!("duplicate client block {prefix}");
                diagnostics.error(&path(), message, "keep one of the two");
            }
            Ok(_) => {}
            Err(error) => {
                let fix = match error {
                    PrefixError::Form => "write it as address/bits, such as 198.18.0.0/16".into(),
                    PrefixError::Bits => "give at most 32 bits for IPv4 and 128 for IPv6".into(),
                    PrefixError::HostBits(valid) => format!("write {valid}"),
                };
                let message = format!("{:?} is not a valid prefix", block.prefix);
                diagnostics.error(&path(), message, fix);
            }
        }
    }
}

fn check_addresses(inventory: &Inventory, diagnostics: &mut Diagnostics) {
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
            diagnostics.error(
                &path,
                message,
                "give the machine's own IP address and a port from 1",
            );
        } else if let Some(first) = seen.get(&address) {
            let message = format!("address {address} is already used at {first}");
            diagnostics.error(&path, message, "give each listener its own address");
        } else {
            seen.insert(address, path);
        }
    }
}

/// Warns about services without servers and failure domains whose servers no entry VM can use.
fn check_coverage(inventory: &Inventory, diagnostics: &mut Diagnostics) {
    let services_with_servers: HashSet<&str> =
        inventory.servers.iter().map(|s| &*s.service).collect();
    for (i, service) in inventory.services.iter().enumerate() {
        if !services_with_servers.contains(&*service.id) {
            let message = format!("service {:?} has no servers", service.id);
            diagnostics.warning(
                &format!("services[{i}]"),
                message,
                "add servers or remove the service",
            );
        }
    }
    let domains_with_vms: HashSet<&str> = inventory.entry_vms.iter().map(|v| &*v.domain).collect();
    let domains_with_servers: HashSet<&str> =
        inventory.servers.iter().map(|s| &*s.domain).collect();
    for (i, domain) in inventory.domains.iter().enumerate() {
        if domains_with_servers.contains(&*domain.id) && !domains_with_vms.contains(&*domain.id) {
            let message = format!("failure domain {:?} has servers but no entry VM", domain.id);
            let fix = "add an entry VM; only those of a domain send to its servers";
            diagnostics.warning(&format!("domains[{i}]"), message, fix);
        }
    }
    if inventory.entry_vms.is_empty() {
        diagnostics.warning("entry_vms", "no entry VM is listed", "add at least one");
    }
}
