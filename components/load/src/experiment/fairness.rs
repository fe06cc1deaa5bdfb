//! Experiment `fairness`: one house sends ten times its equal share of the requests.

use std::time::Duration;

use config::{Class, HouseId};

use super::equal_houses;
use super::report::{Goal, Report};
use crate::simulation::run;
use crate::simulation::scenario::{Policy, Scenario, Service};
use crate::simulation::stats::{RequestStats, Stats};

/// Number of houses, which share the capacity equally.
const HOUSES: usize = 10;
/// Factor on the request rate of the flooding house.
const FLOOD_FACTOR: f64 = 10.0;

pub fn run(seed: u64) -> Report {
    let run = |policy, is_flooded| run::run(scenario(seed, policy, is_flooded));
    let baseline_without = run(Policy::RoundRobin, false);
    let baseline = run(Policy::RoundRobin, true);
    let mechanism_without = run(Policy::Steered, false);
    let mechanism = run(Policy::Steered, true);
    let mut report = Report::new("fairness", seed);
    for (name, stats) in [
        ("baseline-others-without", &baseline_without),
        ("baseline-others", &baseline),
        ("mechanism-others-without", &mechanism_without),
        ("mechanism-others", &mechanism),
    ] {
        report.add_group(name, &others(stats));
    }
    report.add_group("mechanism-flooding-house", &mechanism.group(0, is_flooding));
    report.add_comparison("others_p99_ms", p99(&baseline), p99(&mechanism));
    let baseline_ratio = p99(&baseline) / p99(&baseline_without);
    report.add_comparison(
        "others_p99_to_without",
        baseline_ratio,
        p99(&mechanism) / p99(&mechanism_without),
    );
    report.goals = vec![
        Goal::at_most(
            "others-p99-to-without",
            p99(&mechanism) / p99(&mechanism_without),
            1.1,
        ),
        Goal::at_most("others-refused", others(&mechanism).refused_share(), 0.0),
        Goal::at_most("requests-over-slots", mechanism.over_limit as f64, 0.0),
    ];
    report
}

fn is_flooding(house: &HouseId) -> bool {
    &**house == "house-00"
}

fn others(stats: &Stats) -> RequestStats {
    stats.group(0, |house| !is_flooding(house))
}

fn p99(stats: &Stats) -> f64 {
    others(stats).quantile_ms(0.99)
}

fn scenario(seed: u64, policy: Policy, is_flooded: bool) -> Scenario {
    let mut service = Service {
        class: Class::Idempotent,
        vms: vec![0, 1],
        servers: 12,
        slots: 4,
        mean_service_time: Duration::from_millis(50),
        response_bytes: 0,
        houses: Vec::new(),
    };
    service.houses = equal_houses(HOUSES, service.rate_for(0.7));
    if is_flooded {
        service.houses[0].1 *= FLOOD_FACTOR;
    }
    Scenario {
        seed,
        policy,
        services: vec![service],
        ..Scenario::default()
    }
}
