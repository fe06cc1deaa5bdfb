//! Experiment `drain`: a server, an entry VM and a failure domain are drained under load.
//!
//! Runs whole entry VMs over real sockets, with stand-ins for the platform and the backend servers.
//! The first phase, without a drain, is the baseline.

mod load;
mod monitor;

use std::time::{Duration, Instant};

use config::{Configuration, ServerId, Shift, ShiftReason, Source};
use deployment::{Deployment, Options};

use crate::experiment::{Goal, Report};
use load::{Load, Phase};
use monitor::{ServerMonitor, ShareMonitor};

const INVENTORY: &str = include_str!("../../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../../examples/notensatz/rules.json");
/// Executor threads.
const THREADS: usize = 4;
/// Duration of the baseline, and of the phase that follows the drain of the server.
const PHASE_DURATION: Duration = Duration::from_secs(8);
/// Cap on the share that planned shifts move per minute; at 1.0, a domain is empty after a minute.
const CAP_PER_MINUTE: f64 = 1.0;
/// Duration of the drain of the domain: one minute for the shift, and 8 s to detect later arrivals.
const DOMAIN_PHASE_DURATION: Duration = Duration::from_secs(68);
/// Goal for the time of the last arrival at a drained server or, after its shift, domain.
const MAX_LAST_ARRIVAL_MS: f64 = 2_000.0;
/// Window over which the moved share is checked against the cap.
const WINDOW: Duration = Duration::from_secs(10);
/// Share by which a window may exceed the cap: one step of the limiter and the age of a sample.
const WINDOW_TOLERANCE: f64 = 0.03;

pub fn run(seed: u64) -> Report {
    let mut report = Report::new("drain", seed);
    if let Err(e) = runtime::block_on(THREADS, run_phases(seed, &mut report)) {
        report
            .lines
            .push(format!("error=\"{}\"", e.current_context()));
        report.goals.push(Goal::at_most("errors", 1.0, 0.0));
    }
    report
}

fn example_configuration() -> Configuration {
    let source = |name, text| Source { name, text };
    let (configuration, _) = config::read_configuration(
        source("examples/notensatz/inventory.json", INVENTORY),
        source("examples/notensatz/rules.json", RULES),
    );
    let mut configuration = configuration.unwrap_or_default();
    configuration.rules.shift_cap_per_minute = CAP_PER_MINUTE;
    configuration
}

async fn run_phases(seed: u64, report: &mut Report) -> deployment::Result<()> {
    let options = Options {
        configuration: example_configuration(),
        service_time: Duration::from_millis(20),
        deferrable_factor: 20,
        seed,
        ..Options::default()
    };
    let mut deployment = Deployment::start(options).await?;
    let load = Load::start(&deployment, seed);

    runtime::sleep(PHASE_DURATION).await;
    load.set_phase(Phase::Server);
    drain_server(&deployment, report).await?;

    load.set_phase(Phase::EntryVm);
    stop_entry_vm(&mut deployment, report).await;

    load.set_phase(Phase::Domain);
    drain_domain(&deployment, report).await?;

    let result = load.stop().await;
    result.report(&deployment, report);
    let is_graceful = deployment.stop().await;
    report.add_figure("deployment_stopped_gracefully", f64::from(is_graceful));
    Ok(())
}

/// Drains one server of each service in the first failure domain by configuration.
async fn drain_server(deployment: &Deployment, report: &mut Report) -> deployment::Result<()> {
    let inventory = &deployment.configuration.inventory;
    let Some(domain) = inventory.domains.first() else {
        return Ok(());
    };
    let nth_servers = |n: usize| -> Vec<ServerId> {
        let services = inventory.services.iter().filter_map(|service| {
            let servers = inventory.servers.iter();
            let mut own = servers.filter(|s| s.service == service.id && s.domain == domain.id);
            own.nth(n).map(|s| s.id.clone())
        });
        services.collect()
    };
    let (drained, siblings) = (nth_servers(0), nth_servers(1));
    let mut next = deployment.configuration.clone();
    next.rules.drains.servers.extend(drained.iter().cloned());
    let started = Instant::now();
    let monitor = ServerMonitor::start(&deployment.servers, |id| drained.contains(id), started);
    let sibling_monitor =
        ServerMonitor::start(&deployment.servers, |id| siblings.contains(id), started);
    let generation = deployment.apply(1, &next).await?;
    let in_force = deployment.wait_generation(generation).await?;
    runtime::sleep(PHASE_DURATION).await;
    let activity = monitor.stop().await;
    let siblings_started = sibling_monitor.stop().await.started_after;
    report.add_figure("drained_servers", drained.len() as f64);
    report.add_figure(
        "undrained_siblings_started_meanwhile",
        siblings_started as f64,
    );
    report.add_figure("server_drain_in_force_ms", ms(in_force));
    report.add_figure(
        "server_started_before_drain",
        activity.started_before as f64,
    );
    report.add_figure("server_started_after_drain", activity.started_after as f64);
    report.add_figure("server_drain_time_ms", ms(activity.last_busy));
    report.goals.push(Goal::at_least(
        "server_had_work_before",
        activity.started_before as f64,
        1.0,
    ));
    report.goals.push(Goal::at_least(
        "undrained_siblings_had_work",
        siblings_started as f64,
        1.0,
    ));
    report.goals.push(Goal::at_most(
        "server_last_arrival_ms",
        ms(activity.last_arrival),
        MAX_LAST_ARRIVAL_MS,
    ));
    // A drained server is idle once the last request that it accepted has ended.
    report.goals.push(Goal::at_most(
        "server_drain_time_beyond_longest_request_ms",
        ms(activity.last_busy) - ms(activity.last_arrival) - ms(load::DEADLINE),
        0.0,
    ));
    Ok(())
}

