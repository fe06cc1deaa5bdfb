//! Two of twelve servers become ten times slower, and nobody is told.

use std::time::Duration;

use config::Class;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::model::run;
use crate::model::scenario::{Policy, Scenario, Service, Slowdown};
use crate::model::stats::Stats;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let run = |policy, slow| run::run(scenario(seed, policy, Class::Idempotent, slow));
    let binding = |policy, slow| run::run(scenario(seed, policy, Class::Binding, slow));
    let plain_even = run(Policy::Plain, false);
    let plain = run(Policy::Plain, true);
    let even = run(Policy::Steered, false);
    let steered = run(Policy::Steered, true);
    let breaker = run(Policy::Breaker, true);
    let binding_even = binding(Policy::Steered, false);
    let binding_slow = binding(Policy::Steered, true);
    let binding_breaker = binding(Policy::Breaker, true);
    let mut report = Report::new("slow-servers", seed);
    for (name, stats) in [
        ("baseline-none-slowed", &plain_even),
        ("baseline", &plain),
        ("mechanism-none-slowed", &even),
        ("mechanism", &steered),
        ("breaker", &breaker),
        ("binding-none-slowed", &binding_even),
        ("binding", &binding_slow),
        ("binding-breaker", &binding_breaker),
    ] {
        report.group(name, &stats.group(0, |_| true));
        report.lines.push(format!(
            "run={name} attempts_per_request={:.4} over_limit={} suspensions={}",
            stats.attempts_per_request(0),
            stats.over_limit,
            stats.suspended
        ));
    }
    report.compare("p99_ms", p99(&plain), p99(&steered));
    report.compare("p99_ms_breaker", p99(&breaker), p99(&steered));
    // Binding work cannot be hedged, so only the choice of server helps it.
    let binding_ratio = p99(&binding_slow) / p99(&binding_even);
    report.figure("binding_p99_to_none_slowed", binding_ratio);
    report.goals = vec![
        Goal::at_most("p99-to-none-slowed", p99(&steered) / p99(&even), 1.5),
        Goal::at_least("baseline-p99-to-p99", p99(&plain) / p99(&steered), 3.0),
        Goal::at_most(
            "attempts-per-request",
            steered.attempts_per_request(0),
            1.05,
        ),
        Goal::at_most("requests-over-slots", steered.over_limit as f64, 0.0),
        Goal::at_most("refused", steered.group(0, |_| true).refused_share(), 0.0),
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
        mean: Duration::from_millis(50),
        bytes: 0,
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
