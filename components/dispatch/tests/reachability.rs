//! Whether an entry VM counts as cut off from the servers.

use std::time::Duration;

use dispatch::Reachability;

/// Servers in use.
const IN_USE: usize = 12;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cut_off() -> Reachability {
    let mut reach = Reachability::default();
    let changes = ["a", "b", "a", "b"].map(|s| reach.record_failure(s, IN_USE, ms(100)));
    assert_eq!(changes, [false, false, false, true]);
    reach
}

/// Guards against an entry VM that takes a server that is down, or a service with connections to
/// others between, for its own cut.
#[test]
fn failures_of_one_server_or_between_connections_are_no_cut() {
    let mut reach = Reachability::default();
    for i in 0..50 {
        assert!(!reach.record_failure("a", IN_USE, ms(i)));
    }
    let mut reach = Reachability::default();
    for i in 0..50 {
        for server in ["a", "b", "c"] {
            assert!(!reach.record_failure(server, IN_USE, ms(i)));
        }
        assert_eq!(reach.record_contact(), None);
    }
    assert!(!reach.is_cut_off());
}

/// Guards against a cut that is reported again and again, or that does not end with the first contact.
#[test]
fn cut_is_reported_once_and_ends_with_the_first_contact() {
    let mut reach = cut_off();
    assert!(!reach.record_failure("a", IN_USE, ms(200)), "reported once");
    assert!(reach.is_cut_off());
    assert_eq!(reach.record_contact(), Some(ms(100)));
    assert!(!reach.is_cut_off());
    assert!(!reach.record_failure("a", IN_USE, ms(300)));
}

/// Guards against callers that are refused while all servers of a small region back off, one failed
/// attempt each, and against taking a service of one server that is down for a cut.
#[test]
fn failures_at_all_servers_are_a_cut() {
    let mut reach = Reachability::default();
    let failures = ["a", "b", "c"].map(|s| reach.record_failure(s, 3, ms(1)));
    assert_eq!(failures, [false, false, true]);
    let mut reach = Reachability::default();
    assert!((0..50).all(|i| !reach.record_failure("a", 1, ms(i))));
    let mut reach = Reachability::default();
    let failures = ["a", "b", "a"].map(|s| reach.record_failure(s, 3, ms(1)));
    assert_eq!(failures, [false, false, false]);
}
