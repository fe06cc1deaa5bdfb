//! Retry budget, backoff, hedging and pacing.

use std::time::Duration;

use config::Class;
use limits::budget::{Backoff, Budget, Count, Reason};
use limits::hedge::{self, Hedge};
use limits::pacing::{CHUNK_BYTES, Lane, Pacer, SHORT_BYTES, Settings, Step};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a burst of retries at the start or after an idle time.
#[test]
fn retries_stay_within_their_share_of_traffic() {
    let mut budget = Budget::new(0.05);
    assert!(!budget.take(Reason::Timeout));
    for _ in 0..10_000 {
        budget.record_request();
    }
    let granted = (0..1_000).filter(|_| budget.take(Reason::Closed)).count();
    assert!(granted <= 20, "{granted}");
    let denied = 1_000 - granted as u64;
    let granted = granted as u64;
    assert_eq!(budget.count(Reason::Closed), Count { granted, denied });
    assert_eq!(budget.count(Reason::Timeout).denied, 1);
}

/// Guards against retries that begin after the deadline, and against delays without jitter.
#[test]
fn backoff_grows_and_honours_the_deadline() {
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

/// Guards against a hedge of binding work, which would run it twice.
#[test]
fn only_idempotent_work_is_hedged() {
    let mut hedge = Hedge::new(hedge::Settings::default());
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
    let mut budget = Budget::new(1.0);
    budget.record_request();
    for class in [Class::Binding, Class::Deferrable] {
        assert_eq!(hedge.delay(class, ms(1_000), ms(5_000)), None);
        assert!(!Hedge::take(class, &mut budget));
    }
    assert!(Hedge::take(Class::Idempotent, &mut budget));
}

/// Guards against a delay that stays at the level of an earlier, slower time.
#[test]
fn the_hedge_delay_follows_recent_latency() {
    let mut hedge = Hedge::new(hedge::Settings::default());
    for i in 0..1_000 {
        hedge.record(ms(i), ms(500));
    }
    for i in 0..2_000 {
        hedge.record(ms(6_000 + 6 * i), ms(10));
    }
    let delay = hedge.delay(Class::Idempotent, ms(18_000), ms(60_000));
    assert!(delay.is_some_and(|d| d <= ms(11)), "{delay:?}");
}

fn pacer(rate: u64) -> Pacer<(Lane, u64)> {
    let settings = Settings {
        bytes_per_second: rate,
        ..Settings::default()
    };
    Pacer::new(settings, Duration::ZERO)
}

/// Sends until `end`; returns the time and item of each chunk.
fn send_all(pacer: &mut Pacer<(Lane, u64)>, end: Duration) -> Vec<(Duration, (Lane, u64))> {
    let mut now = Duration::ZERO;
    let mut sent = Vec::new();
    while now < end {
        match pacer.pop(now) {
            Step::Send(item) => sent.push((now, item)),
            Step::Wait(wait) => now += wait,
            Step::Idle => break,
        }
    }
    sent
}

/// Guards against a short response that waits behind a long one.
#[test]
fn short_responses_wait_for_at_most_one_chunk() {
    let mut p = pacer(1_000_000);
    for i in 0..100 {
        p.push(Lane::Long, CHUNK_BYTES, (Lane::Long, i));
    }
    let mut now = ms(0);
    for _ in 0..10 {
        match p.pop(now) {
            Step::Wait(wait) => now += wait,
            Step::Send(_) | Step::Idle => {}
        }
    }
    p.push(Lane::Binding, 500, (Lane::Binding, 0));
    let pushed = now;
    loop {
        match p.pop(now) {
            Step::Wait(wait) => now += wait,
            Step::Send((Lane::Binding, _)) => break,
            Step::Send(other) => panic!("{other:?} went first"),
            Step::Idle => panic!("nothing to send"),
        }
    }
    let chunk = Duration::from_secs_f64(CHUNK_BYTES as f64 / 1e6);
    assert!(
        now.saturating_sub(pushed) <= chunk + ms(1),
        "{:?}",
        now.saturating_sub(pushed)
    );
}

/// Guards against long responses that never end while short ones keep coming.
#[test]
fn long_responses_keep_their_share() {
    let mut p = pacer(1_000_000);
    for i in 0..1_000 {
        p.push(Lane::Short, CHUNK_BYTES, (Lane::Short, i));
        p.push(Lane::Long, CHUNK_BYTES, (Lane::Long, i));
    }
    let sent = send_all(&mut p, Duration::from_secs(10));
    let long = sent.iter().filter(|(_, (lane, _))| *lane == Lane::Long);
    let share = long.count() as f64 / sent.len() as f64;
    assert!((0.03..0.06).contains(&share), "{share}");
}

/// Guards against a long idempotent response that keeps the priority of a short one.
#[test]
fn lanes_follow_class_and_length() {
    assert_eq!(Lane::of(Class::Binding, 10 * SHORT_BYTES), Lane::Binding);
    assert_eq!(Lane::of(Class::Idempotent, 0), Lane::Short);
    assert_eq!(Lane::of(Class::Idempotent, SHORT_BYTES), Lane::Long);
    assert_eq!(Lane::of(Class::Deferrable, 0), Lane::Long);
}

proptest! {
    /// Guards against more bytes on the link than its share allows, over any interval.
    #[test]
    fn the_rate_is_never_passed(
        chunks in prop::collection::vec((0_usize..3, 1_u64..40_000), 1..200),
        rate in 10_000_u64..10_000_000,
    ) {
        let mut p = pacer(rate);
        for (lane, bytes) in chunks {
            let lane = [Lane::Binding, Lane::Short, Lane::Long][lane];
            p.push(lane, bytes, (lane, bytes));
        }
        let sent = send_all(&mut p, Duration::from_hours(1));
        prop_assert_eq!(p.waiting_bytes(), 0);
        for (i, (start, _)) in sent.iter().enumerate() {
            let mut bytes = 0;
            for (end, (_, b)) in &sent[i..] {
                let allowed = end.saturating_sub(*start).as_secs_f64() * rate as f64;
                // The burst, and the overdraft of one chunk.
                prop_assert!(bytes as f64 <= allowed + CHUNK_BYTES as f64 + 40_000.0);
                bytes += *b;
            }
        }
    }
}
