//! Cap of the shift limiter under arbitrary targets.

use std::time::Duration;

use config::moved_share;
use proptest::prelude::*;
use routing::Shares;
use routing::shift::ShiftLimiter;

const TOLERANCE: f64 = 1e-9;

fn shares(weights: &[u8]) -> Shares {
    let total: f64 = weights.iter().map(|w| f64::from(*w)).sum();
    let names = ["a", "b", "c", "d"];
    let one = |(n, w): (&&str, &u8)| (Box::from(*n), f64::from(*w) / total);
    names.iter().zip(weights).map(one).collect()
}

fn target() -> impl Strategy<Value = Shares> {
    let uneven = prop::collection::vec(0..=255u8, 4);
    let single = (0..4usize).prop_map(|i| {
        let mut w = vec![0; 4];
        w[i] = 1;
        w
    });
    prop_oneof![uneven, single]
        .prop_filter("all zero", |w| w.iter().any(|x| *x > 0))
        .prop_map(|w| shares(&w))
}

/// Calls of the limiter as (milliseconds since the last call, new target if it changes).
fn calls() -> impl Strategy<Value = Vec<(u64, Option<Shares>)>> {
    let gap = prop_oneof![0..50u64, 50..1_500u64, Just(90_000u64)];
    prop::collection::vec((gap, prop::option::weighted(0.1, target())), 1..300)
}

/// Returns the largest share moved within any minute, from a list of (time, share moved).
fn max_moved_per_minute(moves: &[(Duration, f64)]) -> f64 {
    let mut max_moved = 0.0f64;
    for (i, (start, _)) in moves.iter().enumerate() {
        let window = moves[i..]
            .iter()
            .take_while(|(t, _)| *t <= *start + Duration::from_mins(1));
        max_moved = max_moved.max(window.map(|(_, m)| m).sum());
    }
    max_moved
}

/// Runs a limiter through a list of calls and returns the shares after each.
fn run(cap: f64, calls: &[(u64, Option<Shares>)]) -> Vec<(Duration, Shares)> {
    let start = shares(&[1, 0, 0, 0]);
    let mut limiter = ShiftLimiter::new(start.clone(), Duration::ZERO);
    let (mut now, mut target) = (Duration::ZERO, start.clone());
    let mut out = vec![(now, start)];
    for (gap, change) in calls {
        now += Duration::from_millis(*gap);
        if let Some(t) = change {
            target.clone_from(t);
        }
        out.push((now, limiter.advance(&target, cap, now).clone()));
    }
    out
}

fn movements(path: &[(Duration, Shares)]) -> Vec<(Duration, f64)> {
    let step = |w: &[(Duration, Shares)]| (w[1].0, moved_share(&w[0].1, &w[1].1));
    path.windows(2).map(step).collect()
}

/// Returns the weighted sum of several nodes' shares at every time at which one of them changes.
fn weighted_sum(paths: &[Vec<(Duration, Shares)>], weights: &[f64]) -> Vec<(Duration, Shares)> {
    let mut times: Vec<_> = paths.iter().flatten().map(|(t, _)| *t).collect();
    times.sort_unstable();
    times.dedup();
    let at = |t: Duration| {
        let mut sum = Shares::new();
        for (path, weight) in paths.iter().zip(weights) {
            let (_, s) = &path[path.partition_point(|(u, _)| *u <= t) - 1];
            for (d, x) in s {
                *sum.entry(d.clone()).or_default() += x * weight;
            }
        }
        sum
    };
    times.into_iter().map(|t| (t, at(t))).collect()
}

proptest! {
    /// Guards against movement beyond the cap after a late configuration, a reversed target, a
    /// failover or a pause, on one node and in the sum of nodes that adopt targets at different
    /// times.
    #[test]
    fn moved_share_stays_within_cap(
        cap in 0.01..1.0f64,
        nodes in prop::collection::vec((calls(), 1..100u8), 1..4),
    ) {
        let paths: Vec<_> = nodes.iter().map(|(c, _)| run(cap, c)).collect();
        for path in &paths {
            let moved = max_moved_per_minute(&movements(path));
            prop_assert!(moved <= cap + TOLERANCE, "one node moved {moved}, cap {cap}");
            for (_, s) in path {
                prop_assert!((s.values().sum::<f64>() - 1.0).abs() < TOLERANCE);
                prop_assert!(s.values().all(|x| *x >= -TOLERANCE));
            }
        }
        let total: f64 = nodes.iter().map(|(_, w)| f64::from(*w)).sum();
        let weights: Vec<_> = nodes.iter().map(|(_, w)| f64::from(*w) / total).collect();
        let moved = max_moved_per_minute(&movements(&weighted_sum(&paths, &weights)));
        prop_assert!(moved <= cap + TOLERANCE, "all nodes moved {moved}, cap {cap}");
    }
}

/// Guards against a limiter that moves more slowly than the cap allows.
#[test]
fn reaches_target_at_cap() {
    let (from, to) = (shares(&[1, 0, 0, 0]), shares(&[0, 1, 0, 0]));
    let mut limiter = ShiftLimiter::new(from, Duration::ZERO);
    for ms in (0..=305_000).step_by(100) {
        limiter.advance(&to, 0.2, Duration::from_millis(ms));
    }
    assert_eq!(*limiter.shares(), to);
}
