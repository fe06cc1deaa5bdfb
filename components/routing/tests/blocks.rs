//! Block map compared with a linear search for the longest prefix.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use proptest::prelude::*;
use routing::blocks::{BlockMap, Difference, DomainIndex, Error, Prefix};

type Model = BTreeMap<Prefix, DomainIndex>;

fn reference_look_up(model: &Model, addr: IpAddr) -> Option<DomainIndex> {
    let covering = model.iter().filter(|(p, _)| p.contains(addr));
    covering.max_by_key(|(p, _)| p.length()).map(|(_, s)| *s)
}

fn truncate(addr: IpAddr, length: u8) -> Prefix {
    let addr = match addr {
        IpAddr::V4(a) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
            IpAddr::V4(Ipv4Addr::from_bits(a.to_bits() & mask))
        }
        IpAddr::V6(a) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0);
            IpAddr::V6(Ipv6Addr::from_bits(a.to_bits() & mask))
        }
    };
    Prefix::new(addr, length).unwrap()
}

/// Addresses with few distinct bits, so that blocks nest, are adjacent and repeat.
fn address() -> impl Strategy<Value = IpAddr> {
    let v4 = (0..4u32, 0..8u32, 0..4u32).prop_map(|(a, b, c)| {
        IpAddr::V4(Ipv4Addr::from_bits((a << 30) | (b << 14) | (c << 7) | c))
    });
    let v6 = (0..4u128, 0..8u128, 0..4u128)
        .prop_map(|(a, b, c)| IpAddr::V6(Ipv6Addr::from_bits((a << 126) | (b << 66) | c)));
    prop_oneof![
        v4,
        v6,
        any::<u32>().prop_map(|a| Ipv4Addr::from_bits(a).into())
    ]
}

fn prefix() -> impl Strategy<Value = Prefix> {
    (address(), 0..=128u8).prop_map(|(a, l)| truncate(a, if a.is_ipv4() { l % 33 } else { l }))
}

fn check_map(map: &BlockMap, model: &Model, probes: &[IpAddr]) -> Result<(), TestCaseError> {
    prop_assert_eq!(map.len(), model.len());
    prop_assert!(map.iter().eq(model.iter().map(|(p, s)| (*p, *s))));
    let edges = model.keys().map(Prefix::address);
    for addr in edges.chain(probes.iter().copied()) {
        prop_assert_eq!(
            map.look_up(addr),
            reference_look_up(model, addr),
            "{}",
            addr
        );
    }
    Ok(())
}

proptest! {
    /// Guards against look-ups that return a wrong domain for nested, adjacent and overlapping
    /// blocks, and against differences whose result deviates from a rebuilt map or that change the
    /// version they are applied to.
    #[test]
    fn matches_reference_model(
        blocks in prop::collection::btree_map(prefix(), any::<DomainIndex>(), 0..60),
        rounds in prop::collection::vec(
            prop::collection::btree_map(
                prefix(), prop::option::of(any::<DomainIndex>()), 0..30), 0..5),
        probes in prop::collection::vec(address(), 30),
    ) {
        let mut model = blocks;
        let mut map = BlockMap::new(model.clone().into_iter().collect()).unwrap();
        check_map(&map, &model, &probes)?;
        for round in rounds {
            let (before, before_model) = (map.clone(), model.clone());
            let mut d = Difference::default();
            for (p, domain) in round {
                match (domain, model.contains_key(&p)) {
                    (Some(domain), true) => d.changed.push((p, domain)),
                    (Some(domain), false) => d.added.push((p, domain)),
                    (None, true) => d.removed.push(p),
                    (None, false) => continue,
                }
                match domain {
                    Some(domain) => model.insert(p, domain),
                    None => model.remove(&p),
                };
            }
            map = before.apply(&d).unwrap();
            check_map(&map, &model, &probes)?;
            check_map(&before, &before_model, &probes)?;
            let reapplied = before.apply(&Difference::between(&before, &map)).unwrap();
            check_map(&reapplied, &model, &probes)?;
        }
    }

    /// Guards against a panic on text that is not a prefix or acceptance of it as some prefix, and
    /// against prefixes that change when they are written and parsed again.
    #[test]
    fn parsing_round_trips(p in prefix(), text in "[0-9a-f:./]{0,20}") {
        prop_assert_eq!(p.to_string().parse::<Prefix>().unwrap(), p);
        if let Ok(q) = text.parse::<Prefix>() {
            prop_assert_eq!(q.to_string().parse::<Prefix>().unwrap(), q);
        }
    }
}

