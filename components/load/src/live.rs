//! Experiment `slow-servers-live`: slow servers behind whole entry VMs over real sockets.
//!
//! Checks the same goals as `slow-servers`, which simulates the decision code in virtual time. The
//! baseline sends the same requests to the servers in turn, without entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use config::{Class, Rules, ServerId};
use deployment::sample::{self, Shape};
use deployment::{Caller, CallerRequest, Credential, Deployment, Options, RequestOutcome};
use hdrhistogram::Histogram;

use crate::experiment::{Goal, Report};

pub const NAME: &str = "slow-servers-live";
/// Executor threads.
const THREADS: usize = 6;
/// Mean service time of a request that is not a straggler.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Share of requests that take 20 times as long.
const STRAGGLER_SHARE: f64 = 0.01;
/// Share of all slots that the load keeps busy, including stragglers.
const UTILIZATION: f64 = 0.7;
/// Number of servers of the service.
const SERVERS: usize = 12;
/// Slots per server.
const SLOTS: u32 = 3;
/// Number of servers that are slowed down.
const SLOWED_SERVERS: usize = 2;
/// Factor on the service time of slowed servers.
const SLOW_FACTOR: f64 = 10.0;
/// Deadline of a request; recorded as the latency of a request without a complete response.
const DEADLINE: Duration = Duration::from_secs(5);
/// Duration of a run, including the warm-up.
const RUN_DURATION: Duration = Duration::from_secs(20);
/// Requests sent in this first part of a run are left out of the latencies.
const WARM_UP: Duration = Duration::from_secs(5);

/// Where the load is sent.
#[derive(Clone)]
enum Target {
    /// To random entry VMs.
    EntryVms(Vec<SocketAddr>),
    /// Directly to the servers in turn.
    RoundRobin(Vec<SocketAddr>, Arc<AtomicUsize>),
}

/// Statistics of one run.
struct RunStats {
    latencies: Histogram<u64>,
    requests: u64,
    incomplete: u64,
}

pub fn run(seed: u64) -> Report {
    let mut report = Report::new(NAME, seed);
    if let Err(e) = runtime::block_on(THREADS, measure(seed, &mut report)) {
        report.lines.push(format!("error=\"{e:?}\""));
        report.goals.push(Goal::at_most("errors", 1.0, 0.0));
    }
    report
}

async fn measure(seed: u64, report: &mut Report) -> deployment::Result<()> {
    let shape = Shape {
        regions: 1,
        domains: 1,
        entry_vms: 2,
        servers: SERVERS,
        slots: SLOTS,
    };
    let options = Options {
        configuration: sample::configuration(shape, Rules::default()),
        service_time: SERVICE_TIME,
        straggler_probability: STRAGGLER_SHARE,
        seed,
        ..Options::default()
    };
    let deployment = Deployment::start(options).await?;
    let inventory = &deployment.configuration.inventory;
    let service = inventory
        .services
        .iter()
        .find(|s| s.class == Class::Idempotent);
    let service = service.map(|s| s.id.clone()).unwrap_or_default();
    let servers: Vec<_> = inventory
        .servers
        .iter()
        .filter(|s| s.service == service)
        .collect();
    let slowed: Vec<ServerId> = servers
        .iter()
        .take(SLOWED_SERVERS)
        .map(|s| s.id.clone())
        .collect();
    let direct = Target::RoundRobin(servers.iter().map(|s| s.address).collect(), Arc::default());
    let vms = Target::EntryVms(
        deployment
            .running()
            .iter()
            .map(|v| v.caller_address)
            .collect(),
    );
    let slow = |factor: f64| {
        for id in &slowed {
            deployment.servers[id].set_faults(|f| f.slow_factor = factor);
        }
    };
    let executions_started = || -> u64 {
        servers
            .iter()
            .map(|s| deployment.servers[&s.id].stats().started)
            .sum()
    };

    let none_slowed = run_load(&vms, &service, seed).await;
    add_run(report, "mechanism-none-slowed", &none_slowed);
    slow(SLOW_FACTOR);
    let before = executions_started();
    let mechanism = run_load(&vms, &service, seed + 1).await;
    add_run(report, "mechanism", &mechanism);
    let attempts = (executions_started() - before) as f64 / mechanism.requests as f64;
    let servers_past_slots: usize = deployment.servers_over_slot_limit().len();
    let baseline = run_load(&direct, &service, seed + 1).await;
    add_run(report, "baseline", &baseline);
    slow(1.0);

    let p99 = |f: &RunStats| f.latencies.value_at_quantile(0.99) as f64 / 1000.0;
    report.goals.push(Goal::at_most(
        "p99-to-none-slowed",
        p99(&mechanism) / p99(&none_slowed),
        1.5,
    ));
    report.goals.push(Goal::at_least(
        "baseline-p99-to-p99",
        p99(&baseline) / p99(&mechanism),
        3.0,
    ));
    report
        .goals
        .push(Goal::at_most("attempts-per-request", attempts, 1.05));
    report.goals.push(Goal::at_most(
        "servers-past-slots",
        servers_past_slots as f64,
        0.0,
    ));
    report.add_figure("not_whole", mechanism.incomplete as f64);
    let is_graceful = deployment.stop().await;
    report.add_figure("deployment_stopped_gracefully", f64::from(is_graceful));
    Ok(())
}

