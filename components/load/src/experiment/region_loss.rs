//! Experiment `region-loss`: one of three regions fails while 60% of all slots are busy.

use std::time::Duration;

use config::Class;

use super::headroom::{MAX_LINK_BACKLOG_MS, link_backlog_ms, three_regions};
use super::report::{Goal, Report};
use crate::simulation::run;
use crate::simulation::scenario::{Policy, Regions, Scenario};
use crate::simulation::stats::Stats;

/// Share of all slots that the demand keeps busy.
const UTILIZATION: f64 = 0.6;
const LOSS_TIME: Duration = Duration::from_secs(40);
/// Time after the loss at which the deployment must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Phase from the loss to the end of the recovery time.
const AFTER_LOSS: usize = 1;
/// Phase in which the recovery goals are checked.
const RECOVERED: usize = 2;
/// Phase of the steady state with two regions.
const STEADY: usize = 3;

pub fn run(seed: u64) -> Report {
    let run = |policy, class| run::run(scenario(seed, policy, class));
    let baseline = run(Policy::RoundRobin, Class::Idempotent);
    let mechanism = run(Policy::Steered, Class::Idempotent);
    let binding = run(Policy::Steered, Class::Binding);
    // Reference for the recovered phase: the same requests in a run that loses the region 30 s
    // earlier.
    let lost_early = |class| {
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
    let reference = lost_early(Class::Idempotent);
    let binding_reference = lost_early(Class::Binding);
    let mut report = Report::new("region-loss", seed);
    for (name, stats) in [
        ("baseline", &baseline),
        ("mechanism", &mechanism),
        ("mechanism-binding", &binding),
    ] {
        for (phase, at) in ["before", "loss", "5s-after", "20s-after"]
            .iter()
            .enumerate()
        {
            report.add_group(&format!("{name}-{at}"), &stats.phase(phase));
        }
    }
    for (name, measured, reference_run) in [
        ("p99_5s_after_to_lost_long_before", &mechanism, &reference),
        (
            "binding_p99_5s_after_to_lost_long_before",
            &binding,
            &binding_reference,
        ),
    ] {
        let ratio = p99(measured, RECOVERED) / p99(reference_run, RECOVERED);
        report.add_figure(name, ratio);
    }
    let unknown = |stats: &Stats| stats.groups.values().map(|g| g.unknown).sum::<u64>() as f64;
    report.add_figure("binding_outcome_unknown", unknown(&binding));
    report.add_figure("idempotent_outcome_unknown", unknown(&mechanism));
    report.add_comparison(
        "p99_ms_20s_after",
        p99(&baseline, STEADY),
        p99(&mechanism, STEADY),
    );
    let recovered = |stats: &Stats| p99(stats, RECOVERED) / p99(stats, STEADY);
    report.goals = vec![
        Goal::at_most(
            "refused-despite-free-slots",
            wrongly_refused(&mechanism),
            0.0,
        ),
        Goal::at_most(
            "binding-refused-despite-free-slots",
            wrongly_refused(&binding),
            0.0,
        ),
        Goal::at_most("binding-run-twice", binding.run_twice as f64, 0.0),
        Goal::at_most(
            "attempts-per-request",
            mechanism.attempts_per_request_of_all(),
            1.05,
        ),
        Goal::at_most("p99-5s-after-to-steady", recovered(&mechanism), 1.5),
        Goal::at_most("binding-p99-5s-after-to-steady", recovered(&binding), 1.5),
        Goal::at_most(
            "late-or-refused-5s-after",
            failed(&mechanism, RECOVERED),
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
            (mechanism.over_limit + binding.over_limit) as f64,
            0.0,
        ),
        Goal::at_most(
            "link-backlog-ms",
            link_backlog_ms(&mechanism),
            MAX_LINK_BACKLOG_MS,
        ),
        // Fails if the phases do not cover the loss.
        Goal::at_least(
            "requests-in-loss-phase",
            mechanism.phase(AFTER_LOSS).requests as f64,
            1.0,
        ),
    ];
    report
}

/// Returns the requests that were refused while a server outside the lost region had a free slot.
fn wrongly_refused(stats: &Stats) -> f64 {
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
    let base = three_regions(UTILIZATION, [1.0 / 3.0; 3], class);
    let regions = base.regions.clone().map(|r| Regions {
        loss: Some((0, LOSS_TIME)),
        ..r
    });
    Scenario {
        seed,
        policy,
        regions,
        phases: vec![
            LOSS_TIME,
            LOSS_TIME + RECOVERY_TIME,
            LOSS_TIME + RECOVERY_TIME + Duration::from_secs(15),
        ],
        ..base
    }
}
