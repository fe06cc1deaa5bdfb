//! Load on services of all classes at constant rates, with the results per phase.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use config::{Class, ServiceId};
use deployment::{Caller, CallerRequest, Deployment, RequestOutcome};

use crate::experiment::{Goal, Report};

/// Deadline of a request.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Requests per second to each idempotent and each binding service.
const RATE: f64 = 20.0;
/// Requests per second to each deferrable service.
const DEFERRABLE_RATE: f64 = 8.0;
/// Latency above which a request counts as slow: ten times the mean service time of the slowest
/// class.
const SLOW_THRESHOLD: Duration = Duration::from_secs(4);
/// Number of houses that send requests.
const HOUSES: u32 = 5;

/// Phase of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No change to the deployment.
    Baseline,
    /// A server is drained.
    Server,
    /// An entry VM stops.
    EntryVm,
    /// A failure domain is drained.
    Domain,
}

const PHASES: [(Phase, &str); 4] = [
    (Phase::Baseline, "baseline"),
    (Phase::Server, "server"),
    (Phase::EntryVm, "entry-vm"),
    (Phase::Domain, "domain"),
];

/// A request with its response.
struct CompletedRequest {
    work: CallerRequest,
    class: Class,
    /// Phase in which the request was sent.
    phase: Phase,
    answer: RequestOutcome,
    latency: Duration,
}

/// A running load.
pub struct Load {
    phase: Arc<AtomicUsize>,
    stop: Sender<()>,
    tasks: Vec<Task<Vec<CompletedRequest>>>,
}

impl Load {
    /// Starts sending requests to all services of a deployment.
    pub fn start(deployment: &Deployment, seed: u64) -> Load {
        let phase = Arc::new(AtomicUsize::new(0));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let caller = Caller {
            entry_vms: deployment
                .running()
                .iter()
                .map(|v| v.caller_address)
                .collect(),
            deadline: DEADLINE,
        };
        let services = deployment.configuration.inventory.services.iter();
        let tasks = services.enumerate().map(|(i, service)| {
            let (id, class) = (service.id.clone(), service.class);
            let (phase, stopped, caller) = (phase.clone(), stopped.clone(), caller.clone());
            let mut rng = fastrand::Rng::with_seed(seed + i as u64);
            runtime::spawn(async move {
                let mut requests = Vec::new();
                let mut number = 0;
                while !stopped.is_closed() {
                    let rate = if class == Class::Deferrable {
                        DEFERRABLE_RATE
                    } else {
                        RATE
                    };
                    let pause = -rng.f64().max(1e-9).ln() / rate;
                    runtime::sleep(Duration::from_secs_f64(pause)).await;
                    let work = work(&id, class, number);
                    number += 1;
                    let current_phase = PHASES[phase.load(Ordering::Relaxed)].0;
                    let task = perform(caller.clone(), work, class, current_phase);
                    requests.push(runtime::spawn(task));
                }
                let mut completed = Vec::new();
                for request in requests {
                    completed.push(request.await);
                }
                completed
            })
        });
        Load {
            tasks: tasks.collect(),
            phase,
            stop,
        }
    }

    /// Sets the phase to which new requests are assigned.
    pub fn set_phase(&self, phase: Phase) {
        let index = PHASES.iter().position(|(p, _)| *p == phase);
        self.phase.store(index.unwrap_or(0), Ordering::Relaxed);
    }

    /// Stops sending requests and waits for all responses.
    pub async fn stop(self) -> LoadResult {
        drop(self.stop);
        let mut completed = Vec::new();
        for task in self.tasks {
            completed.extend(task.await);
        }
        LoadResult { completed }
    }
}

async fn perform(
    caller: Caller,
    work: CallerRequest,
    class: Class,
    phase: Phase,
) -> CompletedRequest {
    let started = Instant::now();
    let answer = Box::pin(caller.send_with_retries(&work)).await;
    CompletedRequest {
        work,
        class,
        phase,
        answer,
        latency: started.elapsed(),
    }
}

fn work(service: &ServiceId, class: Class, number: u32) -> CallerRequest {
    CallerRequest {
        service: service.clone(),
        house: format!("house-{}", number % HOUSES).into(),
        id: format!("{service}-{number}").into(),
        binding: class == Class::Binding,
        response_bytes: 2_000,
    }
}

/// All requests of a load.
pub struct LoadResult {
    completed: Vec<CompletedRequest>,
}

impl LoadResult {
    /// Adds the statistics of each phase and class, and the goals over all phases.
    pub fn report(&self, deployment: &Deployment, report: &mut Report) {
        for (phase, name) in PHASES {
            for class in [Class::Binding, Class::Idempotent, Class::Deferrable] {
                let matching = self.completed.iter();
                let matching: Vec<&CompletedRequest> = matching
                    .filter(|d| d.phase == phase && d.class == class)
                    .collect();
                report.lines.push(format_line(name, class, &matching));
            }
        }
        let count = |matches: fn(&RequestOutcome) -> bool| {
            self.completed.iter().filter(|d| matches(&d.answer)).count() as f64
        };
        let goals = [
            ("wrong_answers", count(|a| *a == RequestOutcome::Invalid)),
            (
                "unknown_outcomes",
                count(|a| matches!(a, RequestOutcome::Unknown(_))),
            ),
            ("refused", count(|a| matches!(a, RequestOutcome::NotRun(_)))),
            ("run_twice", self.run_twice(deployment)),
        ];
        for (name, value) in goals {
            report.goals.push(Goal::at_most(name, value, 0.0));
        }
    }

    /// Returns the number of binding requests that servers executed more than once.
    fn run_twice(&self, deployment: &Deployment) -> f64 {
        let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for server in deployment.servers.values() {
            for (id, n) in server.stats().executions {
                *runs.entry(id).or_default() += n;
            }
        }
        let binding = self.completed.iter().filter(|d| d.work.binding);
        let twice = binding.filter(|d| runs.get(&d.work.id).is_some_and(|n| *n > 1));
        twice.count() as f64
    }
}

fn format_line(phase: &str, class: Class, completed: &[&CompletedRequest]) -> String {
    let mut latencies: Vec<Duration> = completed.iter().map(|d| d.latency).collect();
    latencies.sort_unstable();
    let at = |q: f64| {
        let i = (latencies.len() as f64 * q) as usize;
        let t = latencies.get(i.min(latencies.len().saturating_sub(1)));
        t.map_or(0.0, |t| t.as_secs_f64() * 1e3)
    };
    let mut codes: BTreeMap<u16, u32> = BTreeMap::new();
    for d in completed {
        if let RequestOutcome::NotRun(code) | RequestOutcome::Unknown(code) = d.answer {
            *codes.entry(code).or_default() += 1;
        }
    }
    let whole = completed
        .iter()
        .filter(|d| d.answer == RequestOutcome::Complete)
        .count();
    let slow = latencies.iter().filter(|t| **t > SLOW_THRESHOLD).count();
    format!(
        "phase={phase} class={class:?} requests={} whole={whole} codes={codes:?} slow={slow} \
         p50_ms={:.1} p99_ms={:.1} max_ms={:.1}",
        completed.len(),
        at(0.5),
        at(0.99),
        at(1.0),
    )
}
