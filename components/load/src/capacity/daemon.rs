//! Measures the daemon `rosemaryglade-entry` as a process: memory, idle cost, look-ups, relayed
//! requests and start time.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::{Class, Configuration, Source};

use super::fleet::{Fleet, wait_for};
use super::keepalive::{self, Connection};
use super::{CapacityReport, configuration, process};

const INVENTORY: &str = include_str!("../../../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../../../examples/notensatz/rules.json");
/// Duration of each run with load, and of the idle measurement.
const LOAD_DURATION: Duration = Duration::from_secs(2);
/// Numbers of caller connections.
const CONNECTION_COUNTS: [usize; 3] = [1, 4, 16];
/// Numbers of entry VMs in the configuration of a single running daemon.
const ENTRY_VM_COUNTS: [usize; 4] = [12, 60, 300, 600];
/// Measured starts of an entry VM with the platform up, and with it down.
const STARTS_PER_CASE: usize = 3;

/// Measures one entry VM of the example deployment under load, then a single daemon by the number of
/// entry VMs in its configuration.
pub async fn measure(report: &mut CapacityReport<'_>) -> io::Result<()> {
    let mut fleet = start_example("daemon").await?;
    measure_load(report, &fleet)?;
    measure_starts(report, &mut fleet)?;
    drop(fleet);
    measure_by_size(report).await
}

/// Starts the example deployment and waits until all of its entry VMs have slots.
pub async fn start_example(name: &str) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(name, example()?, |_| true, true).await?;
    for id in fleet.ids() {
        fleet.start(&id)?;
    }
    for id in fleet.ids() {
        wait_for("slots of an entry VM", || has_slots(&fleet, &id))?;
    }
    Ok(fleet)
}

fn example() -> io::Result<Configuration> {
    let source = |name, text| Source { name, text };
    let (configuration, faults) = config::read_configuration(
        source("examples/notensatz/inventory.json", INVENTORY),
        source("examples/notensatz/rules.json", RULES),
    );
    configuration.ok_or_else(|| io::Error::other(format!("{faults:?}")))
}

fn has_slots(fleet: &Fleet, id: &str) -> bool {
    let status = status(fleet.operator_address(id)).unwrap_or_default();
    let free = status["free_slots"].as_object();
    free.is_some_and(|f| f.values().any(|n| n.as_u64() > Some(0)))
}

fn status(address: SocketAddr) -> io::Result<serde_json::Value> {
    let mut connection = Connection::open(address)?;
    let is_ok = connection.exchange(b"GET /status HTTP/1.1\r\nhost: rosemaryglade\r\n\r\n")?;
    if !is_ok {
        return Err(io::Error::other("GET /status did not return 200"));
    }
    Ok(serde_json::from_slice(connection.body())?)
}

/// Measures look-ups and relayed requests at one entry VM.
fn measure_load(report: &mut CapacityReport, fleet: &Fleet) -> io::Result<()> {
    let services = &fleet.configuration.inventory.services;
    let service_of = |class| {
        services
            .iter()
            .find(|s| s.class == class)
            .map(|s| s.id.clone())
    };
    let (Some(idempotent), Some(binding)) =
        (service_of(Class::Idempotent), service_of(Class::Binding))
    else {
        return Err(io::Error::other(
            "examples/notensatz lacks an idempotent or a binding service",
        ));
    };
    let id = &fleet.ids()[0];
    let address = fleet.caller_address(id);
    let pid = fleet.pids()[0];
    for n in CONNECTION_COUNTS {
        measure_requests(
            report,
            "http_look_up",
            address,
            pid,
            &keepalive::look_up_request(&idempotent),
            n,
        )?;
    }
    measure_requests(
        report,
        "http_look_up_ticket",
        address,
        pid,
        &keepalive::look_up_request(&binding),
        4,
    )?;
    for n in CONNECTION_COUNTS {
        measure_requests(
            report,
            "http_relay",
            address,
            pid,
            &keepalive::relayed_request(&idempotent),
            n,
        )?;
    }
    let resident = process::resident(pid)?;
    report.print_line("loaded_daemon", &[("resident_bytes", &resident)])
}

fn measure_requests(
    report: &mut CapacityReport,
    name: &str,
    address: SocketAddr,
    pid: u32,
    request: &[u8],
    connections: usize,
) -> io::Result<()> {
    let before = (process::cpu(pid)?, process::own_cpu()?);
    let counts = keepalive::send_repeatedly(address, request, connections, LOAD_DURATION)?;
    let daemon = process::cpu(pid)?.saturating_sub(before.0);
    let own = process::own_cpu()?.saturating_sub(before.1);
    let total = (counts.good + counts.other).max(1) as f64;
    report.print_line(
        name,
        &[
            ("connections", &connections),
            ("good", &counts.good),
            ("other", &counts.other),
            ("per_second", &(total / counts.elapsed.as_secs_f64())),
            ("daemon_cpu_us", &(daemon.as_secs_f64() * 1e6 / total)),
            (
                "caller_and_standins_cpu_us",
                &(own.as_secs_f64() * 1e6 / total),
            ),
        ],
    )
}

