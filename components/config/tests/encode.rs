//! Configurations have a unique encoding, and no input makes the parsers panic.

mod common;

use common::{example, shares, text};
use config::{
    Configuration, Prefix, Shift, ShiftReason, canonical, encode, object_name, parse_configuration,
};
use proptest::prelude::*;

/// An example configuration with a shift between the given shares.
fn with_shift(a: f64, b: f64, start_ms: u64) -> Configuration {
    let mut configuration = example("notensatz");
    let from = shares(&[("donau-1", a), ("alpen-1", 1.0 - a)]);
    let to = shares(&[("donau-1", b), ("kaernten-2", 1.0 - b)]);
    let shift = Shift {
        from,
        to,
        start_ms,
        reason: ShiftReason::Failover,
    };
    configuration
        .rules
        .shifts
        .insert("werkdienst".into(), shift);
    configuration
}

/// Rotates every list of the configuration.
fn rotate_lists(configuration: &mut Configuration, by: usize) {
    fn rotate<T>(list: &mut [T], by: usize) {
        let by = by % list.len().max(1);
        list.rotate_left(by);
    }
    let inventory = &mut configuration.inventory;
    rotate(&mut inventory.regions, by);
    rotate(&mut inventory.domains, by);
    rotate(&mut inventory.entry_vms, by);
    rotate(&mut inventory.services, by);
    rotate(&mut inventory.servers, by);
    rotate(&mut inventory.links, by);
    rotate(&mut inventory.client_blocks, by);
    rotate(&mut configuration.rules.drains.domains, by);
}

fn parse_with_all(text: &str) {
    let _ = config::parse_inventory("i", text);
    let _ = config::parse_rules("r", text);
    let _ = config::parse_settings("s", text);
    let _ = config::detect_kind(text);
    let _ = parse_configuration(text.as_bytes());
}

proptest! {
    /// Guards against equal content with different object names, and against shares that change
    /// when they are encoded and parsed.
    #[test]
    fn equal_content_has_equal_bytes(
        a in 0.0..=1.0_f64, b in 0.0..=1.0_f64, start_ms: u64, by in 0_usize..50,
    ) {
        let mut original = with_shift(a, b, start_ms);
        original.rules.drains.domains = vec!["alpen-1".into(), "donau-2".into()];
        let bytes = encode(&original);
        let read = parse_configuration(&bytes).expect("valid");
        prop_assert_eq!(&read, &canonical(&original));
        let mut reordered = original.clone();
        rotate_lists(&mut reordered, by);
        prop_assert_eq!(object_name(&encode(&reordered)), object_name(&bytes));
    }

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_configuration(&bytes);
        parse_with_all(&String::from_utf8_lossy(&bytes));
    }

    /// Guards against panics in later stages of the parsers, which random bytes do not reach.
    #[test]
    fn damaged_files_never_panic(
        file in prop::sample::select(&["inventory.json", "rules.json", "settings.json"][..]),
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..9, ".{0,6}"), 1..6),
    ) {
        let mut chars: Vec<char> = text("al-sahl", file).chars().collect();
        for (at, remove, insert) in &edits {
            let at = at.index(chars.len());
            let end = (at + remove).min(chars.len());
            chars.splice(at..end, insert.chars());
            if chars.is_empty() { break; }
        }
        parse_with_all(&chars.into_iter().collect::<String>());
    }

    /// Guards against panics in the configuration parser, and against parsed configurations that
    /// fail the checks.
    #[test]
    fn damaged_objects_are_rejected_or_valid(
        at in any::<prop::sample::Index>(), value: u8, cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode(&with_shift(0.25, 0.75, 1));
        let at = at.index(bytes.len());
        bytes[at] = value;
        if let Ok(read) = parse_configuration(&bytes) {
            prop_assert!(config::check(&read).iter().all(|d| !d.is_error()));
        }
        prop_assert!(parse_configuration(&bytes[..cut.index(bytes.len())]).is_err());
    }

    /// Guards against panics and wrong limits on the bits in the prefix parser.
    #[test]
    fn prefixes_round_trip(address: u32, wide: u128, bits in 0_u8..=128) {
        for text in [
            format!("{}/{bits}", std::net::Ipv4Addr::from(address)),
            format!("{}/{bits}", std::net::Ipv6Addr::from(wide)),
        ] {
            match text.parse::<Prefix>() {
                Ok(prefix) => prop_assert_eq!(prefix.to_string().parse(), Ok(prefix)),
                Err(config::PrefixError::HostBits(valid)) => {
                    prop_assert_eq!(valid.to_string().parse(), Ok(valid));
                }
                Err(error) => {
                    prop_assert_eq!(error, config::PrefixError::Bits);
                    prop_assert!(bits > 32 && text.contains('.'));
                }
            }
        }
    }
}

/// Guards against an accidental change of the encoding, which would change the names of all
/// objects.
#[test]
fn encoding_is_stable() {
    let empty = encode(&Configuration::default());
    assert_eq!(
        String::from_utf8(empty).expect("text"),
        concat!(
            r#"{"inventory":{"regions":[],"domains":[],"entry_vms":[],"services":[],"servers":[],"#,
            r#""links":[],"client_blocks":[]},"rules":{"shift_cap_per_minute":0.1,"#,
            r#""failover_cap_per_minute":1.0,"retry_budget":0.05,"default_deadline_ms":5000,"#,
            r#""ticket_lifetime_ms":10000,"look_up_lifetime_ms":5000,"deferrable_slot_share":0.5,"drains":{"servers":[],"#,
            r#""entry_vms":[],"domains":[],"regions":[]},"shifts":{}}}"#
        )
    );
    // BLAKE3 test vector for empty input.
    assert_eq!(
        &*object_name(b""),
        "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262"
    );
    let mut negative = Configuration::default();
    negative.rules.retry_budget = -0.0;
    let mut zero = negative.clone();
    zero.rules.retry_budget = 0.0;
    assert_eq!(encode(&negative), encode(&zero));
}

/// Guards against a stored configuration that ends the process or stops its replication: nested
/// deeply, with numbers too large, or with ports out of range.
#[test]
fn odd_configurations_are_rejected() {
    let encoded = String::from_utf8(encode(&example("notensatz"))).unwrap();
    let end = |from: &str| encoded.find(from).unwrap() + from.len();
    let slots = end("\"slots\":");
    let port = end("\"address\":\"") + encoded[end("\"address\":\"")..].find(':').unwrap() + 1;
    let deep = "[".repeat(200_000) + &"]".repeat(200_000);
    for (at, value) in [
        (slots, deep.as_str()),
        (slots, "18446744073709551616"),
        (slots, "1e400"),
        (slots, "1e30"),
        (port, "65536"),
        (port, "18446744073709551616"),
        (port, "-1"),
    ] {
        let digits = encoded[at..].find(|c: char| !c.is_ascii_digit()).unwrap();
        let text = format!("{}{value}{}", &encoded[..at], &encoded[at + digits..]);
        let name = &value[..value.len().min(30)];
        assert!(parse_configuration(text.as_bytes()).is_err(), "{name}");
    }
}
