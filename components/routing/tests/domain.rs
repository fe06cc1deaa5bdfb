//! Steering between failure domains in a closed loop with delayed measurements.

use std::collections::VecDeque;
use std::time::Duration;

use config::{Drains, Rules, moved_share};
use proptest::prelude::*;
use routing::Shares;
use routing::domain::{DomainView, Load, Settings, State, Steering};
use routing::failover::{BaseShares, failover_target};

const SLOTS: f64 = 100.0;
const STEP: Duration = Duration::from_millis(500);

fn name(i: usize) -> Box<str> {
    format!("d{i}").into()
}

fn view(i: usize, free_slots: f64) -> DomainView {
    DomainView {
        id: name(i),
        region: format!("r{}", i / 2).into(),
        state: State::Serving,
        slots: SLOTS,
        free_slots,
        measured_at: Duration::ZERO,
        delay: Duration::from_millis(if i < 2 { 1 } else { 50 }),
        link_bytes_per_second: f64::INFINITY,
    }
}

fn single_domain(i: usize) -> Shares {
    Shares::from([(name(i), 1.0)])
}

fn load(slots: f64) -> Load {
    Load {
        slots,
        bytes_per_second: 0.0,
    }
}

/// Simulates domains that each steer their own demand by measurements that are `lag` steps old.
/// Returns, per step, the slots demanded in each domain and the fraction of work each retains.
fn simulate(
    lag: usize,
    steps: usize,
    demand: impl Fn(usize, usize) -> f64,
) -> Vec<(Vec<f64>, Vec<f64>)> {
    let n = 6;
    let mut nodes: Vec<_> = (0..n).map(|_| Steering::new(Settings::default())).collect();
    let mut history: VecDeque<(Duration, Vec<f64>)> = VecDeque::new();
    let mut out = Vec::new();
    for step in 0..steps {
        let now = STEP * step as u32;
        let mut demanded = vec![0.0; n];
        for (i, node) in nodes.iter().enumerate() {
            for (j, w) in demanded.iter_mut().enumerate() {
                let is_first_update = node.split().shares.is_empty() && i == j;
                let share = if is_first_update {
                    1.0
                } else {
                    node.split().share(&name(j))
                };
                *w += share * demand(i, step);
            }
        }
        history.push_back((now, demanded.clone()));
        if history.len() > lag + 1 {
            history.pop_front();
        }
        let (measured_at, observed) = &history[0];
        let views: Vec<_> = (0..n)
            .map(|i| DomainView {
                measured_at: *measured_at,
                ..view(i, (SLOTS - observed[i]).max(0.0))
            })
            .collect();
        for (i, node) in nodes.iter_mut().enumerate() {
            let region = views[i].region.clone();
            node.update(
                &single_domain(i),
                &region,
                &views,
                load(demand(i, step)),
                now,
            );
        }
        let retained = nodes
            .iter()
            .enumerate()
            .map(|(i, s)| s.retained_share(&name(i)))
            .collect();
        out.push((demanded, retained));
    }
    out
}

/// Counts the changes of direction in a series.
fn reversals(values: &[f64]) -> usize {
    let moves: Vec<f64> = values
        .windows(2)
        .map(|w| w[1] - w[0])
        .filter(|m| m.abs() > 1e-6)
        .collect();
    moves
        .windows(2)
        .filter(|w| (w[0] > 0.0) != (w[1] > 0.0))
        .count()
}

/// Guards against overload of a domain or of those that receive its work, and against oscillation,
/// when measurements are late.
#[test]
fn spills_before_overload_without_oscillation() {
    for lag in [0, 4, 10] {
        // In one domain of each of two regions, demand rises within a minute to 1.4 times the slots
        // and then stays constant for four minutes.
        let demand = |i: usize, step: usize| match i {
            0 | 2 => 60.0 + 80.0 * (step as f64 / 120.0).min(1.0),
            _ => 40.0,
        };
        let run = simulate(lag, 600, demand);
        for (step, (demanded, _)) in run.iter().enumerate() {
            for (i, w) in demanded.iter().enumerate() {
                assert!(
                    *w <= SLOTS,
                    "lag {lag} step {step} domain {i}: {w} of {SLOTS}"
                );
            }
        }
        let retained: Vec<f64> = run.iter().map(|(_, k)| k[0]).collect();
        assert!(
            reversals(&retained[200..]) <= 1,
            "lag {lag}: {} reversals",
            reversals(&retained[200..])
        );
    }
}

/// Guards against work that returns to a domain faster than the return rate after an overload, or
/// that does not return completely.
#[test]
fn work_returns_at_limited_rate() {
    let demand = |i: usize, step: usize| if i == 0 && step < 200 { 140.0 } else { 40.0 };
    let run = simulate(4, 1_600, demand);
    let retained: Vec<f64> = run.iter().map(|(_, k)| k[0]).collect();
    assert!(retained[199] < 0.75, "retained {}", retained[199]);
    let rate = Settings::default().return_rate_per_minute;
    for minute in retained[200..].windows(120) {
        assert!(minute[119] - minute[0] <= rate + 1e-9);
    }
    assert!(
        (retained[1_599] - 1.0).abs() < 1e-9,
        "retained {}",
        retained[1_599]
    );
}

