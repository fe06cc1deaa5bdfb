//! Rules on heartbeats, incarnations, look-ups, generations and digests.

use std::collections::BTreeMap;
use std::time::Duration;

use config::EntryVmId;
use membership::{
    Digest, DigestWire, Heard, Heartbeat, HeartbeatError, HeartbeatWire, Liveness, MemberSettings,
    Membership, VmState,
};

const VMS: [&str; 3] = ["a", "b", "c"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn membership(vms: &[&str]) -> Membership {
    let vms = vms.iter().map(|vm| EntryVmId::from(*vm));
    Membership::new(MemberSettings::default(), "a".into(), 1, vms, ms(0))
}

fn hb(vm: &str, incarnation: u64, uptime: u64, state: VmState) -> Heartbeat {
    Heartbeat {
        vm: vm.into(),
        incarnation,
        uptime: ms(uptime),
        state,
        generation: uptime,
        free_slots: 3,
        counted: VMS.map(EntryVmId::from).into(),
        ages: [255, 0, 255].into(),
    }
}

/// Runs rounds so that the process does not count as paused.
fn pass(m: &mut Membership, from: u64, to: u64) {
    let mut rng = fastrand::Rng::with_seed(1);
    for now in (from..=to).step_by(500) {
        m.peers_to_contact(ms(now), &mut rng);
    }
}

/// Guards against a replaced process that comes back through late heartbeats, and against a
/// successor that is never accepted.
#[test]
fn incarnations() {
    let mut m = membership(&VMS);
    pass(&mut m, 0, 10_000);
    let ready = |incarnation, uptime| hb("b", incarnation, uptime, VmState::Ready);
    assert_eq!(
        m.on_heartbeat(&ready(1, 5_000), ms(10_000)),
        Heard::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(1, 5_000), ms(10_001)),
        Heard::Repeated
    );
    // It was running before the known process was last heard, so it is not the successor.
    assert_eq!(
        m.on_heartbeat(&ready(2, 500), ms(10_400)),
        Heard::OldIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(3, 300), ms(10_400)),
        Heard::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(1, 9_000), ms(10_500)),
        Heard::OldIncarnation
    );
    pass(&mut m, 10_500, 20_000);
    assert_eq!(
        m.on_heartbeat(&ready(1, 18_000), ms(20_000)),
        Heard::OldIncarnation
    );
    // The known process is dead: its successor is accepted even if it started earlier.
    assert_eq!(
        m.on_heartbeat(&ready(2, 19_000), ms(20_000)),
        Heard::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&hb("x", 1, 1, VmState::Ready), ms(20_000)),
        Heard::UnknownVm
    );
    assert_eq!(
        m.on_heartbeat(&hb("a", 2, 1, VmState::Ready), ms(20_000)),
        Heard::OwnId
    );
}

/// Guards against a leaving VM that becomes ready again, by heartbeat or by VM list, and against
/// look-ups that name leaving, starting or suspected VMs while others are there.
#[test]
fn look_ups() {
    let mut m = membership(&VMS);
    m.set_state(VmState::Ready);
    pass(&mut m, 0, 1_000);
    m.on_heartbeat(&hb("b", 1, 100, VmState::Leaving), ms(1_000));
    m.on_heartbeat(&hb("b", 1, 200, VmState::Ready), ms(1_010));
    m.on_heartbeat(&hb("c", 1, 100, VmState::Starting), ms(1_000));
    m.on_vm_list(VMS.map(EntryVmId::from), [], ms(1_010));
    assert_eq!(m.look_up_candidates(ms(1_010)), ["a".into()]);
    m.on_heartbeat(&hb("c", 1, 200, VmState::Ready), ms(1_020));
    assert_eq!(m.look_up_candidates(ms(1_020)), ["a".into(), "c".into()]);
    m.on_vm_list(["a".into()], ["c".into()], ms(1_020));
    assert_eq!(m.look_up_candidates(ms(1_020)), ["a".into()]);
    m.set_state(VmState::Leaving);
    m.set_state(VmState::Ready);
    assert_eq!(m.state(), VmState::Leaving);
    assert_eq!(m.look_up_candidates(ms(1_020)), ["c".into()]);
    pass(&mut m, 1_500, 3_000);
    assert_eq!(m.state_of("c", ms(2_520)), Some(Liveness::Suspected));
    assert_eq!(m.look_up_candidates(ms(2_520)), ["c".into()]);
    pass(&mut m, 3_500, 6_500);
    assert_eq!(m.state_of("c", ms(6_020)), Some(Liveness::Dead));
    assert_eq!(m.look_up_candidates(ms(6_020)), ["a".into()]);
}

/// Guards against peers that are never contacted, and rounds beyond the fan-out.
#[test]
fn rotation_covers_all_peers() {
    let vms: Vec<String> = (0..44).map(|i| format!("vm-{i}")).collect();
    let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
    let mut m = membership(&vms);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut contacts = BTreeMap::new();
    for round in 0..66 {
        let peers = m.peers_to_contact(ms(500 * round), &mut rng);
        assert_eq!(peers.len(), 8);
        for peer in peers {
            *contacts.entry(peer).or_insert(0) += 1;
        }
    }
    assert!(
        contacts.len() == 44 && contacts.values().all(|n| *n == 12),
        "{contacts:?}"
    );
}

