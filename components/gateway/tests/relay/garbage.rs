//! Bytes that nobody should send: datagrams, requests and answers changed at random places.

use std::io::{Read, Write};
use std::net::{Shutdown, UdpSocket};
use std::time::Duration;

use dispatch::{Member, MemberState};
use fastrand::Rng;
use serde::Serialize;

use crate::world::{Act, Backend, World, answer, answer_bytes, request};

/// A heartbeat, encoded as between entry VMs.
#[derive(Serialize)]
enum Datagram {
    Heartbeat(Member),
}

/// Changes, removes or repeats some bytes.
fn garble(rng: &mut Rng, bytes: &[u8]) -> Vec<u8> {
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

/// Guards against datagrams that stop the process, or that make it lose its slots.
#[test]
fn garbled_datagrams_do_no_harm() {
    let backend = Backend::start(|_, id| answer(id, "whole"));
    let world = World::start(&[&backend]);
    let own = world.node.own();
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
        let datagram = garble(&mut rng, &valid);
        socket.send_to(&datagram, own.peers).unwrap();
    }
    let (status, _, body) = world.call("GET", "/read/1", "a1");
    assert_eq!((status, &*body), (200, "whole"));
}

/// Guards against request heads that stop the process or keep its slots.
#[test]
fn garbled_requests_do_no_harm() {
    let backend = Backend::start(|_, id| answer(id, "whole"));
    let world = World::start(&[&backend]);
    let mut rng = Rng::with_seed(12);
    for i in 0..100 {
        let bytes = garble(&mut rng, &request("POST", "/order/1", &format!("g{i}")));
        let mut stream = world.connect();
        // The gateway may have closed the connection already.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let _ = stream.read(&mut [0; 512]);
    }
    let (status, _, body) = world.call("POST", "/order/1", "a1");
    assert_eq!((status, &*body), (200, "whole"));
}

/// Guards against answers of servers that stop the process, or keep a caller waiting beyond its
/// deadline.
#[test]
fn garbled_answers_do_no_harm() {
    let backend = Backend::start(|n, id| {
        if n % 2 == 1 {
            return answer(id, "whole");
        }
        let mut rng = Rng::with_seed(n as u64);
        vec![
            Act::Send(garble(&mut rng, &answer_bytes(id, "whole"))),
            Act::Wait(Duration::from_millis(5)),
            Act::End,
        ]
    });
    let world = World::start(&[&backend]);
    for i in 0..20 {
        let mut stream = world.connect();
        let sent = std::time::Instant::now();
        let req = request("GET", "/read/1", &format!("g{i}"));
        stream.write_all(&req).unwrap();
        let mut bytes = [0; 512];
        let read = stream.read(&mut bytes).unwrap_or(0);
        assert!(read == 0 || bytes.starts_with(b"HTTP/1.1 "), "{i}");
        assert!(sent.elapsed() < Duration::from_secs(3), "{i}");
    }
}
