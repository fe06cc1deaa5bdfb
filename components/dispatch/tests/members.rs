//! Member list and the selection of pool owners.

use std::time::Duration;

use dispatch::{Capacity, Member, MemberList, MemberState};

fn member(id: &str, state: MemberState) -> Member {
    Member {
        id: id.into(),
        incarnation: 1,
        domain: "north".into(),
        region: "donau".into(),
        callers: ([127, 0, 0, 1], 80).into(),
        peers: ([127, 0, 0, 1], 81).into(),
        state,
        platform_connected: true,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against two starting entry VMs that answer each other's heartbeats endlessly.
#[test]
fn repeated_heartbeat_is_not_a_change() {
    let mut members = MemberList::new(member("a", MemberState::Starting));
    assert!(members.record_heartbeat(member("b", MemberState::Starting), at(0)));
    assert!(!members.record_heartbeat(member("b", MemberState::Starting), at(1)));
    assert!(members.record_heartbeat(member("b", MemberState::Ready), at(2)));
    assert!(!members.record_heartbeat(member("b", MemberState::Ready), at(200)));
    assert!(members.record_heartbeat(member("b", MemberState::Ready), at(5000)));
}

/// Guards against two owners of a pool: all members choose the same one.
#[test]
fn members_agree_on_pool_owner() {
    let names = ["a", "b", "c", "d"];
    for service in ["orders", "proofs", "archive"] {
        let owners: Vec<Box<str>> = names
            .iter()
            .map(|own| {
                let mut members = MemberList::new(member(own, MemberState::Ready));
                for other in names {
                    members.record_heartbeat(member(other, MemberState::Ready), at(0));
                }
                let pool_owner = members.pool_owner(service, "donau", at(10));
                pool_owner.expect("an available member").id.clone()
            })
            .collect();
        assert!(owners.iter().all(|owner| *owner == owners[0]), "{owners:?}");
    }
}

/// Guards against several owners that each grant all slots of a region, and too many requests to its
/// cold servers (rule FAILBACK), while all of its members leave at once.
#[test]
fn leaving_members_agree_on_pool_owner() {
    let names = ["a", "b", "c"];
    let list = |own, state: MemberState| {
        let mut members = MemberList::new(member(own, state));
        for other in names {
            members.record_heartbeat(member(other, state), at(0));
        }
        members
    };
    let owner = |members: &MemberList| {
        let owner = members.pool_owner("orders", "donau", at(10));
        owner.map(|o| o.id.clone())
    };
    let owners = names.map(|own| owner(&list(own, MemberState::Leaving)));
    assert!(
        owners[0].is_some() && owners.iter().all(|o| *o == owners[0]),
        "{owners:?}"
    );
    assert_eq!(owner(&list("a", MemberState::Starting)), None);
    let mut members = list("a", MemberState::Leaving);
    members.record_heartbeat(member("d", MemberState::Ready), at(10));
    assert_eq!(owner(&members).as_deref(), Some("d"));
}

/// Guards against grants for servers that have left (rule DRAIN), by an owner that is cut off from
/// the platform's store.
#[test]
fn member_without_platform_updates_owns_no_pool() {
    let mut members = MemberList::new(member("a", MemberState::Ready));
    members.own.platform_connected = false;
    members.record_heartbeat(member("b", MemberState::Ready), at(0));
    for service in ["orders", "proofs", "archive", "catalogue"] {
        let pool_owner = members.pool_owner(service, "donau", at(10));
        assert_eq!(pool_owner.map(|owner| &*owner.id), Some("b"));
    }
}

/// Guards against lookups and pools that refer to a member that is leaving or has timed out.
#[test]
fn leaving_and_timed_out_members_are_unavailable() {
    let mut members = MemberList::new(member("a", MemberState::Ready));
    members.record_heartbeat(member("b", MemberState::Leaving), at(0));
    members.record_heartbeat(member("c", MemberState::Ready), at(0));
    assert_eq!(members.available(at(100)).len(), 2);
    assert_eq!(members.available(at(2000)).len(), 1);
}

/// Guards against a network partition that never heals because both sides have removed each other.
#[test]
fn members_are_kept_during_long_partition() {
    let mut members = MemberList::new(member("a", MemberState::Ready));
    members.record_heartbeat(member("b", MemberState::Ready), at(0));
    assert!(members.expire(at(120_000)).is_empty());
    assert!(members.is_long_silent("b", at(120_000)));
    assert!(members.get("b").is_some());
    members.record_heartbeat(member("b", MemberState::Ready), at(120_000));
    assert!(!members.is_long_silent("b", at(120_001)));
}

/// Guards against endless heartbeats to the addresses of killed members, including those known only
/// from the platform's list.
#[test]
fn silent_members_expire() {
    let mut members = MemberList::new(member("a", MemberState::Ready));
    members.add(member("b", MemberState::Starting), at(0));
    members.record_heartbeat(member("c", MemberState::Ready), at(0));
    let expired = members.expire(at(601_000));
    assert_eq!(expired.len(), 2);
    assert_eq!(members.others().count(), 0);
}

/// Guards against heartbeat traffic between regions that grows with the square of the number of
/// members: a fixed number of delegates represents each region, and all members agree on them.
#[test]
fn region_has_fixed_number_of_delegates() {
    let names: Vec<String> = (0..30).map(|i| format!("entry-{i}")).collect();
    let mut delegates = 0;
    for own in &names {
        let mut members = MemberList::new(member(own, MemberState::Ready));
        for other in &names {
            members.record_heartbeat(member(other, MemberState::Ready), at(0));
        }
        delegates += usize::from(members.is_delegate(4, at(10)));
    }
    assert_eq!(delegates, 4);
}

/// Guards against members that stay unknown to others: the digests of different member lists
/// differ, and those of equal lists do not depend on the order of heartbeats.
#[test]
fn equal_member_lists_have_equal_digests() {
    let mut a = MemberList::new(member("a", MemberState::Ready));
    let mut b = MemberList::new(member("b", MemberState::Starting));
    assert_ne!(a.digest(), b.digest());
    a.record_heartbeat(member("c", MemberState::Ready), at(0));
    a.record_heartbeat(member("b", MemberState::Ready), at(1));
    b.record_heartbeat(member("a", MemberState::Leaving), at(2));
    assert_ne!(a.digest(), b.digest());
    b.record_heartbeat(member("c", MemberState::Ready), at(3));
    assert_eq!(a.digest(), b.digest());
}

/// Guards against entry VMs of a failure domain that disagree on who reads from the store, and
/// against relying on one that has timed out or is leaving.
#[test]
fn members_agree_on_domain_ranking() {
    let names = ["a", "b", "c", "d"];
    let mut rankings = Vec::new();
    for own in names {
        let mut members = MemberList::new(member(own, MemberState::Ready));
        for other in names {
            members.record_heartbeat(member(other, MemberState::Ready), at(0));
        }
        members.record_heartbeat(
            Member {
                domain: "south".into(),
                ..member("e", MemberState::Ready)
            },
            at(0),
        );
        let ranking = members.ranked_domain_members(at(850), at(100));
        rankings.push(ranking.iter().map(|m| m.id.clone()).collect::<Vec<_>>());
        members.record_heartbeat(member("b", MemberState::Leaving), at(800));
        let later = members.ranked_domain_members(at(850), at(1000));
        assert!(later.iter().all(|m| *m.id == *own), "{later:?}");
    }
    assert!(rankings.iter().all(|r| *r == rankings[0] && r.len() == 4));
}

const SMALL: Capacity = Capacity {
    millicores: 100,
    link_mbps: 10,
};
const LARGE: Capacity = Capacity {
    millicores: 500,
    link_mbps: 200,
};

/// Member list of `m0` with 20 members, of which the last three are large.
fn members_of_two_sizes() -> MemberList {
    let mut members = MemberList::new(member("m0", MemberState::Ready));
    members.set_own_capacity(Some(SMALL));
    for i in 1..20 {
        let other = Member {
            incarnation: i,
            ..member(&format!("m{i}"), MemberState::Ready)
        };
        members.record_heartbeat(other, at(0));
        let capacity = if i < 17 { SMALL } else { LARGE };
        assert!(members.record_capacity(i, capacity));
    }
    members
}

fn owners(members: &MemberList, now: Duration) -> Vec<String> {
    (0..50)
        .map(|i| {
            let owner = members.pool_owner(&format!("service {i}"), "donau", now);
            owner.expect("an available member").id.to_string()
        })
        .collect()
}

/// Guards against pools of a region that are owned by entry VMs too small for them, which then apply
/// configurations late (issue 20).
#[test]
fn pools_are_owned_by_large_members() {
    let mut members = members_of_two_sizes();
    let large = ["m17", "m18", "m19"];
    let owned = owners(&members, at(10));
    for id in large {
        assert!(owned.iter().any(|o| o == id), "{id} owns no pool");
    }
    assert!(owned.iter().all(|o| large.contains(&&**o)), "{owned:?}");
    // The others take over when no large member is available, and heartbeats keep capacities.
    for i in 1..17 {
        let other = Member {
            incarnation: i,
            ..member(&format!("m{i}"), MemberState::Ready)
        };
        members.record_heartbeat(other, at(2000));
    }
    let owned = owners(&members, at(2100));
    assert!(owned.iter().all(|o| !large.contains(&&**o)), "{owned:?}");
}

/// Records a heartbeat of each known member.
fn record_heartbeats(members: &mut MemberList, now: Duration) {
    let others: Vec<Member> = members.others().cloned().collect();
    for other in others {
        members.record_heartbeat(other, now);
    }
}

/// Guards against pools that all change their owner when an entry VM joins or restarts, until its
/// capacity arrives, which a message of its own carries and a lossy link may delay.
#[test]
fn joining_member_changes_no_owner_before_its_capacity_is_known() {
    let mut members = members_of_two_sizes();
    let before = owners(&members, at(10));
    let joining = Member {
        incarnation: 99,
        ..member("joining", MemberState::Ready)
    };
    // The platform may list it long before its first heartbeat.
    members.add(joining, at(10));
    for now in [at(2000), at(2200)] {
        record_heartbeats(&mut members, now);
        assert_eq!(owners(&members, now), before);
    }
    assert!(members.record_capacity(99, LARGE));
    let after = owners(&members, at(2210));
    assert!(after.iter().any(|o| o == "joining"), "{after:?}");
    let moved = |(b, a): (&String, &String)| b == a || a == "joining";
    assert!(before.iter().zip(&after).all(moved), "{after:?}");
}

/// Guards against two owners of a pool while entry VMs of versions with and without capacities are
/// mixed.
#[test]
fn unknown_capacity_leaves_the_choice_to_the_hash() {
    let mut members = members_of_two_sizes();
    let old_version = Member {
        incarnation: 99,
        ..member("old", MemberState::Ready)
    };
    members.record_heartbeat(old_version.clone(), at(0));
    let mut without_capacities = MemberList::new(member("m0", MemberState::Ready));
    record_heartbeats(&mut members, at(1000));
    for other in members.others() {
        without_capacities.record_heartbeat(other.clone(), at(1000));
    }
    assert_eq!(
        owners(&members, at(1010)),
        owners(&without_capacities, at(1010))
    );
}