/// Guards against work for drained or dead domains, and against work that moves to another region
/// while a domain of the same region has free slots.
#[test]
fn drained_and_dead_domains_get_no_work() {
    let drains = Drains {
        regions: vec!["r0".into()],
        ..Drains::default()
    };
    assert_eq!(State::of("d1", "r0", &drains, true), State::Drained);
    assert_eq!(State::of("d2", "r1", &drains, true), State::Serving);
    assert_eq!(State::of("d2", "r1", &drains, false), State::Dead);
    let mut views: Vec<_> = (0..6).map(|i| view(i, 80.0)).collect();
    views[0].state = State::Drained;
    let mut s = Steering::new(Settings::default());
    let split = s.update(
        &single_domain(0),
        &"r0".into(),
        &views,
        load(30.0),
        Duration::ZERO,
    );
    assert!(split.shares.iter().all(|(d, _)| *d != name(0)));
    assert!((split.share(&name(1)) - 1.0).abs() < 1e-9, "{split:?}");
    views[1].state = State::Drained;
    let split = s.update(
        &single_domain(0),
        &"r0".into(),
        &views,
        load(30.0),
        Duration::ZERO,
    );
    assert!(
        split
            .shares
            .iter()
            .all(|(d, _)| *d != name(0) && *d != name(1))
    );
    assert!(split.refused < 1e-9, "{split:?}");
    for v in &mut views {
        v.state = State::Dead;
    }
    let split = s.update(
        &single_domain(0),
        &"r0".into(),
        &views,
        load(30.0),
        Duration::ZERO,
    );
    assert_eq!((split.shares.len(), split.pick(0.3, &[])), (0, None));
}

/// Guards against a split that requires more bytes per second than the link allows.
#[test]
fn split_respects_link_bandwidth() {
    let mut views: Vec<_> = (0..6).map(|i| view(i, 80.0)).collect();
    views[0].state = State::Drained;
    views[1].state = State::Drained;
    for v in &mut views[2..] {
        v.link_bytes_per_second = 200.0;
    }
    let mut s = Steering::new(Settings::default());
    let load = Load {
        slots: 30.0,
        bytes_per_second: 1_000.0,
    };
    let split = s.update(
        &single_domain(0),
        &"r0".into(),
        &views,
        load,
        Duration::ZERO,
    );
    let to_r1 = split.share(&name(2)) + split.share(&name(3));
    assert!(to_r1 <= 0.2 + 1e-9 && split.refused > 0.59, "{split:?}");
}

/// Guards against a failover that exceeds its cap or leaves work with the dead domain, and against
/// a return that exceeds the cap of planned shifts.
#[test]
fn failover_holds_both_caps() {
    let rules = Rules {
        failover_cap_per_minute: 0.6,
        ..Rules::default()
    };
    let mut views: Vec<_> = (0..4).map(|i| view(i, 80.0)).collect();
    let mut base_shares = BaseShares::new(single_domain(0), Duration::ZERO);
    let mut path = vec![base_shares.shares().clone()];
    for second in 1..=1_000u64 {
        views[0].state = if (100..400).contains(&second) {
            State::Dead
        } else {
            State::Serving
        };
        let now = Duration::from_secs(second);
        path.push(
            base_shares
                .advance(&single_domain(0), false, &views, &rules, now)
                .clone(),
        );
    }
    let moved = |from: usize| -> f64 {
        path[from..from + 61]
            .windows(2)
            .map(|w| moved_share(&w[0], &w[1]))
            .sum()
    };
    assert!((100..340).all(|s| moved(s) <= 0.6 + 1e-9));
    assert!((400..930).all(|s| moved(s) <= rules.shift_cap_per_minute + 1e-9));
    assert_eq!(
        path[390],
        single_domain(1),
        "the rest of the region takes the share"
    );
    assert_eq!(path[99], single_domain(0));
    assert!(path[1_000][&name(0)] > 0.9);
}

proptest! {
    /// Guards against shares that are lost, negative or assigned to a domain that does not serve.
    #[test]
    fn split_sums_to_one(
        weights in prop::collection::vec(0..10u8, 6),
        states in prop::collection::vec(0..3u8, 6),
        frees in prop::collection::vec(0.0..100.0f64, 6),
        slots in 0.0..300.0f64,
        point in 0.0..1.0f64,
    ) {
        let sum: f64 = weights.iter().map(|w| f64::from(*w)).sum();
        prop_assume!(sum > 0.0);
        let base: Shares =
            weights.iter().enumerate().map(|(i, w)| (name(i), f64::from(*w) / sum)).collect();
        let all_states = [State::Serving, State::Drained, State::Dead];
        let views: Vec<_> = (0..6)
            .map(|i| DomainView { state: all_states[usize::from(states[i])], ..view(i, frees[i]) })
            .collect();
        let mut s = Steering::new(Settings::default());
        for second in 0..5 {
            let now = Duration::from_secs(second);
            let split = s.update(&base, &"r0".into(), &views, load(slots), now).clone();
            let total = split.shares.iter().map(|(_, s)| s).sum::<f64>() + split.refused;
            prop_assert!((total - 1.0).abs() < 1e-6, "{split:?}");
            for (id, share) in &split.shares {
                let v = views.iter().find(|v| v.id == *id).unwrap();
                prop_assert!(v.state == State::Serving && *share > 0.0);
            }
            if let Some(first) = split.pick(point, &[]).cloned() {
                prop_assert_ne!(split.pick(point, std::slice::from_ref(&first)), Some(&first));
            }
        }
        let t = failover_target(&base, &views);
        prop_assert!((t.values().sum::<f64>() - 1.0).abs() < 1e-9);
    }
}
