//! One of three regions dies while 60% of all slots are busy.

use std::time::Duration;

use config::Class;

use super::headroom::{LINK_BACKLOG_MS, link_backlog_ms, three_regions};
use super::report::{Goal, Report};
use crate::model::run;
use crate::model::scenario::{Policy, Regions, Scenario};
use crate::model::stats::Stats;

/// Share of all slots that the demand keeps busy.
const LOAD: f64 = 0.6;
/// When the region dies.
const LOSS: Duration = Duration::from_secs(40);
/// Time to recover.
const RECOVERY: Duration = Duration::from_secs(5);

/// Phase while the loss has its effects.
const LOST: usize = 1;
/// Phase in which the recovery is judged.
const RECOVERED: usize = 2;
/// Phase of the new steady state.
const STEADY: usize = 3;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let run = |policy, class| run::run(scenario(seed, policy, class));
    let plain = run(Policy::Plain, Class::Idempotent);
    let steered = run(Policy::Steered, Class::Idempotent);
    let binding = run(Policy::Steered, Class::Binding);
    // The same requests with the region lost long before: what "recovered" looks like.
    let long_lost = |class| {
        let scenario = scenario(seed, Policy::Steered, class);
        let regions = scenario.regions.clone().map(|r| Regions {
            loss: Some((0, Duration::from_secs(10))),
            ..r
        });
        run::run(Scenario {
            regions,
            ..scenario
        })
    };
    let settled = long_lost(Class::Idempotent);
    let binding_settled = long_lost(Class::Binding);
    let mut report = Report::new("region-loss", seed);
    for (name, stats) in [
        ("baseline", &plain),
        ("mechanism", &steered),
        ("mechanism-binding", &binding),
    ] {
        for (phase, at) in ["before", "loss", "5s-after", "20s-after"]
            .iter()
            .enumerate()
        {
            report.group(&format!("{name}-{at}"), &stats.phase(phase));
        }
    }
    for (name, lost_now, lost_before) in [
        ("p99_5s_after_to_lost_long_before", &steered, &settled),
        (
            "binding_p99_5s_after_to_lost_long_before",
            &binding,
            &binding_settled,
        ),
    ] {
        let ratio = p99(lost_now, RECOVERED) / p99(lost_before, RECOVERED);
        report.figure(name, ratio);
    }
    let unknown = |stats: &Stats| stats.groups.values().map(|g| g.unknown).sum::<u64>() as f64;
    report.figure("binding_outcome_unknown", unknown(&binding));
    report.figure("idempotent_outcome_unknown", unknown(&steered));
    report.compare(
        "p99_ms_20s_after",
        p99(&plain, STEADY),
        p99(&steered, STEADY),
    );
    let recovered = |stats: &Stats| p99(stats, RECOVERED) / p99(stats, STEADY);
    report.goals = vec![
        Goal::at_most("refused-despite-free-slots", despite(&steered), 0.0),
        Goal::at_most("binding-refused-despite-free-slots", despite(&binding), 0.0),
        Goal::at_most("binding-run-twice", binding.ran_twice as f64, 0.0),
        Goal::at_most(
            "attempts-per-request",
            steered.attempts_per_request_of_all(),
            1.05,
        ),
        Goal::at_most("p99-5s-after-to-steady", recovered(&steered), 1.5),
        Goal::at_most("binding-p99-5s-after-to-steady", recovered(&binding), 1.5),
        Goal::at_most(
            "late-or-refused-5s-after",
            failed(&steered, RECOVERED),
            0.01,
        ),
        Goal::at_most(
            "binding-late-or-refused-5s-after",
            failed(&binding, RECOVERED),
            0.01,
        ),
        Goal::at_most("unknown-5s-after", unknown_in(&binding, RECOVERED), 0.0),
        Goal::at_most(
            "requests-over-slots",
            (steered.over_limit + binding.over_limit) as f64,
            0.0,
        ),
        Goal::at_most(
            "link-backlog-ms",
            link_backlog_ms(&steered),
            LINK_BACKLOG_MS,
        ),
        // The loss must have an effect that the phases can show.
        Goal::at_least(
            "requests-in-loss-phase",
            steered.phase(LOST).requests as f64,
            1.0,
        ),
    ];
    report
}

/// Refusals while a live server had a free slot.
fn despite(stats: &Stats) -> f64 {
    stats.refused_despite_slots as f64
}

fn p99(stats: &Stats, phase: usize) -> f64 {
    stats.phase(phase).quantile_ms(0.99)
}

fn failed(stats: &Stats, phase: usize) -> f64 {
    let group = stats.phase(phase);
    group.refused_share() + group.late as f64 / group.requests.max(1) as f64
}

fn unknown_in(stats: &Stats, phase: usize) -> f64 {
    stats.phase(phase).unknown as f64
}

fn scenario(seed: u64, policy: Policy, class: Class) -> Scenario {
    let base = three_regions(LOAD, [1.0 / 3.0; 3], class);
    let regions = base.regions.clone().map(|r| Regions {
        loss: Some((0, LOSS)),
        ..r
    });
    Scenario {
        seed,
        policy,
        regions,
        phases: vec![
            LOSS,
            LOSS + RECOVERY,
            LOSS + RECOVERY + Duration::from_secs(15),
        ],
        ..base
    }
}
