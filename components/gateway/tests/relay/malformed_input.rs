//! Malformed input: datagrams, requests and responses with random changes.

use std::io::{Read, Write};
use std::net::{Shutdown, UdpSocket};
use std::time::Duration;

use dispatch::{Member, MemberState};
use fastrand::Rng;
use serde::Serialize;

use crate::harness::{
    ServerAction, TestEntryVm, TestServer, ok_response, ok_response_bytes, request,
};

/// Heartbeat message in the encoding that entry VMs use.
#[derive(Serialize)]
enum Datagram {
    Heartbeat(Member),
}

/// Applies one to three random changes: replaces, removes or inserts a byte, or truncates.
fn corrupt(rng: &mut Rng, bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..rng.usize(1..4) {
        if bytes.is_empty() {
            break;
        }
        let at = rng.usize(..bytes.len());
        match rng.u32(..4) {
            0 => bytes[at] = rng.u8(..),
            1 => drop(bytes.remove(at)),
            2 => bytes.truncate(at + 1),
            _ => bytes.insert(at, rng.u8(..)),
        }
    }
    bytes
}

/// Guards against a malformed datagram that crashes the process or makes it lose server slots.
#[test]
fn corrupted_datagrams_are_tolerated() {
    let server = TestServer::start(|_, id| ok_response(id, "whole"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let own = entry_vm.node.own();
    let member = Member {
        id: "other".into(),
        incarnation: 7,
        domain: "south".into(),
        state: MemberState::Leaving,
        ..own.clone()
    };
    let valid = rmp_serde::to_vec(&Datagram::Heartbeat(member)).unwrap();
    let socket = UdpSocket::bind(("127.0.0.1", 0)).unwrap();
    let mut rng = Rng::with_seed(11);
    for _ in 0..2000 {
        let datagram = corrupt(&mut rng, &valid);
        socket.send_to(&datagram, own.peers).unwrap();
    }
    let (status, _, body) = entry_vm.send("GET", "/read/1", "a1");
    assert_eq!((status, &*body), (200, "whole"));
}

/// Guards against a malformed request that crashes the process or leaks a server slot.
#[test]
fn corrupted_requests_are_tolerated() {
    let server = TestServer::start(|_, id| ok_response(id, "whole"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut rng = Rng::with_seed(12);
    for i in 0..100 {
        let bytes = corrupt(&mut rng, &request("POST", "/order/1", &format!("g{i}")));
        let mut stream = entry_vm.connect();
        // The gateway may have closed the connection already.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let _ = stream.read(&mut [0; 512]);
    }
    let (status, _, body) = entry_vm.send("POST", "/order/1", "a1");
    assert_eq!((status, &*body), (200, "whole"));
}

/// Guards against a malformed response of a server that crashes the process or makes a caller wait
/// beyond its deadline.
#[test]
fn corrupted_responses_are_tolerated() {
    let server = TestServer::start(|n, id| {
        if n % 2 == 1 {
            return ok_response(id, "whole");
        }
        let mut rng = Rng::with_seed(n as u64);
        vec![
            ServerAction::Send(corrupt(&mut rng, &ok_response_bytes(id, "whole"))),
            ServerAction::Wait(Duration::from_millis(5)),
            ServerAction::Close,
        ]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..20 {
        let mut stream = entry_vm.connect();
        let sent = std::time::Instant::now();
        let req = request("GET", "/read/1", &format!("g{i}"));
        stream.write_all(&req).unwrap();
        let mut bytes = [0; 512];
        let read = stream.read(&mut bytes).unwrap_or(0);
        assert!(read == 0 || bytes.starts_with(b"HTTP/1.1 "), "{i}");
        assert!(sent.elapsed() < Duration::from_secs(3), "{i}");
    }
}
