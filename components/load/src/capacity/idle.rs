//! Measures the cost of entry VMs without requests of callers: the example deployment, single domains
//! of several sizes (heartbeats), and several domains of one entry VM each (digests).

use std::io;
use std::time::{Duration, Instant};

use config::Configuration;

use super::fleet::Fleet;
use super::{CapacityReport, configuration, daemon, process};

/// Time for the entry VMs to discover each other.
const WARM_UP: Duration = Duration::from_secs(6);
/// Duration of the measurement: four digest intervals of 14 domains.
const MEASURE_DURATION: Duration = Duration::from_secs(22);
/// Numbers of entry VMs in a domain; each has one peer less.
const DOMAIN_SIZES: [usize; 4] = [3, 9, 17, 44];
/// Numbers of domains with one entry VM each.
const DOMAIN_COUNTS: [usize; 3] = [3, 6, 14];

/// Resources that a fleet has used so far.
struct Totals {
    /// Processor time of all daemons.
    cpu: Duration,
    /// Bytes and connections, to peers, platform and servers.
    traffic: [(u64, u64); 3],
    /// Time of the measurement.
    at: Instant,
}

/// Resources that one entry VM uses on average.
struct NodeUsage {
    /// Processor time as a share of one core.
    core: f64,
    /// Bytes and connections per second, to peers, platform and servers.
    traffic: [(f64, f64); 3],
}

/// Measures all fleets at the same time.
pub async fn measure(report: &mut CapacityReport<'_>) -> io::Result<()> {
    let started = Instant::now();
    let example = daemon::start_example("today").await?;
    let ready = started.elapsed().as_secs_f64();
    let mut domain_fleets = Vec::new();
    for n in DOMAIN_SIZES {
        domain_fleets.push(start_fleet(&format!("domain-{n}"), idle_configuration(1, n)).await?);
    }
    let mut single_vm_fleets = Vec::new();
    for n in DOMAIN_COUNTS {
        single_vm_fleets
            .push(start_fleet(&format!("domains-{n}"), idle_configuration(n, 1)).await?);
    }
    std::thread::sleep(WARM_UP);
    let fleets: Vec<&Fleet> = domain_fleets
        .iter()
        .chain(&single_vm_fleets)
        .chain([&example])
        .collect();
    let before: Vec<Totals> = fleets
        .iter()
        .map(|f| totals(f))
        .collect::<io::Result<_>>()?;
    std::thread::sleep(MEASURE_DURATION);
    let mut usages = Vec::new();
    for (fleet, before) in fleets.iter().zip(&before) {
        fleet.check_running()?;
        usages.push(usage_since(fleet, before)?);
    }
    let (mut heartbeats, mut digests) = (Vec::new(), Vec::new());
    for (usage, vms) in usages.iter().zip(DOMAIN_SIZES) {
        let peers = vms - 1;
        heartbeats.push((peers as f64, usage.traffic[0].0));
        print_usage(report, "idle_domain", ("peers", peers), usage)?;
    }
    for (usage, n) in usages[DOMAIN_SIZES.len()..].iter().zip(DOMAIN_COUNTS) {
        digests.push(((n - 1) as f64, usage.traffic[0].0));
        print_usage(report, "idle_domains", ("other_domains", n - 1), usage)?;
    }
    report.print_fit("idle_domain_bytes_per_second_by_peers", &heartbeats)?;
    report.print_fit("idle_domains_bytes_per_second_by_other_domains", &digests)?;
    let pids = example.pids();
    if let Some(usage) = usages.last() {
        report.print_line("start_today", &[("all_ready_s", &ready)])?;
        print_usage(report, "idle_today", ("entry_vms", pids.len()), usage)?;
    }
    let resident: Vec<u64> = pids
        .iter()
        .map(|p| process::resident(*p))
        .collect::<io::Result<_>>()?;
    let mean = resident.iter().sum::<u64>() as f64 / pids.len() as f64;
    let max = resident.iter().max().copied().unwrap_or(0);
    report.print_line(
        "idle_today_memory",
        &[("resident_bytes_mean", &mean), ("resident_bytes_max", &max)],
    )
}

async fn start_fleet(name: &str, configuration: Configuration) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(name, configuration, |_| true, false).await?;
    for id in fleet.ids() {
        fleet.start(&id)?;
    }
    Ok(fleet)
}

/// Returns a configuration with `domains` failure domains of `vms` entry VMs each, and one server of
/// each service in each domain; the servers refuse connections.
fn idle_configuration(domains: usize, vms: usize) -> Configuration {
    let mut configuration = configuration::generate(domains * vms, 0);
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

fn totals(fleet: &Fleet) -> io::Result<Totals> {
    let t = &fleet.traffic;
    Ok(Totals {
        cpu: fleet
            .pids()
            .into_iter()
            .map(process::cpu)
            .sum::<io::Result<Duration>>()?,
        traffic: [t.peers.totals(), t.platform.totals(), t.servers.totals()],
        at: Instant::now(),
    })
}

fn usage_since(fleet: &Fleet, before: &Totals) -> io::Result<NodeUsage> {
    let after = totals(fleet)?;
    let node_seconds = (after.at - before.at).as_secs_f64() * fleet.pids().len() as f64;
    let mut traffic = [(0.0, 0.0); 3];
    for (i, used) in traffic.iter_mut().enumerate() {
        // Both ends of a connection between peers are in the fleet, so each byte counts for two
        // entry VMs.
        let nodes_loaded = if i == 0 { 2.0 } else { 1.0 };
        let rate = |after: u64, before: u64| (after - before) as f64 * nodes_loaded / node_seconds;
        used.0 = rate(after.traffic[i].0, before.traffic[i].0);
        used.1 = rate(after.traffic[i].1, before.traffic[i].1);
    }
    Ok(NodeUsage {
        core: after.cpu.saturating_sub(before.cpu).as_secs_f64() / node_seconds,
        traffic,
    })
}

fn print_usage(
    report: &mut CapacityReport,
    name: &str,
    size: (&str, usize),
    usage: &NodeUsage,
) -> io::Result<()> {
    let [peers, platform, servers] = usage.traffic;
    report.print_line(
        name,
        &[
            (size.0, &size.1),
            ("cpu_percent_of_core", &(usage.core * 100.0)),
            ("peer_bytes_per_second", &peers.0),
            ("peer_connections_per_second", &peers.1),
            ("platform_bytes_per_second", &platform.0),
            ("platform_connections_per_second", &platform.1),
            ("server_bytes_per_second", &servers.0),
            ("server_connections_per_second", &servers.1),
        ],
    )
}
