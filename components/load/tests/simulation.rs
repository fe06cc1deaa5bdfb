//! Simulation runs and the reports of the experiments.

use std::time::Duration;

use config::Class;
use load::experiment::{Goal, Report};
use load::simulation::run;
use load::simulation::scenario::{Policy, Scenario, Service};

fn scenario(policy: Policy, class: Class) -> Scenario {
    let mut service = Service {
        vms: vec![0, 1],
        class,
        servers: 4,
        slots: 3,
        mean_service_time: Duration::from_millis(50),
        response_bytes: 30_000,
        houses: Vec::new(),
    };
    service.houses = vec![("a".into(), service.rate_for(0.9))];
    Scenario {
        seed: 5,
        policy,
        services: vec![service],
        connections: 20,
        client_bytes_per_second: 10_000_000,
        warm_up: Duration::ZERO,
        arrivals_end: Duration::from_secs(20),
        ..Scenario::default()
    }
}

/// Guards against a simulation that loses or duplicates requests, which falsifies every figure,
/// against policies that are given different requests, and against attempts beyond a server's
/// slots.
#[test]
fn every_request_ends_once_under_every_policy() {
    for class in [Class::Binding, Class::Idempotent, Class::Deferrable] {
        let runs = [Policy::RoundRobin, Policy::Steered, Policy::Breaker]
            .map(|policy| run::run(scenario(policy, class)));
        let requests = runs.each_ref().map(|r| r.group(0, |_| true).requests);
        assert!(requests[0] > 3_000);
        assert_eq!(requests, [requests[0]; 3]);
        assert!(runs[1..].iter().all(|r| r.over_limit == 0));
        if class != Class::Idempotent {
            assert!(runs.iter().all(|r| r.attempts_per_request(0) <= 1.0));
        }
    }
}

/// Guards against figures that cannot be reproduced from the seed.
#[test]
fn same_seed_gives_same_figures() {
    let run = || run::run(scenario(Policy::Steered, Class::Idempotent));
    let (a, b) = (run(), run());
    assert_eq!(a.group(0, |_| true).latency, b.group(0, |_| true).latency);
    assert_eq!(a.attempts, b.attempts);
}

/// Guards against a verdict that ignores a missed bound or a NaN figure.
#[test]
fn missed_goals_are_named() {
    let mut report = Report::new("trial", 3);
    report.goals = vec![
        Goal::at_most("low-enough", 1.0, 1.0),
        Goal::at_most("too-high", 1.01, 1.0),
        Goal::at_least("too-low", 2.9, 3.0),
        Goal::at_most("no-number", f64::NAN, 1.0),
    ];
    let text = report.to_string();
    let verdict = "experiment=trial seed=3 verdict=missed goals=too-high,too-low,no-number";
    assert_eq!(text.lines().last(), Some(verdict));
    report.goals.truncate(1);
    assert!(report.to_string().ends_with("seed=3 verdict=met"));
}
