//! Experiment `headroom`: the demand keeps 90% of all slots busy, and most of it comes from one
//! region.

use std::time::Duration;

use config::Class;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::simulation::run;
use crate::simulation::scenario::{Policy, Regions, Scenario, Service};
use crate::simulation::stats::{RequestStats, Stats};

/// Share of all slots that the demand keeps busy.
const UTILIZATION: f64 = 0.9;
/// Share of the demand that comes from each region.
const DEMAND_SHARES: [f64; 3] = [0.7, 0.15, 0.15];
/// Bandwidth from one region to another: 280 Mbit/s.
pub const LINK_BYTES_PER_SECOND: u64 = 35_000_000;
/// Upper bound of the backlog of a link: the bursts of the four entry VMs that share it.
pub const MAX_LINK_BACKLOG_MS: f64 = 10.0;

pub fn run(seed: u64) -> Report {
    let run = |policy| {
        run::run(Scenario {
            seed,
            policy,
            ..three_regions(UTILIZATION, DEMAND_SHARES, Class::Idempotent)
        })
    };
    let baseline = run(Policy::RoundRobin);
    let mechanism = run(Policy::Steered);
    let mut report = Report::new("headroom", seed);
    report.add_group("baseline", &all(&baseline));
    report.add_group("mechanism", &all(&mechanism));
    let failed = |stats: &Stats| {
        let group = all(stats);
        group.refused_share() + group.late as f64 / group.requests.max(1) as f64
    };
    report.add_comparison("refused_or_late", failed(&baseline), failed(&mechanism));
    report.add_comparison("p99_ms", p99(&baseline), p99(&mechanism));
    report.add_figure(
        "attempts_per_request",
        mechanism.attempts_per_request_of_all(),
    );
    report.add_figure("link_megabytes", mechanism.link_bytes as f64 / 1e6);
    report.goals = vec![
        Goal::at_most("requests-over-slots", mechanism.over_limit as f64, 0.0),
        Goal::at_most(
            "link-backlog-ms",
            link_backlog_ms(&mechanism),
            MAX_LINK_BACKLOG_MS,
        ),
        Goal::at_most("refused", all(&mechanism).refused_share(), 0.01),
    ];
    report
}

fn p99(stats: &Stats) -> f64 {
    all(stats).quantile_ms(0.99)
}

/// Returns the statistics of all requests of a run without phases.
pub fn all(stats: &Stats) -> RequestStats {
    stats.phase(0)
}

pub fn link_backlog_ms(stats: &Stats) -> f64 {
    stats.link_backlog.as_secs_f64() * 1e3
}

/// Returns a scenario of three regions with two domains each; each domain has two entry VMs and two
/// servers.
pub fn three_regions(utilization: f64, demand: [f64; 3], class: Class) -> Scenario {
    let domain = |d: usize| {
        let mut service = Service {
            vms: vec![2 * d, 2 * d + 1],
            class,
            servers: 2,
            slots: 3,
            mean_service_time: Duration::from_millis(50),
            response_bytes: 300_000,
            houses: Vec::new(),
        };
        // The demand of all six domains is divided among the regions, then between the two domains
        // of each region.
        let rate = service.rate_for(utilization) * 6.0 * demand[d / 2] / 2.0;
        service.houses = equal_houses(5, rate);
        service
    };
    Scenario {
        vms: 12,
        services: (0..6).map(domain).collect(),
        regions: Some(Regions {
            of_domain: vec![0, 0, 1, 1, 2, 2],
            domain_delay: Duration::from_millis(1),
            region_delay: Duration::from_millis(35),
            link_bytes_per_second: LINK_BYTES_PER_SECOND,
            loss: None,
        }),
        ..Scenario::default()
    }
}
