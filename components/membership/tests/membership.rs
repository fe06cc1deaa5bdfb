//! Heartbeats, incarnations, look-up candidates, generations, digests and slot split agreement.

use std::collections::BTreeMap;
use std::time::Duration;

use config::EntryVmId;
use membership::{
    Digest, DigestWire, Heartbeat, HeartbeatError, HeartbeatOutcome, HeartbeatWire, Liveness,
    Membership, MembershipSettings, ProcessState,
};

const VMS: [&str; 3] = ["a", "b", "c"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn membership(vms: &[&str]) -> Membership {
    let vms = vms.iter().map(|vm| EntryVmId::from(*vm));
    Membership::new(MembershipSettings::default(), "a".into(), 1, vms, ms(0))
}

fn heartbeat(vm: &str, incarnation: u64, uptime: u64, state: ProcessState) -> Heartbeat {
    Heartbeat {
        vm: vm.into(),
        incarnation,
        uptime: ms(uptime),
        state,
        generation: uptime,
        free_slots: 3,
        members: VMS.map(EntryVmId::from).into(),
        ages: [255, 0, 255].into(),
    }
}

/// Runs a round every 500 ms, so that the process does not count as paused.
fn run_rounds(m: &mut Membership, from: u64, to: u64) {
    let mut rng = fastrand::Rng::with_seed(1);
    for now in (from..=to).step_by(500) {
        m.peers_to_contact(ms(now), &mut rng);
    }
}

/// Guards against a late heartbeat that reinstates a replaced process, and against a new
/// incarnation that is never accepted.
#[test]
fn replaced_incarnations_are_rejected() {
    let mut m = membership(&VMS);
    run_rounds(&mut m, 0, 10_000);
    let ready = |incarnation, uptime| heartbeat("b", incarnation, uptime, ProcessState::Ready);
    assert_eq!(
        m.on_heartbeat(&ready(1, 5_000), ms(10_000)),
        HeartbeatOutcome::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(1, 5_000), ms(10_001)),
        HeartbeatOutcome::Stale
    );
    // Incarnation 2 was already running when the last heartbeat of incarnation 1 arrived, so it is
    // not its successor.
    assert_eq!(
        m.on_heartbeat(&ready(2, 500), ms(10_400)),
        HeartbeatOutcome::OldIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(3, 300), ms(10_400)),
        HeartbeatOutcome::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&ready(1, 9_000), ms(10_500)),
        HeartbeatOutcome::OldIncarnation
    );
    run_rounds(&mut m, 10_500, 20_000);
    assert_eq!(
        m.on_heartbeat(&ready(1, 18_000), ms(20_000)),
        HeartbeatOutcome::OldIncarnation
    );
    // Incarnation 3 counts as dead, so a process that started earlier is accepted, too.
    assert_eq!(
        m.on_heartbeat(&ready(2, 19_000), ms(20_000)),
        HeartbeatOutcome::NewIncarnation
    );
    assert_eq!(
        m.on_heartbeat(&heartbeat("x", 1, 1, ProcessState::Ready), ms(20_000)),
        HeartbeatOutcome::UnknownVm
    );
    assert_eq!(
        m.on_heartbeat(&heartbeat("a", 2, 1, ProcessState::Ready), ms(20_000)),
        HeartbeatOutcome::DuplicateVmId
    );
}

/// Guards against a leaving VM that becomes ready again through a late heartbeat or a stale VM
/// list, and against look-ups that name leaving, starting or suspected VMs while better ones exist.
#[test]
fn look_up_candidates_prefer_ready_vms() {
    let mut m = membership(&VMS);
    m.set_state(ProcessState::Ready);
    run_rounds(&mut m, 0, 1_000);
    m.on_heartbeat(&heartbeat("b", 1, 100, ProcessState::Leaving), ms(1_000));
    m.on_heartbeat(&heartbeat("b", 1, 200, ProcessState::Ready), ms(1_010));
    m.on_heartbeat(&heartbeat("c", 1, 100, ProcessState::Starting), ms(1_000));
    m.on_vm_list(VMS.map(EntryVmId::from), [], ms(1_010));
    assert_eq!(m.look_up_candidates(ms(1_010)), ["a".into()]);
    m.on_heartbeat(&heartbeat("c", 1, 200, ProcessState::Ready), ms(1_020));
    assert_eq!(m.look_up_candidates(ms(1_020)), ["a".into(), "c".into()]);
    m.on_vm_list(["a".into()], ["c".into()], ms(1_020));
    assert_eq!(m.look_up_candidates(ms(1_020)), ["a".into()]);
    m.set_state(ProcessState::Leaving);
    m.set_state(ProcessState::Ready);
    assert_eq!(m.state(), ProcessState::Leaving);
    assert_eq!(m.look_up_candidates(ms(1_020)), ["c".into()]);
    run_rounds(&mut m, 1_500, 3_000);
    assert_eq!(m.liveness_of("c", ms(2_520)), Some(Liveness::Suspected));
    assert_eq!(m.look_up_candidates(ms(2_520)), ["c".into()]);
    run_rounds(&mut m, 3_500, 6_500);
    assert_eq!(m.liveness_of("c", ms(6_020)), Some(Liveness::Dead));
    assert_eq!(m.look_up_candidates(ms(6_020)), ["a".into()]);
}

