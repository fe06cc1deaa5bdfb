//! Encoding of the heartbeats between the entry VMs of a failure domain.

use std::collections::BTreeMap;

use entry::messages::{HeartbeatMessage, members_hash};
use membership::HeartbeatWire;

fn vm_ids(all: &[&str]) -> Vec<Box<str>> {
    all.iter().map(|n| Box::from(*n)).collect()
}

/// Guards against fields that are swapped in the encoding, which has no field names.
#[test]
fn message_round_trips() {
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
        members_hash: members_hash(&vm_ids(&["donau-1-a", "donau-1-b"])),
        settled_generation: 6,
        service_free_slots: BTreeMap::from([("werkdienst".into(), 7)]),
    };
    let bytes = rmp_serde::to_vec_named(&message).expect("message must encode");
    let decoded: HeartbeatMessage = rmp_serde::from_slice(&bytes).expect("message must decode");
    assert_eq!(decoded, message);
}

/// Guards against equal hashes of different member sets: two VMs would compute their quotas from
/// different sets and both use the same slot.
#[test]
fn different_sets_have_different_hashes() {
    let sets = [
        vm_ids(&[]),
        vm_ids(&["a"]),
        vm_ids(&["a", "b"]),
        vm_ids(&["ab"]),
        vm_ids(&["a", "bc"]),
        vm_ids(&["ab", "c"]),
    ];
    for (i, a) in sets.iter().enumerate() {
        for b in &sets[i + 1..] {
            assert_ne!(members_hash(a), members_hash(b), "{a:?} {b:?}");
        }
    }
    assert_eq!(members_hash(&sets[2]), members_hash(&vm_ids(&["a", "b"])));
}
