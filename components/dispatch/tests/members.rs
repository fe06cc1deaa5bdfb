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

/// Guards against heartbeats between regions that grow with the square of the members: only a few
/// speak for their region, and all agree who.
#[test]
fn a_fixed_number_of_members_speaks_for_a_region() {
    let names: Vec<String> = (0..30).map(|i| format!("entry-{i}")).collect();
    let mut delegates = 0;
    for own in &names {
        let mut members = Members::new(member(own, State::Ready));
        for other in &names {
            members.heard(member(other, State::Ready), at(0));
        }
        delegates += usize::from(members.is_delegate(4, at(10)));
    }
    assert_eq!(delegates, 4);
}

/// Guards against members that stay unknown to some: their digests differ, whatever the order in
/// which they met.
#[test]
fn members_with_the_same_knowledge_have_the_same_digest() {
    let mut a = Members::new(member("a", State::Ready));
    let mut b = Members::new(member("b", State::Starting));
    assert_ne!(a.digest(), b.digest());
    a.heard(member("c", State::Ready), at(0));
    a.heard(member("b", State::Ready), at(1));
    b.heard(member("a", State::Leaving), at(2));
    assert_ne!(a.digest(), b.digest());
    b.heard(member("c", State::Ready), at(3));
    assert_eq!(a.digest(), b.digest());
}

/// Guards against entry VMs of a failure domain that disagree on who follows the store, and against
/// silent or leaving ones that are followed.
#[test]
fn a_failure_domain_agrees_on_its_order() {
    let names = ["a", "b", "c", "d"];
    let mut orders = Vec::new();
    for own in names {
        let mut members = Members::new(member(own, State::Ready));
        for other in names {
            members.heard(member(other, State::Ready), at(0));
        }
        members.heard(
            Member {
                domain: "south".into(),
                ..member("e", State::Ready)
            },
            at(0),
        );
        let order = members.domain_order(at(850), at(100));
        orders.push(order.iter().map(|m| m.id.clone()).collect::<Vec<_>>());
        members.heard(member("b", State::Leaving), at(800));
        let later = members.domain_order(at(850), at(1000));
        assert!(later.iter().all(|m| *m.id == *own), "{later:?}");
    }
    assert!(orders.iter().all(|o| *o == orders[0] && o.len() == 4));
}
