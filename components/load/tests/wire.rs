//! Wire encoding of differences of the client block map.

use routing::blocks::{BlockMap, Difference, Prefix};

fn prefix(s: &str) -> Prefix {
    s.parse().unwrap()
}

/// Guards against a difference that is changed by its encoding between entry VMs.
#[test]
fn differences_round_trip() {
    let all = [
        "0.0.0.0/0",
        "10.0.0.0/8",
        "10.1.2.0/23",
        "10.1.2.3/32",
        "::/0",
        "2001:db8::/32",
    ];
    let d = Difference {
        added: all.iter().map(|s| (prefix(s), 75)).collect(),
        changed: vec![(prefix("2001:db8::1/128"), 65_534)],
        removed: vec![prefix("192.0.2.128/25"), prefix("2001:db8:8000::/33")],
    };
    let bytes = rmp_serde::to_vec(&d).unwrap();
    assert_eq!(rmp_serde::from_slice::<Difference>(&bytes).unwrap(), d);
    assert!(BlockMap::default().apply(&d).is_err());
}

/// Guards against malformed prefixes from a peer, which would break the order of the map: wrong
/// number of bytes, invalid length, bits set beyond the length.
#[test]
fn malformed_prefixes_are_refused() {
    let v6 = 33;
    let cases: [&[u8]; 7] = [
        &[],
        &[8],
        &[8, 10, 0],
        &[9, 10, 1],
        &[v6 + 129, 0],
        &[255; 17],
        &[v6 + 3, 0x30],
    ];
    for wire in cases {
        let mut bytes = vec![0xc4, wire.len() as u8];
        bytes.extend_from_slice(wire);
        assert!(rmp_serde::from_slice::<Prefix>(&bytes).is_err(), "{wire:?}");
    }
    assert_eq!(
        rmp_serde::from_slice::<Prefix>(&[0xc4, 2, 8, 10]).unwrap(),
        prefix("10.0.0.0/8")
    );
}
