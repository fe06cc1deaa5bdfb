//! Most of the demand comes from one region, and in all it keeps 90% of the slots busy.

use std::time::Duration;

use config::Class;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::model::run;
use crate::model::scenario::{Policy, Regions, Scenario, Service};
use crate::model::stats::{Group, Stats};

/// Share of all slots that the demand keeps busy.
const LOAD: f64 = 0.9;
/// Share of the demand of each region.
const DEMAND: [f64; 3] = [0.7, 0.15, 0.15];
/// Bytes per second from one region to another: 280 Mbit/s.
pub const LINK: u64 = 35_000_000;
/// Largest backlog of a link: the bursts of the four entry VMs that share it.
pub const LINK_BACKLOG_MS: f64 = 10.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let run = |policy| {
        run::run(Scenario {
            seed,
            policy,
            ..three_regions(LOAD, DEMAND, Class::Idempotent)
        })
    };
    let plain = run(Policy::Plain);
    let steered = run(Policy::Steered);
    let mut report = Report::new("headroom", seed);
    report.group("baseline", &all(&plain));
    report.group("mechanism", &all(&steered));
    let failed = |stats: &Stats| {
        let group = all(stats);
        group.refused_share() + group.late as f64 / group.requests.max(1) as f64
    };
    report.compare("refused_or_late", failed(&plain), failed(&steered));
    report.compare("p99_ms", p99(&plain), p99(&steered));
    report.figure(
        "attempts_per_request",
        steered.attempts_per_request_of_all(),
    );
    report.figure("link_megabytes", steered.link_bytes as f64 / 1e6);
    report.goals = vec![
        Goal::at_most("requests-over-slots", steered.over_limit as f64, 0.0),
        Goal::at_most(
            "link-backlog-ms",
            link_backlog_ms(&steered),
            LINK_BACKLOG_MS,
        ),
        Goal::at_most("refused", all(&steered).refused_share(), 0.01),
    ];
    report
}

fn p99(stats: &Stats) -> f64 {
    all(stats).quantile_ms(0.99)
}

/// All requests after the warm-up.
pub fn all(stats: &Stats) -> Group {
    stats.phase(0)
}

/// Largest backlog of a link between regions.
pub fn link_backlog_ms(stats: &Stats) -> f64 {
    stats.link_backlog.as_secs_f64() * 1e3
}

/// Three regions with two domains each; each domain has two entry VMs and two servers.
pub fn three_regions(load: f64, demand: [f64; 3], class: Class) -> Scenario {
    let domain = |d: usize| {
        let mut service = Service {
            vms: vec![2 * d, 2 * d + 1],
            class,
            servers: 2,
            slots: 3,
            mean: Duration::from_millis(50),
            bytes: 300_000,
            houses: Vec::new(),
        };
        // The rate is for all six domains; each region's part comes from its two.
        let rate = service.rate_for(load) * 6.0 * demand[d / 2] / 2.0;
        service.houses = equal_houses(5, rate);
        service
    };
    Scenario {
        vms: 12,
        services: (0..6).map(domain).collect(),
        regions: Some(Regions {
            of: vec![0, 0, 1, 1, 2, 2],
            domain_delay: Duration::from_millis(1),
            region_delay: Duration::from_millis(35),
            link: LINK,
            loss: None,
        }),
        ..Scenario::default()
    }
}
