//! One house offers ten times its part.

use std::time::Duration;

use config::{Class, HouseId};

use super::equal_houses;
use super::report::{Goal, Report};
use crate::model::run;
use crate::model::scenario::{Policy, Scenario, Service};
use crate::model::stats::{Group, Stats};

/// Houses with equal parts.
const HOUSES: usize = 10;
/// Times its part that one house offers.
const FLOOD: f64 = 10.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let run = |policy, flood| run::run(scenario(seed, policy, flood));
    let plain_even = run(Policy::Plain, false);
    let plain = run(Policy::Plain, true);
    let even = run(Policy::Steered, false);
    let steered = run(Policy::Steered, true);
    let mut report = Report::new("fairness", seed);
    for (name, stats) in [
        ("baseline-others-without", &plain_even),
        ("baseline-others", &plain),
        ("mechanism-others-without", &even),
        ("mechanism-others", &steered),
    ] {
        report.group(name, &others(stats));
    }
    report.group("mechanism-flooding-house", &steered.group(0, is_flooding));
    report.compare("others_p99_ms", p99(&plain), p99(&steered));
    let baseline = p99(&plain) / p99(&plain_even);
    report.compare(
        "others_p99_to_without",
        baseline,
        p99(&steered) / p99(&even),
    );
    report.goals = vec![
        Goal::at_most("others-p99-to-without", p99(&steered) / p99(&even), 1.1),
        Goal::at_most("others-refused", others(&steered).refused_share(), 0.0),
        Goal::at_most("requests-over-slots", steered.over_limit as f64, 0.0),
    ];
    report
}

fn is_flooding(house: &HouseId) -> bool {
    &**house == "house-00"
}

fn others(stats: &Stats) -> Group {
    stats.group(0, |house| !is_flooding(house))
}

fn p99(stats: &Stats) -> f64 {
    others(stats).quantile_ms(0.99)
}

fn scenario(seed: u64, policy: Policy, flood: bool) -> Scenario {
    let mut service = Service {
        class: Class::Idempotent,
        vms: vec![0, 1],
        servers: 12,
        slots: 4,
        mean: Duration::from_millis(50),
        bytes: 0,
        houses: Vec::new(),
    };
    service.houses = equal_houses(HOUSES, service.rate_for(0.7));
    if flood {
        service.houses[0].1 *= FLOOD;
    }
    Scenario {
        seed,
        policy,
        services: vec![service],
        ..Scenario::default()
    }
}
