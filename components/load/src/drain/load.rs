//! Steady load of all classes, with what callers received per phase.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use config::{Class, ServiceId};
use deployment::{Caller, CallerRequest, Deployment, RequestOutcome};

use crate::experiment::{Goal, Report};

/// Time for one request.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Requests a second of each idempotent and each binding service.
const RATE: f64 = 20.0;
/// Requests a second of each deferrable service.
const DEFERRABLE_RATE: f64 = 8.0;
/// Time above which a request counts as slow: ten times the mean of the longest class.
const SLOW: Duration = Duration::from_secs(4);
/// Houses that call.
const HOUSES: u32 = 5;

/// What is being done to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing.
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

/// One finished request.
struct Done {
    work: CallerRequest,
    class: Class,
    /// Phase in which it began.
    phase: Phase,
    answer: RequestOutcome,
    taken: Duration,
}

/// A running load.
pub struct Load {
    phase: Arc<AtomicUsize>,
    stop: Sender<()>,
    tasks: Vec<Task<Vec<Done>>>,
}

impl Load {
    /// Starts the load on all services of a deployment.
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
                    let now = PHASES[phase.load(Ordering::Relaxed)].0;
                    let task = perform(caller.clone(), work, class, now);
                    requests.push(runtime::spawn(task));
                }
                let mut done = Vec::new();
                for request in requests {
                    done.push(request.await);
                }
                done
            })
        });
        Load {
            tasks: tasks.collect(),
            phase,
            stop,
        }
    }

    /// Notes that a phase has begun.
    pub fn enter(&self, phase: Phase) {
        let index = PHASES.iter().position(|(p, _)| *p == phase);
        self.phase.store(index.unwrap_or(0), Ordering::Relaxed);
    }

    /// Ends the load and waits for all answers.
    pub async fn stop(self) -> Outcome {
        drop(self.stop);
        let mut done = Vec::new();
        for task in self.tasks {
            done.extend(task.await);
        }
        Outcome { done }
    }
}

async fn perform(caller: Caller, work: CallerRequest, class: Class, phase: Phase) -> Done {
    let started = Instant::now();
    let answer = Box::pin(caller.send_with_retries(&work)).await;
    Done {
        work,
        class,
        phase,
        answer,
        taken: started.elapsed(),
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

/// All finished requests.
pub struct Outcome {
    done: Vec<Done>,
}

impl Outcome {
    /// Adds figures per phase and class, and the goals for all phases with a drain.
    pub fn report(&self, deployment: &Deployment, report: &mut Report) {
        for (phase, name) in PHASES {
            for class in [Class::Binding, Class::Idempotent, Class::Deferrable] {
                let of = self.done.iter();
                let of: Vec<&Done> = of
                    .filter(|d| d.phase == phase && d.class == class)
                    .collect();
                report.lines.push(line(name, class, &of));
            }
        }
        let count = |is: fn(&RequestOutcome) -> bool| {
            self.done.iter().filter(|d| is(&d.answer)).count() as f64
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

    /// Binding requests that the servers executed more than once.
    fn run_twice(&self, deployment: &Deployment) -> f64 {
        let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for server in deployment.servers.values() {
            for (id, n) in server.executions().executions {
                *runs.entry(id).or_default() += n;
            }
        }
        let binding = self.done.iter().filter(|d| d.work.binding);
        let twice = binding.filter(|d| runs.get(&d.work.id).is_some_and(|n| *n > 1));
        twice.count() as f64
    }
}

fn line(phase: &str, class: Class, done: &[&Done]) -> String {
    let mut taken: Vec<Duration> = done.iter().map(|d| d.taken).collect();
    taken.sort_unstable();
    let at = |q: f64| {
        let i = (taken.len() as f64 * q) as usize;
        let t = taken.get(i.min(taken.len().saturating_sub(1)));
        t.map_or(0.0, |t| t.as_secs_f64() * 1e3)
    };
    let mut codes: BTreeMap<u16, u32> = BTreeMap::new();
    for d in done {
        if let RequestOutcome::NotRun(code) | RequestOutcome::Unknown(code) = d.answer {
            *codes.entry(code).or_default() += 1;
        }
    }
    let whole = done
        .iter()
        .filter(|d| d.answer == RequestOutcome::Complete)
        .count();
    let slow = taken.iter().filter(|t| **t > SLOW).count();
    format!(
        "phase={phase} class={class:?} requests={} whole={whole} codes={codes:?} slow={slow} \
         p50_ms={:.1} p99_ms={:.1} max_ms={:.1}",
        done.len(),
        at(0.5),
        at(0.99),
        at(1.0),
    )
}
