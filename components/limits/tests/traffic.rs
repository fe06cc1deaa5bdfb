//! Retry budget, backoff, hedging and pacing.

use std::time::Duration;

use config::Class;
use limits::budget::{Backoff, RetryBudget, RetryCounts, RetryReason};
use limits::hedge::{self, HedgeDelay};
use limits::pacing::{CHUNK_BYTES, Lane, Pacer, PopResult, SHORT_BYTES, Settings};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a burst of retries after the start, when the bucket must be empty, or after a
/// period without retries.
#[test]
fn retries_stay_within_share_of_traffic() {
    let mut budget = RetryBudget::new(0.05);
    assert!(!budget.try_take_token(RetryReason::Timeout));
    for _ in 0..10_000 {
        budget.record_request();
    }
    let granted = (0..1_000)
        .filter(|_| budget.try_take_token(RetryReason::Closed))
        .count();
    assert!(granted <= 20, "{granted}");
    let denied = 1_000 - granted as u64;
    let granted = granted as u64;
    assert_eq!(
        budget.count(RetryReason::Closed),
        RetryCounts { granted, denied }
    );
    assert_eq!(budget.count(RetryReason::Timeout).denied, 1);
}

/// Guards against retries that start after the deadline, and against delays without jitter.
#[test]
fn backoff_grows_and_respects_deadline() {
    let backoff = Backoff::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let hour = Duration::from_hours(1);
    for attempt in 0..12 {
        let bound = ms(20 << attempt).min(ms(1_000));
        let delays: Vec<Duration> = (0..200)
            .filter_map(|_| backoff.delay(attempt, ms(0), hour, &mut rng))
            .collect();
        assert!(delays.iter().all(|d| *d <= bound));
        assert!(delays.iter().any(|d| *d < bound / 4) && delays.iter().any(|d| *d > bound / 2));
    }
    assert_eq!(backoff.delay(0, ms(5), ms(5), &mut rng), None);
}

/// Guards against a hedge of binding work, which would execute it twice.
#[test]
fn only_idempotent_work_is_hedged() {
    let mut hedge = HedgeDelay::new(hedge::Settings::default());
    assert_eq!(hedge.delay(Class::Idempotent, ms(0), ms(5_000)), None);
    for i in 0..1_000 {
        hedge.record(ms(i), ms(i % 100));
    }
    let delay = hedge.delay(Class::Idempotent, ms(1_000), ms(5_000));
    assert!(
        delay.is_some_and(|d| (ms(94)..=ms(98)).contains(&d)),
        "{delay:?}"
    );
    assert_eq!(hedge.delay(Class::Idempotent, ms(1_000), ms(1_050)), None);
    let mut budget = RetryBudget::new(1.0);
    budget.record_request();
    for class in [Class::Binding, Class::Deferrable] {
        assert_eq!(hedge.delay(class, ms(1_000), ms(5_000)), None);
        assert!(!HedgeDelay::try_take_token(class, &mut budget));
    }
    assert!(HedgeDelay::try_take_token(Class::Idempotent, &mut budget));
}

/// Guards against a delay that does not decrease when the latency does.
#[test]
fn hedge_delay_follows_recent_latency() {
    let mut hedge = HedgeDelay::new(hedge::Settings::default());
    for i in 0..1_000 {
        hedge.record(ms(i), ms(500));
    }
    for i in 0..2_000 {
        hedge.record(ms(6_000 + 6 * i), ms(10));
    }
    let delay = hedge.delay(Class::Idempotent, ms(18_000), ms(60_000));
    assert!(delay.is_some_and(|d| d <= ms(11)), "{delay:?}");
}

fn new_pacer(rate: u64) -> Pacer<(Lane, u64)> {
    let settings = Settings {
        bytes_per_second: rate,
        ..Settings::default()
    };
    Pacer::new(settings, Duration::ZERO)
}

