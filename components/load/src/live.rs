//! Experiment `slow-servers-live`: slowed servers behind whole entry VMs over real sockets.
//!
//! The same goals as `slow-servers`, which runs the decision code alone in virtual time. The
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

/// Name of the experiment.
pub const NAME: &str = "slow-servers-live";
/// Executor threads.
const THREADS: usize = 6;
/// Mean service time without stragglers.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Share of requests that take 20 times longer.
const STRAGGLERS: f64 = 0.01;
/// Part of all slots that the load keeps busy, stragglers included.
const LOAD: f64 = 0.7;
/// Servers of the service.
const SERVERS: usize = 12;
/// Slots per server.
const SLOTS: u32 = 3;
/// Servers that are slowed, and by how much.
const SLOWED: usize = 2;
const SLOW_FACTOR: f64 = 10.0;
/// Time for one request; a request without an answer counts with it.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time of one run, and its first part that is not counted.
const RUN: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(5);

/// How requests reach the servers.
#[derive(Clone)]
enum Way {
    /// Through the entry VMs.
    EntryVms(Vec<SocketAddr>),
    /// To the servers in turn.
    RoundRobin(Vec<SocketAddr>, Arc<AtomicUsize>),
}

/// Figures of one run.
struct Figures {
    latency: Histogram<u64>,
    requests: u64,
    not_whole: u64,
}

/// Runs the experiment.
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
        straggler_probability: STRAGGLERS,
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
    let own: Vec<_> = inventory
        .servers
        .iter()
        .filter(|s| s.service == service)
        .collect();
    let slowed: Vec<ServerId> = own.iter().take(SLOWED).map(|s| s.id.clone()).collect();
    let direct = Way::RoundRobin(own.iter().map(|s| s.address).collect(), Arc::default());
    let vms = Way::EntryVms(
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
    let started = || -> u64 {
        own.iter()
            .map(|s| deployment.servers[&s.id].executions().started)
            .sum()
    };

    let none = load(&vms, &service, seed).await;
    add(report, "mechanism-none-slowed", &none);
    slow(SLOW_FACTOR);
    let before = started();
    let mechanism = load(&vms, &service, seed + 1).await;
    add(report, "mechanism", &mechanism);
    let attempts = (started() - before) as f64 / mechanism.requests as f64;
    let over: usize = deployment.servers_over_slot_limit().len();
    let baseline = load(&direct, &service, seed + 1).await;
    add(report, "baseline", &baseline);
    slow(1.0);

    let p99 = |f: &Figures| f.latency.value_at_quantile(0.99) as f64 / 1000.0;
    report.goals.push(Goal::at_most(
        "p99-to-none-slowed",
        p99(&mechanism) / p99(&none),
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
    report
        .goals
        .push(Goal::at_most("servers-past-slots", over as f64, 0.0));
    report.figure("not_whole", mechanism.not_whole as f64);
    let is_graceful = deployment.stop().await;
    report.figure("deployment_stopped_gracefully", f64::from(is_graceful));
    Ok(())
}

fn add(report: &mut Report, run: &str, f: &Figures) {
    let ms = |q| f.latency.value_at_quantile(q) as f64 / 1000.0;
    report.lines.push(format!(
        "run={run} requests={} not_whole={} p50_ms={:.2} p95_ms={:.2} p99_ms={:.2} p999_ms={:.2}",
        f.requests,
        f.not_whole,
        ms(0.5),
        ms(0.95),
        ms(0.99),
        ms(0.999)
    ));
}

/// Sends requests at random times, whether earlier ones are answered or not.
async fn load(way: &Way, service: &str, seed: u64) -> Figures {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mean = SERVICE_TIME.as_secs_f64() * (1.0 + STRAGGLERS * 19.0);
    let rate = f64::from(SLOTS) * SERVERS as f64 * LOAD / mean;
    let started = Instant::now();
    let mut next = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut i = 0;
    while next < RUN {
        runtime::sleep(next.saturating_sub(started.elapsed())).await;
        let work = CallerRequest {
            service: service.into(),
            house: format!("house-{}", i % 10).into(),
            id: format!("live-{seed}-{i}").into(),
            binding: false,
            response_bytes: 1_000,
        };
        let address = match way {
            Way::EntryVms(vms) => vms[rng.usize(..vms.len())],
            Way::RoundRobin(servers, turn) => {
                servers[turn.fetch_add(1, Ordering::Relaxed) % servers.len()]
            }
        };
        let is_counted = next >= WARM_UP;
        tasks.push((is_counted, runtime::spawn(send(address, work))));
        next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        i += 1;
    }
    let mut figures = Figures {
        latency: histogram(),
        requests: 0,
        not_whole: 0,
    };
    for (is_counted, task) in tasks {
        let (answer, taken) = task.await;
        // Attempts are compared with all requests, so the warm-up counts there.
        figures.requests += 1;
        if !is_counted {
            continue;
        }
        let is_whole = answer == RequestOutcome::Complete;
        figures.not_whole += u64::from(!is_whole);
        let taken = if is_whole { taken } else { DEADLINE };
        figures.latency.saturating_record(taken.as_micros() as u64);
    }
    figures
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
