//! Entry VMs and the keepers of pools.

use std::time::Duration;

use dispatch::{Member, Members, State};

fn member(id: &str, state: State) -> Member {
    Member {
        id: id.into(),
        incarnation: 1,
        domain: "north".into(),
        region: "donau".into(),
        callers: ([127, 0, 0, 1], 80).into(),
        peers: ([127, 0, 0, 1], 81).into(),
        state,
        informed: true,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against two entry VMs that answer each other's heartbeats without end while both start.
#[test]
fn a_repeated_heartbeat_is_no_change() {
    let mut members = Members::new(member("a", State::Starting));
    assert!(members.heard(member("b", State::Starting), at(0)));
    assert!(!members.heard(member("b", State::Starting), at(1)));
    assert!(members.heard(member("b", State::Ready), at(2)));
    assert!(!members.heard(member("b", State::Ready), at(200)));
    assert!(members.heard(member("b", State::Ready), at(5000)));
}

/// Guards against two keepers of a pool: all members choose the same one.
#[test]
fn all_members_choose_the_same_keeper() {
    let names = ["a", "b", "c", "d"];
    for service in ["orders", "proofs", "archive"] {
        let keepers: Vec<Box<str>> = names
            .iter()
            .map(|own| {
                let mut members = Members::new(member(own, State::Ready));
                for other in names {
                    members.heard(member(other, State::Ready), at(0));
                }
                let keeper = members.keeper(service, "donau", at(10));
                keeper.expect("a serving member").id.clone()
            })
            .collect();
        assert!(keepers.iter().all(|k| *k == keepers[0]), "{keepers:?}");
    }
}

/// Guards against DRAIN: on the bench, a keeper that was cut from the store went on granting
/// servers that had left.
#[test]
fn a_member_that_hears_nothing_from_the_platform_keeps_no_pool() {
    let mut members = Members::new(member("a", State::Ready));
    members.own.informed = false;
    members.heard(member("b", State::Ready), at(0));
    for service in ["orders", "proofs", "archive", "catalogue"] {
        let keeper = members.keeper(service, "donau", at(10));
        assert_eq!(keeper.map(|k| &*k.id), Some("b"));
    }
}

/// Guards against look-ups and pools that name a member that is leaving or silent.
#[test]
fn leaving_and_silent_members_are_not_used() {
    let mut members = Members::new(member("a", State::Ready));
    members.heard(member("b", State::Leaving), at(0));
    members.heard(member("c", State::Ready), at(0));
    assert_eq!(members.serving(at(100)).len(), 2);
    assert_eq!(members.serving(at(2000)).len(), 1);
}

/// Guards against a partition that stays after its cause is gone, because both sides have
/// forgotten each other.
#[test]
fn members_are_known_through_a_long_partition() {
    let mut members = Members::new(member("a", State::Ready));
    members.heard(member("b", State::Ready), at(0));
    assert!(members.expire(at(120_000)).is_empty());
    assert!(members.quiet("b", at(120_000)));
    assert!(members.get("b").is_some());
    members.heard(member("b", State::Ready), at(120_000));
    assert!(!members.quiet("b", at(120_001)));
}

/// Guards against heartbeats without end to addresses of members that were killed, also those that
/// were only listed by the platform.
#[test]
fn members_that_never_come_back_are_forgotten() {
    let mut members = Members::new(member("a", State::Ready));
    members.add(member("b", State::Starting), at(0));
    members.heard(member("c", State::Ready), at(0));
    let forgotten = members.expire(at(601_000));
    assert_eq!(forgotten.len(), 2);
    assert_eq!(members.others().count(), 0);
}