fn add_run(report: &mut Report, run: &str, f: &RunStats) {
    let ms = |q| f.latencies.value_at_quantile(q) as f64 / 1000.0;
    report.lines.push(format!(
        "run={run} requests={} not_whole={} p50_ms={:.2} p95_ms={:.2} p99_ms={:.2} p999_ms={:.2}",
        f.requests,
        f.incomplete,
        ms(0.5),
        ms(0.95),
        ms(0.99),
        ms(0.999)
    ));
}

/// Sends requests as a Poisson process, without waiting for the responses to earlier ones.
async fn run_load(target: &Target, service: &str, seed: u64) -> RunStats {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mean = SERVICE_TIME.as_secs_f64() * (1.0 + STRAGGLER_SHARE * 19.0);
    let rate = f64::from(SLOTS) * SERVERS as f64 * UTILIZATION / mean;
    let started = Instant::now();
    let mut next = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut i = 0;
    while next < RUN_DURATION {
        runtime::sleep(next.saturating_sub(started.elapsed())).await;
        let work = CallerRequest {
            service: service.into(),
            house: format!("house-{}", i % 10).into(),
            id: format!("live-{seed}-{i}").into(),
            binding: false,
            response_bytes: 1_000,
        };
        let address = match target {
            Target::EntryVms(vms) => vms[rng.usize(..vms.len())],
            Target::RoundRobin(servers, turn) => {
                servers[turn.fetch_add(1, Ordering::Relaxed) % servers.len()]
            }
        };
        let is_counted = next >= WARM_UP;
        tasks.push((is_counted, runtime::spawn(send(address, work))));
        next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        i += 1;
    }
    let mut stats = RunStats {
        latencies: histogram(),
        requests: 0,
        incomplete: 0,
    };
    for (is_counted, task) in tasks {
        let (answer, latency) = task.await;
        // The servers count attempts from the start of the run, so this count includes the
        // warm-up.
        stats.requests += 1;
        if !is_counted {
            continue;
        }
        let is_complete = answer == RequestOutcome::Complete;
        stats.incomplete += u64::from(!is_complete);
        let latency = if is_complete { latency } else { DEADLINE };
        stats
            .latencies
            .saturating_record(latency.as_micros() as u64);
    }
    stats
}

async fn send(address: SocketAddr, work: CallerRequest) -> (RequestOutcome, Duration) {
    let caller = Caller {
        entry_vms: vec![address],
        deadline: DEADLINE,
    };
    let started = Instant::now();
    let answer = caller.send(address, &work, Credential::None).await;
    (
        answer.unwrap_or(RequestOutcome::Unknown(0)),
        started.elapsed(),
    )
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