/// Guards against heartbeats that do not survive the wire, or invalid ones that are accepted.
#[test]
fn wire() {
    let heartbeat = hb("b", 7, 1_234, VmState::Leaving);
    let wire = HeartbeatWire::from(&heartbeat);
    assert_eq!(Heartbeat::try_from(wire.clone()).unwrap(), heartbeat);
    let error = |wire: HeartbeatWire| *Heartbeat::try_from(wire).unwrap_err().current_context();
    let state = HeartbeatWire {
        state: 3,
        ..wire.clone()
    };
    assert_eq!(error(state), HeartbeatError::State(3));
    let counted = HeartbeatWire {
        counted: vec!["x".into(); 129],
        ..wire.clone()
    };
    assert_eq!(error(counted), HeartbeatError::Counted(129));
    assert_eq!(
        error(HeartbeatWire {
            vm: "".into(),
            ..wire
        }),
        HeartbeatError::Name
    );
}

/// Guards against old digests that replace or outweigh young ones, and a missed generation.
#[test]
fn digests_and_generations() {
    let digest = |age, slots| Digest {
        domain: "d".into(),
        vm: "v".into(),
        generation: 9_999,
        free_slots: [("s".into(), slots)].into(),
        age: ms(age),
    };
    let settings = MemberSettings::default();
    let mut m = membership(&VMS);
    m.on_heartbeat(&hb("b", 1, 77, VmState::Ready), ms(0));
    assert_eq!(m.newest_generation(), Some((77, &"b".into())));
    assert!(
        m.digests
            .on_digest(Digest::from(DigestWire::from(&digest(0, 8))), ms(0))
    );
    assert_eq!(m.newest_generation(), Some((9_999, &"v".into())));
    assert!(!m.digests.on_digest(digest(5_000, 100), ms(3_000)));
    let free = |m: &Membership, now| m.digests.free_slots("d", "s", ms(now), &settings);
    assert!((free(&m, 3_000) - 4.0).abs() < 1e-9);
    assert!(m.digests.on_digest(digest(1_000, 100), ms(3_000)));
    assert!(free(&m, 3_000) > 70.0);
    assert!(free(&m, 17_000).abs() < 1e-9);
}

/// Exchanges heartbeats between two VMs in every round.
fn exchange(a: &mut Membership, b: &mut Membership, from: u64, to: u64) {
    for now in (from..=to).step_by(500) {
        for m in [&mut *a, &mut *b] {
            pass(m, now, now);
            m.announce_split();
        }
        a.on_heartbeat(&b.heartbeat(1, 0, ms(now)), ms(now));
        b.on_heartbeat(&a.heartbeat(1, 0, ms(now)), ms(now));
    }
}

/// Guards against a process that uses its old share right after a pause in which the VM list
/// omitted it and its peer took the share over.
#[test]
fn share_after_a_pause() {
    let vms = ["a", "b"].map(EntryVmId::from);
    let mut a = membership(&["a", "b"]);
    let mut b = Membership::new(MemberSettings::default(), "b".into(), 1, vms.clone(), ms(0));
    exchange(&mut a, &mut b, 0, 10_000);
    assert_eq!(a.split_members(ms(10_000)).sets[..], [vms.clone().into()]);
    b.on_vm_list(["b".into()], [], ms(10_000));
    pass(&mut b, 10_500, 16_000);
    b.announce_split();
    pass(&mut b, 16_500, 20_000);
    assert_eq!(b.split_members(ms(20_000)).sets[..], [["b".into()].into()]);
    assert!(a.split_members(ms(20_000)).sets.is_empty());
    pass(&mut a, 20_000, 20_000);
    a.announce_split();
    assert!(a.split_members(ms(20_000)).sets.is_empty());
    exchange(&mut a, &mut b, 20_500, 21_500);
    assert!(!a.split_members(ms(21_500)).sets.is_empty());
    assert_eq!(b.split_members(ms(21_500)).sets.len(), 2);
}

/// Guards against a set that is given up on the word of a peer that is silent since.
#[test]
fn stale_confirmation() {
    let mut a = membership(&["a", "b"]);
    let b = |uptime| Heartbeat {
        counted: ["a", "b"].map(EntryVmId::from).into(),
        ages: [255, 255].into(),
        ..hb("b", 1, uptime, VmState::Ready)
    };
    // The configuration adds b: a holds the set without it until b has confirmed for a while.
    let mut a = {
        a.on_configuration(["a".into()], ms(0));
        pass(&mut a, 0, 500);
        a.announce_split();
        pass(&mut a, 1_000, 1_000);
        a
    };
    assert_eq!(a.split_members(ms(1_000)).sets[..], [["a".into()].into()]);
    a.on_configuration(["a".into(), "b".into()], ms(1_000));
    a.announce_split();
    a.on_heartbeat(&b(1_000), ms(1_000));
    pass(&mut a, 1_500, 20_000);
    assert_eq!(a.split_members(ms(20_000)).sets.len(), 2);
    for now in (20_500..40_000).step_by(500) {
        pass(&mut a, now, now);
        a.on_heartbeat(&b(now), ms(now));
    }
    let both = ["a", "b"].map(EntryVmId::from).into();
    assert_eq!(a.split_members(ms(39_500)).sets[..], [both]);
}
