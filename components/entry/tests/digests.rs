//! Rate of digest requests between failure domains.

use std::time::Duration;

use entry::messages::{Rotation, dead_after, digest_period};

const TICK: Duration = Duration::from_secs(1);

/// Guards against too much control traffic with 14 domains, and against stale digests with up to 6.
#[test]
fn period_grows_with_the_number_of_domains() {
    assert_eq!(digest_period(0), Duration::from_secs(1));
    assert_eq!(digest_period(5), Duration::from_secs(1));
    assert_eq!(digest_period(13), Duration::from_secs(5));
    assert_eq!(dead_after(5), Duration::from_secs(5));
    assert_eq!(dead_after(13), Duration::from_secs(25));
}

/// Guards against domains that the rotation skips: they would count as dead.
#[test]
fn each_domain_is_due_at_least_once_per_period() {
    for others in 1..40 {
        let mut rotation = Rotation::default();
        let first: Vec<usize> = rotation.advance(others, TICK).collect();
        assert_eq!(first, (0..others).collect::<Vec<_>>());
        let mut last = vec![0u32; others];
        for tick in 1..200u32 {
            for i in rotation.advance(others, TICK) {
                last[i] = tick;
            }
            let oldest = last.iter().map(|t| tick - t).max().unwrap_or(0);
            // Allows one more tick, because a period need not be a whole number of ticks.
            let limit = digest_period(others) + TICK;
            assert!(TICK * oldest <= limit, "{others} domains, tick {tick}");
        }
    }
}

/// Guards against more than one digest request per domain and period.
#[test]
fn rate_is_one_digest_per_domain_and_period() {
    let mut rotation = Rotation::default();
    rotation.advance(13, TICK).for_each(drop);
    let due: usize = (0..500).map(|_| rotation.advance(13, TICK).count()).sum();
    assert!((1_299..=1_300).contains(&due), "{due}");
}

/// Guards against a division by zero without other domains, and against a delay before the first
/// digest of added domains.
#[test]
fn number_of_domains_can_change() {
    let mut rotation = Rotation::default();
    assert_eq!(rotation.advance(0, TICK).count(), 0);
    assert_eq!(rotation.advance(13, TICK).count(), 13);
    assert_eq!(rotation.advance(14, TICK).count(), 14);
    assert_eq!(rotation.advance(0, TICK).count(), 0);
}