async fn stop_entry_vm(deployment: &mut Deployment, report: &mut Report) {
    let id = deployment.running()[1].id.clone();
    let started = Instant::now();
    let is_graceful = deployment.stop_entry_vm(&id).await;
    report.add_figure("entry_vm_stop_ms", ms(started.elapsed()));
    report.goals.push(Goal::at_least(
        "entry_vm_stopped_gracefully",
        f64::from(is_graceful),
        1.0,
    ));
}

/// Drains the last failure domain with a planned shift of each service, as the operators' command
/// does.
async fn drain_domain(deployment: &Deployment, report: &mut Report) -> deployment::Result<()> {
    let before = &deployment.configuration;
    let Some(domain) = before.inventory.domains.last().map(|d| d.id.clone()) else {
        return Ok(());
    };
    let mut next = before.clone();
    next.rules.drains.domains.push(domain.clone());
    let start_ms = runtime::Clock::wall_ms();
    for service in &before.inventory.services {
        let mut from = config::slot_shares(before, &service.id);
        let to = config::slot_shares(&next, &service.id);
        for id in to.keys() {
            from.entry(id.clone()).or_default();
        }
        let shift = Shift {
            from,
            to,
            start_ms,
            reason: ShiftReason::Planned,
        };
        next.rules.shifts.insert(service.id.clone(), shift);
    }
    let started = Instant::now();
    let domain_servers: Vec<_> = before
        .inventory
        .servers
        .iter()
        .filter(|s| s.domain == domain)
        .map(|s| s.id.clone())
        .collect();
    let server_monitor = ServerMonitor::start(
        &deployment.servers,
        |id| domain_servers.contains(id),
        started,
    );
    let share_monitor = ShareMonitor::start(deployment, started);
    let generation = deployment.apply(2, &next).await?;
    deployment.wait_generation(generation).await?;
    runtime::sleep(DOMAIN_PHASE_DURATION).await;
    let activity = server_monitor.stop().await;
    let samples = share_monitor.stop().await;
    report.add_figure(
        "domain_started_before_drain",
        activity.started_before as f64,
    );
    report.add_figure("domain_started_after_drain", activity.started_after as f64);
    report.add_figure("domain_last_arrival_ms", ms(activity.last_arrival));
    report.add_figure("domain_drain_time_ms", ms(activity.last_busy));
    report.add_figure("share_samples", samples.count() as f64);
    report.add_figure("own_share_at_start", samples.own_share_at_start(&domain));
    report.add_figure("own_share_at_end", samples.own_share_at_end(&domain));
    let per_window = CAP_PER_MINUTE * WINDOW.as_secs_f64() / 60.0;
    report.goals.push(Goal::at_most(
        "share_moved_in_10_s",
        samples.max_moved(WINDOW),
        per_window + WINDOW_TOLERANCE,
    ));
    report.goals.push(Goal::at_most(
        "domain_own_share_at_end",
        samples.own_share_at_end(&domain),
        0.001,
    ));
    let shift_ms = 60_000.0 / CAP_PER_MINUTE;
    report.goals.push(Goal::at_most(
        "domain_last_arrival_after_shift_ms",
        ms(activity.last_arrival) - shift_ms,
        MAX_LAST_ARRIVAL_MS,
    ));
    Ok(())
}

fn ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1e3
}
