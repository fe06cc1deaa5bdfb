//! Heartbeats as sent between the entry VMs of a failure domain.

use std::collections::BTreeMap;

use entry::messages::{HeartbeatMessage, members_hash};
use membership::HeartbeatWire;

fn names(all: &[&str]) -> Vec<Box<str>> {
    all.iter().map(|n| Box::from(*n)).collect()
}

/// Guards against fields that are mixed up in a message without field names.
#[test]
fn message_survives_encoding() {
    let message = HeartbeatMessage {
        heartbeat: HeartbeatWire {
            vm: "donau-1-a".into(),
            incarnation: u64::MAX - 1,
            uptime_ms: 2,
            state: 1,
            generation: 4,
            free_slots: 5,
            members: Vec::new(),
            ages: vec![8, 255],
        },
        counted: members_hash(&names(&["donau-1-a", "donau-1-b"])),
        settled: 6,
        free: BTreeMap::from([("werkdienst".into(), 7)]),
    };
    let bytes = rmp_serde::to_vec_named(&message).expect("plain data");
    let read: HeartbeatMessage = rmp_serde::from_slice(&bytes).expect("just encoded");
    assert_eq!(read, message);
}

/// Guards against two VMs that take different sets of members for the same one, and would both use
/// a slot.
#[test]
fn different_sets_have_different_hashes() {
    let sets = [
        names(&[]),
        names(&["a"]),
        names(&["a", "b"]),
        names(&["ab"]),
        names(&["a", "bc"]),
        names(&["ab", "c"]),
    ];
    for (i, a) in sets.iter().enumerate() {
        for b in &sets[i + 1..] {
            assert_ne!(members_hash(a), members_hash(b), "{a:?} {b:?}");
        }
    }
    assert_eq!(members_hash(&sets[2]), members_hash(&names(&["a", "b"])));
}