/// Measures the time from the start of an entry VM to its first look-up answer, its first relayed
/// response and its own slots.
fn measure_starts(report: &mut CapacityReport, fleet: &mut Fleet) -> io::Result<()> {
    let services = &fleet.configuration.inventory.services;
    let Some(service) = services.iter().find(|s| s.class == Class::Idempotent) else {
        return Err(io::Error::other(
            "examples/notensatz has no idempotent service",
        ));
    };
    let (look_up, work) = (
        keepalive::look_up_request(&service.id),
        keepalive::relayed_request(&service.id),
    );
    // The first three entry VMs are the seeds. The last one is restarted, so that it finds running
    // seeds.
    let Some(id) = fleet.ids().pop() else {
        return Err(io::Error::other("examples/notensatz has no entry VM"));
    };
    for (platform, is_down) in [("up", false), ("down", true)] {
        fleet.platform.set_faults(|f| f.down = is_down);
        for _ in 0..STARTS_PER_CASE {
            fleet.kill(&id);
            let started = Instant::now();
            fleet.start(&id)?;
            let address = fleet.caller_address(&id);
            wait_for("first look-up", || responds(address, &look_up))?;
            let first_look_up = started.elapsed().as_secs_f64() * 1e3;
            wait_for("first relayed request", || responds(address, &work))?;
            let first_relayed = started.elapsed().as_secs_f64() * 1e3;
            wait_for("own slots", || has_slots(fleet, &id))?;
            let own_slots = started.elapsed().as_secs_f64() * 1e3;
            report.print_line(
                &format!("entry_vm_start_platform_{platform}"),
                &[
                    ("first_look_up_ms", &first_look_up),
                    ("first_relayed_ms", &first_relayed),
                    ("own_slots_ms", &own_slots),
                ],
            )?;
        }
    }
    fleet.platform.set_faults(|f| f.down = false);
    Ok(())
}

fn responds(address: SocketAddr, request: &[u8]) -> bool {
    Connection::open(address)
        .and_then(|mut c| c.exchange(request))
        .unwrap_or(false)
}

/// Measures a single daemon whose configuration lists other entry VMs that refuse connections.
async fn measure_by_size(report: &mut CapacityReport<'_>) -> io::Result<()> {
    let (mut memory, mut times) = (Vec::new(), Vec::new());
    for n in ENTRY_VM_COUNTS {
        let mut configuration = configuration::generate(n, 0);
        let first = configuration.inventory.entry_vms[0].id.clone();
        configuration.rules = config::Rules::default();
        let name = format!("single-{n}");
        let mut fleet = Fleet::new(&name, configuration, |v| v.id == first, false).await?;
        let started = Instant::now();
        let pid = fleet.start(&first)?;
        let address = fleet.caller_address(&first);
        let request = keepalive::look_up_request("service-0");
        wait_for("first look-up", || responds(address, &request))?;
        let first_ms = started.elapsed().as_secs_f64() * 1e3;
        std::thread::sleep(Duration::from_secs(1));
        let cpu = process::cpu(pid)?;
        std::thread::sleep(LOAD_DURATION);
        let idle = process::cpu(pid)?.saturating_sub(cpu).as_secs_f64()
            / LOAD_DURATION.as_secs_f64()
            * 100.0;
        let resident = process::resident(pid)?;
        let before = process::cpu(pid)?;
        let counts = keepalive::send_repeatedly(address, &request, 4, LOAD_DURATION)?;
        let total = (counts.good + counts.other).max(1) as f64;
        let us = process::cpu(pid)?.saturating_sub(before).as_secs_f64() * 1e6 / total;
        memory.push((n as f64, resident as f64));
        times.push((n as f64, us));
        report.print_line(
            "daemon_by_entry_vms",
            &[
                ("entry_vms", &n),
                ("resident_bytes", &resident),
                ("first_look_up_ms", &first_ms),
                ("idle_cpu_percent_of_core", &idle),
                (
                    "look_ups_per_second",
                    &(total / counts.elapsed.as_secs_f64()),
                ),
                ("look_up_cpu_us", &us),
            ],
        )?;
    }
    report.print_fit("daemon_resident_bytes_by_entry_vms", &memory)?;
    report.print_fit("http_look_up_cpu_us_by_entry_vms", &times)
}
