//! Order of entry VMs in look-up answers and lifetime of the answers.

use std::collections::BTreeMap;

use proptest::prelude::*;
use routing::entry_vm::{EntryVmView, Settings, State, lifetime, order};

fn vm(i: usize, domain: usize, state: State, free_slots: u32) -> EntryVmView {
    EntryVmView {
        id: format!("vm{i}").into(),
        domain: format!("d{domain}").into(),
        region: format!("r{}", domain / 2).into(),
        state,
        free_slots,
    }
}

proptest! {
    /// Guards against answers that contain a leaving VM although others exist, that place a remote
    /// VM before a ready VM nearby, that repeat a VM or that are empty.
    #[test]
    fn order_follows_tiers(
        list in prop::collection::vec((0..6usize, 0..3u8, 0..20u32), 0..20),
        home in 0..6usize,
        seed in any::<u64>(),
    ) {
        let states = [State::Ready, State::Uncertain, State::Leaving];
        let vms: Vec<_> = list
            .iter()
            .enumerate()
            .map(|(i, (d, s, f))| vm(i, *d, states[usize::from(*s)], *f))
            .collect();
        let (domain, region) = (format!("d{home}").into(), format!("r{}", home / 2).into());
        let mut rng = fastrand::Rng::with_seed(seed);
        let got = order(&Settings::default(), &vms, &domain, &region, &mut rng);
        let find = |id: &str| vms.iter().find(|v| *v.id == *id).unwrap();
        let rank = |v: &EntryVmView| {
            (v.state != State::Ready, v.state == State::Leaving, v.domain != domain, v.region != region)
        };
        let chosen: Vec<_> = got.iter().map(|id| find(id)).collect();
        prop_assert!(chosen.windows(2).all(|w| rank(w[0]) <= rank(w[1]) && w[0].id != w[1].id));
        let other = vms.iter().any(|v| v.state != State::Leaving);
        if other {
            prop_assert!(chosen.iter().all(|v| v.state != State::Leaving));
        }
        let usable = vms.iter().filter(|v| !other || v.state != State::Leaving).count();
        prop_assert_eq!(got.len(), usable.min(4));
        let best = vms.iter().map(rank).min();
        prop_assert_eq!(chosen.first().map(|v| rank(v)), best);
    }
}

/// Guards against callers of one domain that all choose the same VM: the first VM must be drawn in
/// proportion to free slots, and a VM without free slots must still be named.
#[test]
fn first_vm_is_drawn_by_free_slots() {
    let vms: Vec<_> = [3, 3, 7, 0]
        .iter()
        .enumerate()
        .map(|(i, f)| vm(i, 0, State::Ready, *f))
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut first = BTreeMap::<Box<str>, f64>::new();
    for _ in 0..17_000 {
        let got = order(
            &Settings::default(),
            &vms,
            &"d0".into(),
            &"r0".into(),
            &mut rng,
        );
        *first.entry(got[0].clone()).or_default() += 1.0;
    }
    for (id, expected) in [
        ("vm0", 4_000.0),
        ("vm1", 4_000.0),
        ("vm2", 8_000.0),
        ("vm3", 1_000.0),
    ] {
        let got = first[id];
        assert!(
            (got - expected).abs() < 250.0,
            "{id}: {got}, expected {expected}"
        );
    }
}

/// Guards against answers that leave the caller without an address when a domain fails, and against
/// long lifetimes while VMs are leaving.
#[test]
fn answers_span_domains_and_limit_lifetime() {
    let s = Settings::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut vms: Vec<_> = (0..9)
        .map(|i| vm(i, i / 3 * 2 - i / 3, State::Ready, 3))
        .collect();
    let got = order(&s, &vms, &"d0".into(), &"r0".into(), &mut rng);
    let domains: Vec<_> = got
        .iter()
        .map(|id| &*vms.iter().find(|v| v.id == *id).unwrap().domain)
        .collect();
    assert_eq!(domains, ["d0", "d0", "d1", "d2"]);
    let normal = lifetime(&s, &vms, &got, &mut rng);
    assert!(normal <= s.lifetime && normal >= s.lifetime.mul_f64(0.8));
    for v in &mut vms {
        v.state = State::Leaving;
    }
    assert_eq!(lifetime(&s, &vms, &got, &mut rng), s.short_lifetime);
}
