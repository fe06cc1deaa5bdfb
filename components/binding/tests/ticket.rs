//! Tickets and keys: altered, foreign and expired tickets must never be accepted.

use std::time::Duration;

use binding::{
    KeyContext, KeyError, KeyRing, MAX_TICKET_CHARS, ProcessIdentity, Ticket, TicketError,
    TicketStatus, WorkId, request_digest,
};
use config::KeySettings;
use proptest::prelude::*;

fn key(id: u32, secret: &str) -> KeySettings {
    KeySettings {
        id,
        secret: secret.into(),
    }
}

fn ring() -> KeyRing {
    KeyRing::new(&[key(1, "first secret of the test")]).unwrap()
}

fn vm(name: &str, incarnation: u64) -> ProcessIdentity {
    ProcessIdentity {
        vm: name.into(),
        incarnation,
    }
}

fn ticket() -> Ticket {
    let expires = Duration::from_secs(10);
    Ticket::mint(&ring(), "bid-desk", &vm("irbid-1", 7), expires, [9; 16]).unwrap()
}

/// Guards against a status that allows a process to execute work that it does not own.
#[test]
fn ticket_status() {
    let check = |ring: &KeyRing, service: &str, process: ProcessIdentity, now: u64| {
        ticket().verify(ring, service, &process, Duration::from_millis(now))
    };
    let process = vm("irbid-1", 7);
    assert_eq!(
        check(&ring(), "bid-desk", process.clone(), 9_999),
        TicketStatus::Owned
    );
    assert_eq!(
        check(&ring(), "bid-desk", process.clone(), 10_000),
        TicketStatus::Expired
    );
    assert_eq!(
        check(&ring(), "lot-board", process.clone(), 0),
        TicketStatus::WrongService
    );
    assert_eq!(
        check(&ring(), "bid-desk", vm("irbid-1", 8), 0),
        TicketStatus::OtherIncarnation
    );
    let other = TicketStatus::OtherOwner("irbid-1".into(), 7);
    assert_eq!(check(&ring(), "bid-desk", vm("irbid-2", 7), 0), other);
    let foreign = KeyRing::new(&[key(1, "another secret of the test")]).unwrap();
    assert_eq!(
        check(&foreign, "bid-desk", process, 0),
        TicketStatus::Forged
    );
}

/// Guards against tickets that become invalid during a key rotation, and old keys that still sign.
#[test]
fn key_rotation() {
    let old = key(1, "first secret of the test");
    let new = key(2, "second secret of the test");
    let rotated = KeyRing::new(&[new.clone(), old.clone()]).unwrap();
    let process = vm("irbid-1", 7);
    let status = ticket().verify(&rotated, "bid-desk", &process, Duration::ZERO);
    assert_eq!(status, TicketStatus::Owned);
    let (id, mac) = rotated.sign(KeyContext::PeerMessage, b"m");
    assert_eq!(id, 2);
    assert!(rotated.verify(KeyContext::PeerMessage, id, b"m", &mac));
    assert!(!rotated.verify(KeyContext::Ticket, id, b"m", &mac));
    assert!(!rotated.verify(KeyContext::PeerMessage, 1, b"m", &mac));
    let retired = KeyRing::new(std::slice::from_ref(&new)).unwrap();
    let status = ticket().verify(&retired, "bid-desk", &process, Duration::ZERO);
    assert_eq!(status, TicketStatus::Forged);
    let debug = format!("{rotated:?}{old:?}");
    assert!(
        !debug.contains("secret of") && !debug.contains("ticket"),
        "{debug}"
    );
}

/// Guards against a process that starts with missing, short or duplicate keys.
#[test]
fn unusable_keys_are_rejected() {
    let error = |keys: &[KeySettings]| *KeyRing::new(keys).unwrap_err().current_context();
    assert_eq!(error(&[]), KeyError::NoKeys);
    assert_eq!(error(&[key(3, "short")]), KeyError::ShortSecret(3));
    let twice = [
        key(3, "first secret of the test"),
        key(3, "second secret of the test"),
    ];
    assert_eq!(error(&twice), KeyError::DuplicateId(3));
}

/// Guards against names that cannot be encoded, and digests that collide across field boundaries.
#[test]
fn names_and_digests() {
    for name in ["", &"x".repeat(65)] {
        let minted = Ticket::mint(&ring(), name, &vm("a", 1), Duration::ZERO, [0; 16]);
        assert_eq!(*minted.unwrap_err().current_context(), TicketError::Name);
    }
    assert_ne!(
        request_digest("PUT", "/a", b"b"),
        request_digest("PUT", "/ab", b"")
    );
    assert_ne!(
        WorkId::from_key("s", "h", "1"),
        WorkId::from_key("s", "h1", "")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against text forms that lose a field or exceed the maximum length.
    #[test]
    fn text_round_trip(
        service in "[a-zä]{1,32}", owner in "[a-z0-9-]{1,64}",
        incarnation: u64, expires_ms: u64, nonce: [u8; 16],
    ) {
        let expires = Duration::from_millis(expires_ms);
        let owner = vm(&owner, incarnation);
        let ticket = Ticket::mint(&ring(), &service, &owner, expires, nonce).unwrap();
        let text = ticket.encode();
        prop_assert!(text.len() <= MAX_TICKET_CHARS);
        prop_assert!(text.bytes().all(|b| b.is_ascii_alphanumeric()));
        prop_assert_eq!(Ticket::decode(&text).unwrap(), ticket);
    }

    /// Guards against altered, truncated or extended text that is accepted or causes a panic.
    #[test]
    fn altered_text_is_rejected(at: prop::sample::Index, with: char, cut: prop::sample::Index) {
        let text = ticket().encode();
        let is_valid = |text: &str| {
            let process = vm("irbid-1", 7);
            Ticket::decode(text).is_ok_and(|ticket| {
                ticket.verify(&ring(), "bid-desk", &process, Duration::ZERO) != TicketStatus::Forged
            })
        };
        prop_assert!(is_valid(&text));
        let at = at.index(text.len());
        let altered = format!("{}{with}{}", &text[..at], &text[at + 1..]);
        prop_assert!(altered == text || !is_valid(&altered));
        prop_assert!(!is_valid(&text[..cut.index(text.len())]));
        let longer = format!("{text}{with}");
        prop_assert!(!is_valid(&longer));
        prop_assert!(!is_valid(&text.repeat(100)));
    }

    /// Guards against panics on arbitrary input.
    #[test]
    fn arbitrary_text_is_rejected(text: String, hex in "[0-9a-f]{138,400}") {
        prop_assert!(Ticket::decode(&text).is_err());
        if let Ok(ticket) = Ticket::decode(&hex) {
            let process = vm("irbid-1", 7);
            let status = ticket.verify(&ring(), "bid-desk", &process, Duration::ZERO);
            prop_assert_eq!(status, TicketStatus::Forged);
        }
    }
}
