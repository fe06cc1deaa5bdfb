//! Experiment `slow-servers`: two of twelve servers become ten times slower without reporting it.

use std::time::Duration;

use config::Class;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::simulation::run;
use crate::simulation::scenario::{Policy, Scenario, Service, Slowdown};
use crate::simulation::stats::Stats;

pub fn run(seed: u64) -> Report {
    let run = |policy, slow| run::run(scenario(seed, policy, Class::Idempotent, slow));
    let binding = |policy, slow| run::run(scenario(seed, policy, Class::Binding, slow));
    let baseline_none_slowed = run(Policy::RoundRobin, false);
    let baseline = run(Policy::RoundRobin, true);
    let mechanism_none_slowed = run(Policy::Steered, false);
    let mechanism = run(Policy::Steered, true);
    let breaker = run(Policy::Breaker, true);
    let binding_none_slowed = binding(Policy::Steered, false);
    let binding_slowed = binding(Policy::Steered, true);
    let binding_breaker = binding(Policy::Breaker, true);
    let mut report = Report::new("slow-servers", seed);
    for (name, stats) in [
        ("baseline-none-slowed", &baseline_none_slowed),
        ("baseline", &baseline),
        ("mechanism-none-slowed", &mechanism_none_slowed),
        ("mechanism", &mechanism),
        ("breaker", &breaker),
        ("binding-none-slowed", &binding_none_slowed),
        ("binding", &binding_slowed),
        ("binding-breaker", &binding_breaker),
    ] {
        report.add_group(name, &stats.group(0, |_| true));
        report.lines.push(format!(
            "run={name} attempts_per_request={:.4} over_limit={} suspensions={}",
            stats.attempts_per_request(0),
            stats.over_limit,
            stats.suspended
        ));
    }
    report.add_comparison("p99_ms", p99(&baseline), p99(&mechanism));
    report.add_comparison("p99_ms_breaker", p99(&breaker), p99(&mechanism));
    // Binding requests are never hedged, so only the choice of server can help them.
    let binding_ratio = p99(&binding_slowed) / p99(&binding_none_slowed);
    report.add_figure("binding_p99_to_none_slowed", binding_ratio);
    report.goals = vec![
        Goal::at_most(
            "p99-to-none-slowed",
            p99(&mechanism) / p99(&mechanism_none_slowed),
            1.5,
        ),
        Goal::at_least("baseline-p99-to-p99", p99(&baseline) / p99(&mechanism), 3.0),
        Goal::at_most(
            "attempts-per-request",
            mechanism.attempts_per_request(0),
            1.05,
        ),
        Goal::at_most("requests-over-slots", mechanism.over_limit as f64, 0.0),
        Goal::at_most("refused", mechanism.group(0, |_| true).refused_share(), 0.0),
    ];
    report
}

fn p99(stats: &Stats) -> f64 {
    stats.group(0, |_| true).quantile_ms(0.99)
}

fn scenario(seed: u64, policy: Policy, class: Class, slow: bool) -> Scenario {
    let mut service = Service {
        class,
        vms: vec![0, 1],
        servers: 12,
        slots: 3,
        mean_service_time: Duration::from_millis(50),
        response_bytes: 0,
        houses: Vec::new(),
    };
    service.houses = equal_houses(10, service.rate_for(0.7));
    let slowdown = Slowdown {
        service: 0,
        servers: vec![3, 8],
        factor: 10.0,
        from: Duration::from_secs(10),
        until: Duration::from_hours(1),
    };
    Scenario {
        seed,
        policy,
        services: vec![service],
        slowdowns: if slow { vec![slowdown] } else { Vec::new() },
        ..Scenario::default()
    }
}
