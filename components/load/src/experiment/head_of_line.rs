//! Archive searches are offered at twice what they may use, and share the connections and the
//! link of the entry VMs with orders.

use std::time::Duration;

use config::{Class, Rules};
use limits::queue::deferrable_slot_limit;

use super::equal_houses;
use super::report::{Goal, Report};
use crate::model::run;
use crate::model::scenario::{Policy, Scenario, Service};
use crate::model::stats::Stats;

/// Index of the orders.
const ORDERS: usize = 0;
/// Index of the archive searches.
const ARCHIVE: usize = 1;
/// How much longer an archive search takes, and how much longer its response is.
const LONGER: u32 = 20;
/// Share of the link that orders use on average.
const LINK_SHARE: f64 = 0.6;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let run = |policy, archive| run::run(scenario(seed, policy, archive));
    let plain_alone = run(Policy::Plain, false);
    let plain = run(Policy::Plain, true);
    let alone = run(Policy::Steered, false);
    let steered = run(Policy::Steered, true);
    let mut report = Report::new("head-of-line", seed);
    for (name, stats) in [
        ("baseline-orders-alone", &plain_alone),
        ("baseline-orders", &plain),
        ("mechanism-orders-alone", &alone),
        ("mechanism-orders", &steered),
    ] {
        report.group(name, &stats.group(ORDERS, |_| true));
    }
    report.group("baseline-archive", &plain.group(ARCHIVE, |_| true));
    report.group("mechanism-archive", &steered.group(ARCHIVE, |_| true));
    report.compare("orders_p99_ms", p99(&plain), p99(&steered));
    let baseline = p99(&plain) / p99(&plain_alone);
    report.compare("orders_p99_to_alone", baseline, p99(&steered) / p99(&alone));
    let archive = steered.group(ARCHIVE, |_| true);
    report.figure("archive_answered_share", 1.0 - archive.refused_share());
    report.goals = vec![
        Goal::at_most("orders-p99-to-alone", p99(&steered) / p99(&alone), 1.05),
        Goal::at_most("orders-refused", orders_refused(&steered), 0.0),
        // Guards against a good figure that comes from no archive searches at all.
        Goal::at_least("archive-answered", 1.0 - archive.refused_share(), 0.3),
        Goal::at_most("requests-over-slots", steered.over_limit as f64, 0.0),
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
        mean: Duration::from_millis(20),
        bytes: 20_000,
        houses: Vec::new(),
    };
    let order_rate = orders.rate_for(0.7);
    orders.houses = equal_houses(10, order_rate);
    let mut searches = Service {
        class: Class::Deferrable,
        mean: orders.mean * LONGER,
        bytes: orders.bytes * u64::from(LONGER),
        ..orders.clone()
    };
    let vms = 2;
    let link = order_rate * orders.bytes as f64 / LINK_SHARE;
    // What archive searches may use: their slots, and what orders leave of the link.
    let share = Rules::default().deferrable_slot_share;
    let slots = f64::from(deferrable_slot_limit(36, share)) / searches.mean_with_stragglers();
    let unused = link * (1.0 - LINK_SHARE) / searches.bytes as f64;
    let rate = 2.0 * slots.min(unused);
    searches.houses = equal_houses(10, rate);
    let mut services = vec![orders];
    if archive {
        services.push(searches);
    }
    Scenario {
        seed,
        policy,
        vms,
        services,
        connections: 100,
        link: (link / vms as f64) as u64,
        ..Scenario::default()
    }
}
