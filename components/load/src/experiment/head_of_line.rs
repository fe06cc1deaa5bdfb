//! Experiment `head-of-line`: archive searches arrive at twice the rate that can be served, and
//! share the connections and the link of the entry VMs with orders.

use std::time::Duration;

use config::{Class, Rules};
use limits::queue::deferrable_slot_limit;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::simulation::run;
use crate::simulation::scenario::{Policy, Scenario, Service};
use crate::simulation::stats::Stats;

/// Index of the order service.
const ORDERS: usize = 0;
/// Index of the archive search service.
const ARCHIVE: usize = 1;
/// Factor on the service time and the response size of an archive search, compared to an order.
const ARCHIVE_FACTOR: u32 = 20;
/// Share of the link that orders use on average.
const ORDERS_LINK_SHARE: f64 = 0.6;

pub fn run(seed: u64) -> Report {
    let run = |policy, archive| run::run(scenario(seed, policy, archive));
    let baseline_alone = run(Policy::RoundRobin, false);
    let baseline = run(Policy::RoundRobin, true);
    let mechanism_alone = run(Policy::Steered, false);
    let mechanism = run(Policy::Steered, true);
    let mut report = Report::new("head-of-line", seed);
    for (name, stats) in [
        ("baseline-orders-alone", &baseline_alone),
        ("baseline-orders", &baseline),
        ("mechanism-orders-alone", &mechanism_alone),
        ("mechanism-orders", &mechanism),
    ] {
        report.add_group(name, &stats.group(ORDERS, |_| true));
    }
    report.add_group("baseline-archive", &baseline.group(ARCHIVE, |_| true));
    report.add_group("mechanism-archive", &mechanism.group(ARCHIVE, |_| true));
    report.add_comparison("orders_p99_ms", p99(&baseline), p99(&mechanism));
    let baseline_ratio = p99(&baseline) / p99(&baseline_alone);
    report.add_comparison(
        "orders_p99_to_alone",
        baseline_ratio,
        p99(&mechanism) / p99(&mechanism_alone),
    );
    let archive = mechanism.group(ARCHIVE, |_| true);
    report.add_figure("archive_answered_share", 1.0 - archive.refused_share());
    report.goals = vec![
        Goal::at_most(
            "orders-p99-to-alone",
            p99(&mechanism) / p99(&mechanism_alone),
            1.05,
        ),
        Goal::at_most("orders-refused", orders_refused(&mechanism), 0.0),
        // The other goals could be met by refusing all archive searches.
        Goal::at_least("archive-answered", 1.0 - archive.refused_share(), 0.3),
        Goal::at_most("requests-over-slots", mechanism.over_limit as f64, 0.0),
    ];
    report
}

fn p99(stats: &Stats) -> f64 {
    stats.group(ORDERS, |_| true).quantile_ms(0.99)
}

fn orders_refused(stats: &Stats) -> f64 {
    stats.group(ORDERS, |_| true).refused_share()
}

fn scenario(seed: u64, policy: Policy, archive: bool) -> Scenario {
    let mut orders = Service {
        class: Class::Binding,
        vms: vec![0, 1],
        servers: 12,
        slots: 3,
        mean_service_time: Duration::from_millis(20),
        response_bytes: 20_000,
        houses: Vec::new(),
    };
    let order_rate = orders.rate_for(0.7);
    orders.houses = equal_houses(10, order_rate);
    let mut archive_service = Service {
        class: Class::Deferrable,
        mean_service_time: orders.mean_service_time * ARCHIVE_FACTOR,
        response_bytes: orders.response_bytes * u64::from(ARCHIVE_FACTOR),
        ..orders.clone()
    };
    let vms = 2;
    let link = order_rate * orders.response_bytes as f64 / ORDERS_LINK_SHARE;
    // Archive searches are limited by the slots of deferrable work and by the bandwidth that orders
    // leave.
    let share = Rules::default().deferrable_slot_share;
    let slots = f64::from(deferrable_slot_limit(36, share))
        / archive_service.mean_seconds_with_stragglers();
    let link_left = link * (1.0 - ORDERS_LINK_SHARE) / archive_service.response_bytes as f64;
    let rate = 2.0 * slots.min(link_left);
    archive_service.houses = equal_houses(10, rate);
    let mut services = vec![orders];
    if archive {
        services.push(archive_service);
    }
    Scenario {
        seed,
        policy,
        vms,
        services,
        connections: 100,
        client_bytes_per_second: (link / vms as f64) as u64,
        ..Scenario::default()
    }
}