/// Guards against a rotation that skips peers, and against rounds that exceed the fan-out.
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

/// Guards against data lost in encoding a heartbeat, and against invalid heartbeats being accepted.
#[test]
fn wire_round_trip_and_validation() {
    let heartbeat = heartbeat("b", 7, 1_234, ProcessState::Leaving);
    let wire = HeartbeatWire::from(&heartbeat);
    assert_eq!(Heartbeat::try_from(wire.clone()).unwrap(), heartbeat);
    let error = |wire: HeartbeatWire| *Heartbeat::try_from(wire).unwrap_err().current_context();
    let state = HeartbeatWire {
        state: 3,
        ..wire.clone()
    };
    assert_eq!(error(state), HeartbeatError::UnknownState(3));
    let members = HeartbeatWire {
        members: vec!["x".into(); 129],
        ..wire.clone()
    };
    assert_eq!(error(members), HeartbeatError::TooManyMembers(129));
    assert_eq!(
        error(HeartbeatWire {
            vm: "".into(),
            ..wire
        }),
        HeartbeatError::InvalidVmId
    );
}

/// Guards against an old digest that replaces or outweighs a newer one, and against a newer
/// configuration generation that goes unnoticed.
#[test]
fn newest_digest_and_generation_are_kept() {
    let digest = |age, slots| Digest {
        domain: "d".into(),
        vm: "v".into(),
        generation: 9_999,
        free_slots: [("s".into(), slots)].into(),
        age: ms(age),
    };
    let settings = MembershipSettings::default();
    let mut m = membership(&VMS);
    m.on_heartbeat(&heartbeat("b", 1, 77, ProcessState::Ready), ms(0));
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
            run_rounds(m, now, now);
            m.announce_split();
        }
        a.on_heartbeat(&b.heartbeat(1, 0, ms(now)), ms(now));
        b.on_heartbeat(&a.heartbeat(1, 0, ms(now)), ms(now));
    }
}

/// Guards against a process that resumes after a pause and uses its old share, although the VM
/// list omitted it meanwhile and its peer took over the share.
#[test]
fn paused_vm_holds_no_share_until_confirmed() {
    let vms = ["a", "b"].map(EntryVmId::from);
    let mut a = membership(&["a", "b"]);
    let mut b = Membership::new(
        MembershipSettings::default(),
        "b".into(),
        1,
        vms.clone(),
        ms(0),
    );
    exchange(&mut a, &mut b, 0, 10_000);
    assert_eq!(
        a.held_member_sets(ms(10_000)).sets[..],
        [vms.clone().into()]
    );
    b.on_vm_list(["b".into()], [], ms(10_000));
    run_rounds(&mut b, 10_500, 16_000);
    b.announce_split();
    run_rounds(&mut b, 16_500, 20_000);
    assert_eq!(
        b.held_member_sets(ms(20_000)).sets[..],
        [["b".into()].into()]
    );
    assert!(a.held_member_sets(ms(20_000)).sets.is_empty());
    run_rounds(&mut a, 20_000, 20_000);
    a.announce_split();
    assert!(a.held_member_sets(ms(20_000)).sets.is_empty());
    exchange(&mut a, &mut b, 20_500, 21_500);
    assert!(!a.held_member_sets(ms(21_500)).sets.is_empty());
    assert_eq!(b.held_member_sets(ms(21_500)).sets.len(), 2);
}

/// Guards against a set that is released on the confirmation of a peer that has been silent since.
#[test]
fn stale_confirmation_does_not_settle() {
    let mut a = membership(&["a", "b"]);
    let b = |uptime| Heartbeat {
        members: ["a", "b"].map(EntryVmId::from).into(),
        ages: [255, 255].into(),
        ..heartbeat("b", 1, uptime, ProcessState::Ready)
    };
    // The configuration adds b. Until b has confirmed for the settle time, a also holds the set
    // without b.
    let mut a = {
        a.on_configuration(["a".into()], ms(0));
        run_rounds(&mut a, 0, 500);
        a.announce_split();
        run_rounds(&mut a, 1_000, 1_000);
        a
    };
    assert_eq!(
        a.held_member_sets(ms(1_000)).sets[..],
        [["a".into()].into()]
    );
    a.on_configuration(["a".into(), "b".into()], ms(1_000));
    a.announce_split();
    a.on_heartbeat(&b(1_000), ms(1_000));
    run_rounds(&mut a, 1_500, 20_000);
    assert_eq!(a.held_member_sets(ms(20_000)).sets.len(), 2);
    for now in (20_500..40_000).step_by(500) {
        run_rounds(&mut a, now, now);
        a.on_heartbeat(&b(now), ms(now));
    }
    let both = ["a", "b"].map(EntryVmId::from).into();
    assert_eq!(a.held_member_sets(ms(39_500)).sets[..], [both]);
}
