//! Rate of digests among failure domains.

use std::time::Duration;

use entry::messages::{Rotation, dead_after, digest_period};

const TICK: Duration = Duration::from_secs(1);

/// Guards the control budget at 14 domains, and fresh digests in today's deployments.
#[test]
fn period_grows_with_the_number_of_domains() {
    assert_eq!(digest_period(0), Duration::from_secs(1));
    assert_eq!(digest_period(5), Duration::from_secs(1));
    assert_eq!(digest_period(13), Duration::from_secs(5));
    assert_eq!(dead_after(5), Duration::from_secs(5));
    assert_eq!(dead_after(13), Duration::from_secs(25));
}

/// Guards against domains that a rotation leaves out, which would count as dead.
#[test]
fn each_domain_is_asked_at_least_once_a_period() {
    for others in 1..40 {
        let mut rotation = Rotation::default();
        let first: Vec<usize> = rotation.take(others, TICK).collect();
        assert_eq!(first, (0..others).collect::<Vec<_>>());
        let mut last = vec![0u32; others];
        for tick in 1..200u32 {
            for i in rotation.take(others, TICK) {
                last[i] = tick;
            }
            let oldest = last.iter().map(|t| tick - t).max().unwrap_or(0);
            // One tick more, because a period need not be a whole number of ticks.
            let limit = digest_period(others) + TICK;
            assert!(TICK * oldest <= limit, "{others} domains, tick {tick}");
        }
    }
}

/// Guards the budget: no more digests than one per domain and period.
#[test]
fn rate_is_one_digest_per_domain_and_period() {
    let mut rotation = Rotation::default();
    rotation.take(13, TICK).for_each(drop);
    let asked: usize = (0..500).map(|_| rotation.take(13, TICK).count()).sum();
    assert!((1_299..=1_300).contains(&asked), "{asked}");
}

/// Guards against a configuration without other domains and against added domains that wait.
#[test]
fn number_of_domains_may_change() {
    let mut rotation = Rotation::default();
    assert_eq!(rotation.take(0, TICK).count(), 0);
    assert_eq!(rotation.take(13, TICK).count(), 13);
    assert_eq!(rotation.take(14, TICK).count(), 14);
    assert_eq!(rotation.take(0, TICK).count(), 0);
}
