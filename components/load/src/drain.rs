//! Experiment `drain`: a server, an entry VM and a failure domain are drained under load.
//!
//! Unlike the other experiments this one runs whole entry VMs over real sockets, with stand-ins for
//! the platform and the backend servers. The first phase, without a drain, is the baseline.

mod load;
mod watch;

use std::time::{Duration, Instant};

use config::{Configuration, ServerId, Shift, ShiftReason, Source};
use deployment::{Deployment, Options};

use crate::experiment::{Goal, Report};
use load::{Load, Phase};
use watch::{ServerWatch, ShareWatch};

const INVENTORY: &str = include_str!("../../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../../examples/notensatz/rules.json");
/// Executor threads.
const THREADS: usize = 4;
/// Time of the baseline, and of the phase after the drain of the server.
const PHASE: Duration = Duration::from_secs(8);
/// Cap of planned shifts in this run, so that a domain is empty after a minute.
const CAP: f64 = 1.0;
/// Time for the drain of the domain: a minute for the shift, and some to see what arrives later.
const DOMAIN_PHASE: Duration = Duration::from_secs(68);
/// Goal for the time after which a drained server receives nothing.
const MAX_LAST_ARRIVAL_MS: f64 = 2_000.0;
/// Window over which the moved share is compared with the cap.
const WINDOW: Duration = Duration::from_secs(10);
/// Share that a window may exceed its part of the cap by: one round of the limiter and the age of
/// a sample.
const WINDOW_TOLERANCE: f64 = 0.03;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("drain", seed);
    if let Err(e) = runtime::block_on(THREADS, drain(seed, &mut report)) {
        report
            .lines
            .push(format!("error=\"{}\"", e.current_context()));
        report.goals.push(Goal::at_most("errors", 1.0, 0.0));
    }
    report
}

fn example() -> Configuration {
    let source = |name, text| Source { name, text };
    let (configuration, _) = config::read_configuration(
        source("examples/notensatz/inventory.json", INVENTORY),
        source("examples/notensatz/rules.json", RULES),
    );
    let mut configuration = configuration.unwrap_or_default();
    configuration.rules.shift_cap_per_minute = CAP;
    configuration
}

async fn drain(seed: u64, report: &mut Report) -> deployment::Result<()> {
    let options = Options {
        configuration: example(),
        service_time: Duration::from_millis(20),
        deferrable_factor: 20,
        seed,
        ..Options::default()
    };
    let mut deployment = Deployment::start(options).await?;
    let load = Load::start(&deployment, seed);

    runtime::sleep(PHASE).await;
    load.enter(Phase::Server);
    drain_server(&deployment, report).await?;

    load.enter(Phase::EntryVm);
    stop_entry_vm(&mut deployment, report).await;

    load.enter(Phase::Domain);
    drain_domain(&deployment, report).await?;

    let outcome = load.stop().await;
    outcome.report(&deployment, report);
    let is_graceful = deployment.stop().await;
    report.add_figure("deployment_stopped_gracefully", f64::from(is_graceful));
    Ok(())
}

/// Drains one server of each service by configuration, all in one failure domain.
async fn drain_server(deployment: &Deployment, report: &mut Report) -> deployment::Result<()> {
    let inventory = &deployment.configuration.inventory;
    let Some(domain) = inventory.domains.first() else {
        return Ok(());
    };
    let nth = |n: usize| -> Vec<ServerId> {
        let services = inventory.services.iter().filter_map(|service| {
            let servers = inventory.servers.iter();
            let mut own = servers.filter(|s| s.service == service.id && s.domain == domain.id);
            own.nth(n).map(|s| s.id.clone())
        });
        services.collect()
    };
    let (drained, others) = (nth(0), nth(1));
    let mut next = deployment.configuration.clone();
    next.rules.drains.servers.extend(drained.iter().cloned());
    let started = Instant::now();
    let watch = ServerWatch::start(&deployment.servers, |id| drained.contains(id), started);
    let other = ServerWatch::start(&deployment.servers, |id| others.contains(id), started);
    let generation = deployment.apply(1, &next).await?;
    let in_force = deployment.wait_generation(generation).await?;
    runtime::sleep(PHASE).await;
    let seen = watch.stop().await;
    let meanwhile = other.stop().await.started_after;
    report.add_figure("drained_servers", drained.len() as f64);
    report.add_figure("undrained_siblings_started_meanwhile", meanwhile as f64);
    report.add_figure("server_drain_in_force_ms", ms(in_force));
    report.add_figure("server_started_before_drain", seen.started_before as f64);
    report.add_figure("server_started_after_drain", seen.started_after as f64);
    report.add_figure("server_drain_time_ms", ms(seen.last_busy));
    report.goals.push(Goal::at_least(
        "server_had_work_before",
        seen.started_before as f64,
        1.0,
    ));
    report.goals.push(Goal::at_least(
        "undrained_siblings_had_work",
        meanwhile as f64,
        1.0,
    ));
    report.goals.push(Goal::at_most(
        "server_last_arrival_ms",
        ms(seen.last_arrival),
        MAX_LAST_ARRIVAL_MS,
    ));
    // A server is empty when the last request that it took is done.
    report.goals.push(Goal::at_most(
        "server_drain_time_beyond_longest_request_ms",
        ms(seen.last_busy) - ms(seen.last_arrival) - ms(load::DEADLINE),
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

/// Drains the last failure domain, with a planned shift for each service as the operators' command
/// makes them.
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
    let of_domain: Vec<_> = before
        .inventory
        .servers
        .iter()
        .filter(|s| s.domain == domain)
        .map(|s| s.id.clone())
        .collect();
    let servers = ServerWatch::start(&deployment.servers, |id| of_domain.contains(id), started);
    let shares = ShareWatch::start(deployment, started);
    let generation = deployment.apply(2, &next).await?;
    deployment.wait_generation(generation).await?;
    runtime::sleep(DOMAIN_PHASE).await;
    let seen = servers.stop().await;
    let moved = shares.stop().await;
    report.add_figure("domain_started_before_drain", seen.started_before as f64);
    report.add_figure("domain_started_after_drain", seen.started_after as f64);
    report.add_figure("domain_last_arrival_ms", ms(seen.last_arrival));
    report.add_figure("domain_drain_time_ms", ms(seen.last_busy));
    report.add_figure("share_samples", moved.samples() as f64);
    report.add_figure("own_share_at_start", moved.own_share_at_start(&domain));
    report.add_figure("own_share_at_end", moved.own_share_at_end(&domain));
    let per_window = CAP * WINDOW.as_secs_f64() / 60.0;
    report.goals.push(Goal::at_most(
        "share_moved_in_10_s",
        moved.most_moved(WINDOW),
        per_window + WINDOW_TOLERANCE,
    ));
    report.goals.push(Goal::at_most(
        "domain_own_share_at_end",
        moved.own_share_at_end(&domain),
        0.001,
    ));
    let shift_ms = 60_000.0 / CAP;
    report.goals.push(Goal::at_most(
        "domain_last_arrival_after_shift_ms",
        ms(seen.last_arrival) - shift_ms,
        MAX_LAST_ARRIVAL_MS,
    ));
    Ok(())
}

fn ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1e3
}