/// Sends chunks until `end`; returns the time and item of each.
fn send_all(pacer: &mut Pacer<(Lane, u64)>, end: Duration) -> Vec<(Duration, (Lane, u64))> {
    let mut now = Duration::ZERO;
    let mut sent = Vec::new();
    while now < end {
        match pacer.pop(now) {
            PopResult::Send(item) => sent.push((now, item)),
            PopResult::Wait(wait) => now += wait,
            PopResult::Idle => break,
        }
    }
    sent
}

/// Guards against a short response that waits for all chunks of a long one.
#[test]
fn short_responses_wait_for_at_most_one_chunk() {
    let mut pacer = new_pacer(1_000_000);
    for i in 0..100 {
        pacer.push(Lane::Long, CHUNK_BYTES, (Lane::Long, i));
    }
    let mut now = ms(0);
    for _ in 0..10 {
        match pacer.pop(now) {
            PopResult::Wait(wait) => now += wait,
            PopResult::Send(_) | PopResult::Idle => {}
        }
    }
    pacer.push(Lane::Binding, 500, (Lane::Binding, 0));
    let pushed = now;
    loop {
        match pacer.pop(now) {
            PopResult::Wait(wait) => now += wait,
            PopResult::Send((Lane::Binding, _)) => break,
            PopResult::Send(other) => panic!("{other:?} went first"),
            PopResult::Idle => panic!("nothing to send"),
        }
    }
    let chunk = Duration::from_secs_f64(CHUNK_BYTES as f64 / 1e6);
    assert!(
        now.saturating_sub(pushed) <= chunk + ms(1),
        "{:?}",
        now.saturating_sub(pushed)
    );
}

/// Guards against starvation of long responses by a steady load of short ones.
#[test]
fn long_responses_get_minimum_share() {
    let mut pacer = new_pacer(1_000_000);
    for i in 0..1_000 {
        pacer.push(Lane::Short, CHUNK_BYTES, (Lane::Short, i));
        pacer.push(Lane::Long, CHUNK_BYTES, (Lane::Long, i));
    }
    let sent = send_all(&mut pacer, Duration::from_secs(10));
    let long = sent.iter().filter(|(_, (lane, _))| *lane == Lane::Long);
    let share = long.count() as f64 / sent.len() as f64;
    assert!((0.03..0.06).contains(&share), "{share}");
}

/// Guards against a long idempotent response that keeps the priority of a short one throughout.
#[test]
fn lane_depends_on_class_and_length() {
    assert_eq!(Lane::of(Class::Binding, 10 * SHORT_BYTES), Lane::Binding);
    assert_eq!(Lane::of(Class::Idempotent, 0), Lane::Short);
    assert_eq!(Lane::of(Class::Idempotent, SHORT_BYTES), Lane::Long);
    assert_eq!(Lane::of(Class::Deferrable, 0), Lane::Long);
}

proptest! {
    /// Guards against more bytes in any interval than the rate allows.
    #[test]
    fn rate_is_never_exceeded(
        chunks in prop::collection::vec((0_usize..3, 1_u64..40_000), 1..200),
        rate in 10_000_u64..10_000_000,
    ) {
        let mut pacer = new_pacer(rate);
        for (lane, bytes) in chunks {
            let lane = [Lane::Binding, Lane::Short, Lane::Long][lane];
            pacer.push(lane, bytes, (lane, bytes));
        }
        let sent = send_all(&mut pacer, Duration::from_hours(1));
        prop_assert_eq!(pacer.waiting_bytes(), 0);
        for (i, (start, _)) in sent.iter().enumerate() {
            let mut bytes = 0;
            for (end, (_, b)) in &sent[i..] {
                let allowed = end.saturating_sub(*start).as_secs_f64() * rate as f64;
                // Beyond the rate, a burst and the overdraft by one chunk are allowed.
                prop_assert!(bytes as f64 <= allowed + CHUNK_BYTES as f64 + 40_000.0);
                bytes += *b;
            }
        }
    }
}
