//! Loopback addresses for the listeners of tests.

use std::collections::HashSet;

use standins::address::Ports;

/// Guards against an address that two processes get at the same time, because neither listens at it
/// yet: one of them then cannot start its listener.
#[test]
fn address_is_not_given_to_two_processes() {
    let offset = fastrand::u16(..);
    let mut seen = HashSet::new();
    // Two processes can start at the same port.
    let mut processes = [Ports::starting_at(offset), Ports::starting_at(offset)];
    for _ in 0..120 {
        for ports in &mut processes {
            let address = ports.take().expect("free address");
            assert!(seen.insert(address), "{address} was given out twice");
        }
    }
}
