//! Cost of nodes without work of callers: today's example, single domains of several sizes
//! (heartbeats), and several domains of one entry VM each (digests).

use std::io;
use std::time::{Duration, Instant};

use config::Configuration;

use super::fleet::Fleet;
use super::{Report, configuration, daemon, process};

/// Time for the nodes to find each other.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time of the measurement: four periods of the digests among 14 domains.
const MEASURED: Duration = Duration::from_secs(22);
/// Entry VMs of a domain, one more than the peers of each.
const DOMAIN_SIZES: [usize; 4] = [3, 9, 17, 44];
/// Domains with one entry VM each.
const DOMAINS: [usize; 3] = [3, 6, 14];

/// What the nodes of one fleet used so far.
struct Sample {
    /// Processor time of all daemons.
    cpu: Duration,
    /// Bytes and connections to peers, platform and servers.
    traffic: [(u64, u64); 3],
    /// When it was taken.
    at: Instant,
}

/// What one node uses.
struct Node {
    /// Share of a core.
    core: f64,
    /// Bytes and connections a second to peers, platform and servers.
    traffic: [(f64, f64); 3],
}

/// Measures all fleets at the same time.
pub async fn measure(r: &mut Report<'_>) -> io::Result<()> {
    let started = Instant::now();
    let today = daemon::start_example("today").await?;
    let ready = started.elapsed().as_secs_f64();
    let mut domains = Vec::new();
    for n in DOMAIN_SIZES {
        domains.push(start(&format!("domain-{n}"), sparse(1, n)).await?);
    }
    let mut singles = Vec::new();
    for n in DOMAINS {
        singles.push(start(&format!("domains-{n}"), sparse(n, 1)).await?);
    }
    std::thread::sleep(WARM_UP);
    let fleets: Vec<&Fleet> = domains.iter().chain(&singles).chain([&today]).collect();
    let before: Vec<Sample> = fleets
        .iter()
        .map(|f| sample(f))
        .collect::<io::Result<_>>()?;
    std::thread::sleep(MEASURED);
    let mut nodes = Vec::new();
    for (fleet, before) in fleets.iter().zip(&before) {
        fleet.check()?;
        nodes.push(node(fleet, before)?);
    }
    let (mut heartbeats, mut digests) = (Vec::new(), Vec::new());
    for (node, vms) in nodes.iter().zip(DOMAIN_SIZES) {
        let peers = vms - 1;
        heartbeats.push((peers as f64, node.traffic[0].0));
        line(r, "idle_domain", ("peers", peers), node)?;
    }
    for (node, n) in nodes[DOMAIN_SIZES.len()..].iter().zip(DOMAINS) {
        digests.push(((n - 1) as f64, node.traffic[0].0));
        line(r, "idle_domains", ("other_domains", n - 1), node)?;
    }
    r.fit("idle_domain_bytes_per_second_by_peers", &heartbeats)?;
    r.fit("idle_domains_bytes_per_second_by_other_domains", &digests)?;
    let pids = today.pids();
    if let Some(node) = nodes.last() {
        r.line("start_today", &[("all_ready_s", &ready)])?;
        line(r, "idle_today", ("entry_vms", pids.len()), node)?;
    }
    let resident: Vec<u64> = pids
        .iter()
        .map(|p| process::resident(*p))
        .collect::<io::Result<_>>()?;
    let mean = resident.iter().sum::<u64>() as f64 / pids.len() as f64;
    let max = resident.iter().max().copied().unwrap_or(0);
    r.line(
        "idle_today_memory",
        &[("resident_bytes_mean", &mean), ("resident_bytes_max", &max)],
    )
}

async fn start(name: &str, configuration: Configuration) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(name, configuration, |_| true, false).await?;
    for id in fleet.ids() {
        fleet.start(&id)?;
    }
    Ok(fleet)
}

/// A configuration with `domains` failure domains of `vms` entry VMs each and one server of each
/// service in each domain; the servers refuse connections.
fn sparse(domains: usize, vms: usize) -> Configuration {
    let mut configuration = configuration::configuration(domains * vms, 0);
    let inventory = &mut configuration.inventory;
    inventory.domains.truncate(domains);
    let domain = |n: usize| inventory.domains[n % domains].id.clone();
    for (i, vm) in inventory.entry_vms.iter_mut().enumerate() {
        vm.domain = domain(i);
    }
    let services: Vec<_> = inventory.services.iter().map(|s| s.id.clone()).collect();
    inventory.servers.truncate(domains * services.len());
    for (i, server) in inventory.servers.iter_mut().enumerate() {
        server.domain = domain(i / services.len());
        server.service = services[i % services.len()].clone();
    }
    configuration
}

fn sample(fleet: &Fleet) -> io::Result<Sample> {
    let t = &fleet.traffic;
    Ok(Sample {
        cpu: fleet
            .pids()
            .into_iter()
            .map(process::cpu)
            .sum::<io::Result<Duration>>()?,
        traffic: [t.peers.now(), t.platform.now(), t.servers.now()],
        at: Instant::now(),
    })
}

fn node(fleet: &Fleet, before: &Sample) -> io::Result<Node> {
    let after = sample(fleet)?;
    let node_seconds = (after.at - before.at).as_secs_f64() * fleet.pids().len() as f64;
    let mut traffic = [(0.0, 0.0); 3];
    for (i, used) in traffic.iter_mut().enumerate() {
        // What one entry VM sends to another, that one receives: each byte loads two nodes.
        let nodes_loaded = if i == 0 { 2.0 } else { 1.0 };
        let rate = |after: u64, before: u64| (after - before) as f64 * nodes_loaded / node_seconds;
        used.0 = rate(after.traffic[i].0, before.traffic[i].0);
        used.1 = rate(after.traffic[i].1, before.traffic[i].1);
    }
    Ok(Node {
        core: after.cpu.saturating_sub(before.cpu).as_secs_f64() / node_seconds,
        traffic,
    })
}

fn line(r: &mut Report, name: &str, size: (&str, usize), node: &Node) -> io::Result<()> {
    let [peers, platform, servers] = node.traffic;
    r.line(
        name,
        &[
            (size.0, &size.1),
            ("cpu_percent_of_core", &(node.core * 100.0)),
            ("peer_bytes_per_second", &peers.0),
            ("peer_connections_per_second", &peers.1),
            ("platform_bytes_per_second", &platform.0),
            ("platform_connections_per_second", &platform.1),
            ("server_bytes_per_second", &servers.0),
            ("server_connections_per_second", &servers.1),
        ],
    )
}
