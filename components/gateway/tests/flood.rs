//! An entry VM that receives more datagrams than it can handle. The test has a process of its own,
//! because the number of executor threads is set once for each process.

#[allow(dead_code)] // Only a part of the harness is used here.
#[path = "relay/harness.rs"]
mod harness;

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use harness::{TestEntryVm, TestServer, ok_response, start_executor};

/// Message in the encoding that entry VMs use.
#[derive(Serialize)]
enum Datagram {
    Ping { sent_us: u64 },
}

const FLOOD_TIME: Duration = Duration::from_secs(8);
const SENDERS: usize = 3;

/// Guards against a pool owner that only receives datagrams while there are more than it can handle:
/// requests, changes of servers and configurations then wait without limit.
#[test]
fn flood_of_datagrams_does_not_stop_other_work() {
    start_executor(1);
    let server = TestServer::start(|_, id| ok_response(id, "whole"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let to = entry_vm.node.own().peers;
    let answered = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let senders: Vec<_> = (0..SENDERS)
        .map(|_| {
            let answered = answered.clone();
            thread::spawn(move || {
                let socket = UdpSocket::bind(("127.0.0.1", 0)).unwrap();
                let ping = rmp_serde::to_vec(&Datagram::Ping { sent_us: 1 }).unwrap();
                while !answered.load(Ordering::Relaxed) && start.elapsed() < FLOOD_TIME {
                    socket.send_to(&ping, to).unwrap();
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let (status, _, body) = entry_vm.send("GET", "/read/1", "a1");
    let answered_after = start.elapsed();
    answered.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().unwrap();
    }
    assert_eq!((status, &*body), (200, "whole"));
    assert!(
        answered_after < FLOOD_TIME,
        "answered only after the flood, {answered_after:?} after its start"
    );
}