/// Guards against faults when chunks are split, merged and shared. The property tests stay within
/// one chunk, so this test uses many chunks and removals that shrink or empty them.
#[test]
fn differences_over_many_chunks() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut model = Model::new();
    while model.len() < 20_000 {
        let length = rng.u8(12..=28);
        model.insert(
            truncate(Ipv4Addr::from_bits(rng.u32(..)).into(), length),
            rng.u16(..76),
        );
    }
    let mut map = BlockMap::new(model.clone().into_iter().collect()).unwrap();
    for round in 0..30 {
        let keys: Vec<_> = model.keys().copied().collect();
        let from = rng.usize(..keys.len());
        let span = if round % 3 == 0 { 3_000 } else { 20 };
        let mut d = Difference::default();
        for p in keys.iter().skip(from).take(span) {
            d.removed.push(*p);
            model.remove(p);
        }
        for _ in 0..span / 2 {
            let p = truncate(Ipv4Addr::from_bits(rng.u32(..)).into(), rng.u8(12..=28));
            if !d.removed.contains(&p) && !model.contains_key(&p) {
                d.added.push((p, 75));
                model.insert(p, 75);
            }
        }
        let next = map.apply(&d).unwrap();
        if span == 20 {
            assert!(
                next.shared_chunks(&map) > 0,
                "a small difference copies every chunk"
            );
        }
        map = next;
        assert!(map.iter().eq(model.iter().map(|(p, s)| (*p, *s))));
        for _ in 0..200 {
            let addr = Ipv4Addr::from_bits(rng.u32(..)).into();
            assert_eq!(map.look_up(addr), reference_look_up(&model, addr));
        }
    }
}

/// Guards against accepting invalid prefixes and differences that belong to another version.
#[test]
fn invalid_input_returns_typed_error() {
    let parse = |s: &str| s.parse::<Prefix>().unwrap_err().current_context().clone();
    for s in [
        "",
        "10.0.0.0",
        "10.0.0/8",
        "x/8",
        "10.0.0.0/",
        "10.0.0.0/+8",
        "::/-1",
    ] {
        assert_eq!(parse(s), Error::Syntax(s.into()));
    }
    for s in ["10.0.0.0/33", "::/129", "10.0.0.0/300"] {
        assert_eq!(parse(s), Error::Length(s.into()));
    }
    assert_eq!(parse("10.0.0.1/8"), Error::HostBits("10.0.0.1/8".into()));
    let p: Prefix = "10.0.0.0/8".parse().unwrap();
    let q: Prefix = "11.0.0.0/8".parse().unwrap();
    let map = BlockMap::new(vec![(p, 1)]).unwrap();
    let kind = |r: routing::blocks::Result<BlockMap>| r.unwrap_err().current_context().clone();
    let d = Difference {
        added: vec![(p, 2)],
        ..Difference::default()
    };
    assert_eq!(kind(map.apply(&d)), Error::AlreadyPresent(p));
    let d = Difference {
        changed: vec![(q, 2)],
        ..Difference::default()
    };
    assert_eq!(kind(map.apply(&d)), Error::NotPresent(q));
    let d = Difference {
        removed: vec![p, q],
        ..Difference::default()
    };
    assert_eq!(kind(map.apply(&d)), Error::NotPresent(q));
    let d = Difference {
        changed: vec![(p, 2)],
        removed: vec![p],
        ..Difference::default()
    };
    assert_eq!(kind(map.apply(&d)), Error::Repeated(p));
    assert_eq!(
        kind(BlockMap::new(vec![(p, 1), (p, 2)])),
        Error::Repeated(p)
    );
    assert_eq!(
        kind(BlockMap::from_sorted([(q, 1), (p, 2)])),
        Error::Unsorted(p)
    );
}
