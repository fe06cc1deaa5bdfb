//! The daemon as a process: memory, idle cost, look-ups, relaying, start.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::{Class, Configuration, Source};

use super::fleet::{Fleet, wait};
use super::keepalive::{self, Connection};
use super::{Report, configuration, process};

const INVENTORY: &str = include_str!("../../../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../../../examples/notensatz/rules.json");
/// Time of one run with load.
const LOADED: Duration = Duration::from_secs(2);
/// Connections of callers.
const CONNECTIONS: [usize; 3] = [1, 4, 16];
/// Entry VMs in the configuration of a single daemon.
const VMS: [usize; 4] = [12, 60, 300, 600];
/// Starts of a new entry VM.
const STARTS: usize = 3;

/// Measures load on one of the entry VMs of today's example, then one daemon by the number of others.
pub async fn measure(r: &mut Report<'_>) -> io::Result<()> {
    let mut fleet = start_example("daemon").await?;
    loaded(r, &fleet)?;
    starts(r, &mut fleet)?;
    drop(fleet);
    by_size(r).await
}

/// Starts today's example and waits until all of its entry VMs have slots.
pub async fn start_example(name: &str) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(name, example()?, |_| true, true).await?;
    for id in fleet.ids() {
        fleet.start(&id)?;
    }
    for id in fleet.ids() {
        wait("slots of an entry VM", || has_slots(&fleet, &id))?;
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
    let is_good = connection.exchange(b"GET /status HTTP/1.1\r\nhost: rosemaryglade\r\n\r\n")?;
    if !is_good {
        return Err(io::Error::other("the status is refused"));
    }
    Ok(serde_json::from_slice(connection.body())?)
}

/// Look-ups and relayed requests at one entry VM.
fn loaded(r: &mut Report, fleet: &Fleet) -> io::Result<()> {
    let services = &fleet.configuration.inventory.services;
    let of = |class| {
        services
            .iter()
            .find(|s| s.class == class)
            .map(|s| s.id.clone())
    };
    let (Some(idempotent), Some(binding)) = (of(Class::Idempotent), of(Class::Binding)) else {
        return Err(io::Error::other("the example has no such service"));
    };
    let id = &fleet.ids()[0];
    let address = fleet.caller_address(id);
    let pid = fleet.pids()[0];
    for n in CONNECTIONS {
        load(
            r,
            "http_look_up",
            address,
            pid,
            &keepalive::look_up(&idempotent),
            n,
        )?;
    }
    load(
        r,
        "http_look_up_ticket",
        address,
        pid,
        &keepalive::look_up(&binding),
        4,
    )?;
    for n in CONNECTIONS {
        load(
            r,
            "http_relay",
            address,
            pid,
            &keepalive::work(&idempotent),
            n,
        )?;
    }
    let resident = process::resident(pid)?;
    r.line("loaded_daemon", &[("resident_bytes", &resident)])
}

fn load(
    r: &mut Report,
    name: &str,
    address: SocketAddr,
    pid: u32,
    request: &[u8],
    connections: usize,
) -> io::Result<()> {
    let before = (process::cpu(pid)?, process::own_cpu()?);
    let counted = keepalive::run(address, request, connections, LOADED)?;
    let daemon = process::cpu(pid)?.saturating_sub(before.0);
    let own = process::own_cpu()?.saturating_sub(before.1);
    let all = (counted.good + counted.other).max(1) as f64;
    r.line(
        name,
        &[
            ("connections", &connections),
            ("good", &counted.good),
            ("other", &counted.other),
            ("per_second", &(all / counted.elapsed.as_secs_f64())),
            ("daemon_cpu_us", &(daemon.as_secs_f64() * 1e6 / all)),
            (
                "caller_and_standins_cpu_us",
                &(own.as_secs_f64() * 1e6 / all),
            ),
        ],
    )
}

/// Start of an entry VM with empty memory: to its first look-up answer and relayed answer.
fn starts(r: &mut Report, fleet: &mut Fleet) -> io::Result<()> {
    let services = &fleet.configuration.inventory.services;
    let Some(service) = services.iter().find(|s| s.class == Class::Idempotent) else {
        return Err(io::Error::other("the example has no idempotent service"));
    };
    let (look_up, work) = (
        keepalive::look_up(&service.id),
        keepalive::work(&service.id),
    );
    // The seeds are the first three, so that the new one has others to ask.
    let Some(id) = fleet.ids().pop() else {
        return Err(io::Error::other("the example has no entry VM"));
    };
    for (platform, is_down) in [("up", false), ("down", true)] {
        fleet.platform.set_faults(|f| f.down = is_down);
        for _ in 0..STARTS {
            fleet.kill(&id);
            let started = Instant::now();
            fleet.start(&id)?;
            let address = fleet.caller_address(&id);
            wait("first look-up", || answers(address, &look_up))?;
            let first_look_up = started.elapsed().as_secs_f64() * 1e3;
            wait("first relayed request", || answers(address, &work))?;
            let first_relayed = started.elapsed().as_secs_f64() * 1e3;
            wait("own slots", || has_slots(fleet, &id))?;
            let own_slots = started.elapsed().as_secs_f64() * 1e3;
            r.line(
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

fn answers(address: SocketAddr, request: &[u8]) -> bool {
    Connection::open(address)
        .and_then(|mut c| c.exchange(request))
        .unwrap_or(false)
}

/// One daemon whose configuration names others that do not answer.
async fn by_size(r: &mut Report<'_>) -> io::Result<()> {
    let (mut memory, mut times) = (Vec::new(), Vec::new());
    for n in VMS {
        let mut configuration = configuration::configuration(n, 0);
        let first = configuration.inventory.entry_vms[0].id.clone();
        configuration.rules = config::Rules::default();
        let name = format!("single-{n}");
        let mut fleet = Fleet::new(&name, configuration, |v| v.id == first, false).await?;
        let started = Instant::now();
        let pid = fleet.start(&first)?;
        let address = fleet.caller_address(&first);
        let request = keepalive::look_up("service-0");
        wait("first look-up", || answers(address, &request))?;
        let first_ms = started.elapsed().as_secs_f64() * 1e3;
        std::thread::sleep(Duration::from_secs(1));
        let cpu = process::cpu(pid)?;
        std::thread::sleep(LOADED);
        let idle =
            process::cpu(pid)?.saturating_sub(cpu).as_secs_f64() / LOADED.as_secs_f64() * 100.0;
        let resident = process::resident(pid)?;
        let before = process::cpu(pid)?;
        let counted = keepalive::run(address, &request, 4, LOADED)?;
        let all = (counted.good + counted.other).max(1) as f64;
        let us = process::cpu(pid)?.saturating_sub(before).as_secs_f64() * 1e6 / all;
        memory.push((n as f64, resident as f64));
        times.push((n as f64, us));
        r.line(
            "daemon_by_entry_vms",
            &[
                ("entry_vms", &n),
                ("resident_bytes", &resident),
                ("first_look_up_ms", &first_ms),
                ("idle_cpu_percent_of_core", &idle),
                (
                    "look_ups_per_second",
                    &(all / counted.elapsed.as_secs_f64()),
                ),
                ("look_up_cpu_us", &us),
            ],
        )?;
    }
    r.fit("daemon_resident_bytes_by_entry_vms", &memory)?;
    r.fit("http_look_up_cpu_us_by_entry_vms", &times)
}
