//! Forwarding of requests to another region.

use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dispatch::{Member, MemberState, PoolSnapshot};
use serde::Serialize;

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response, read_response, request};

/// Messages of an entry VM of another region; names and order of the fields are as in the gateway.
#[derive(Serialize)]
enum Datagram {
    Heartbeat(Member),
    Pools {
        region: Box<str>,
        incarnation: u64,
        pools: Vec<(Box<str>, PoolSnapshot)>,
    },
    CutOff {
        incarnation: u64,
    },
    Leaving {
        incarnation: u64,
        left: Duration,
    },
}

/// What an entry VM announces besides its member list entry.
#[derive(Clone, Copy, PartialEq)]
enum Announced {
    Nothing,
    CutOff,
    /// It is leaving and takes requests for this time.
    Leaving(Duration),
}

/// Another entry VM: it announces itself to the one under test, and a scripted server takes its
/// forwarded requests.
pub struct RemoteEntryVm {
    stop: Arc<AtomicBool>,
}

impl RemoteEntryVm {
    /// Announces to `entry_vm` an entry VM of another region at the address of `forward_target`, with
    /// free slots.
    fn start(entry_vm: &TestEntryVm, forward_target: &TestServer) -> Self {
        Self::start_in("west", "alpen", entry_vm, forward_target)
    }

    /// Announces an entry VM of the given failure domain and region.
    pub fn start_in(
        domain: &str,
        region: &str,
        entry_vm: &TestEntryVm,
        forward_target: &TestServer,
    ) -> Self {
        Self::announce(domain, region, entry_vm, forward_target, Announced::Nothing)
    }

    /// Announces an entry VM that says that it is cut off from the servers.
    pub fn start_cut_off(
        domain: &str,
        region: &str,
        entry_vm: &TestEntryVm,
        forward_target: &TestServer,
    ) -> Self {
        Self::announce(domain, region, entry_vm, forward_target, Announced::CutOff)
    }

    /// Announces an entry VM that is leaving and takes requests for `left` from now on.
    pub fn start_leaving(
        domain: &str,
        left: Duration,
        entry_vm: &TestEntryVm,
        forward_target: &TestServer,
    ) -> Self {
        let announced = Announced::Leaving(left);
        Self::announce(domain, "donau", entry_vm, forward_target, announced)
    }

    fn announce(
        domain: &str,
        region: &str,
        entry_vm: &TestEntryVm,
        forward_target: &TestServer,
        announced: Announced,
    ) -> Self {
        let incarnation = u64::from(forward_target.address.port());
        let stop = Arc::new(AtomicBool::new(false));
        let socket = UdpSocket::bind(forward_target.address).unwrap();
        let member = Member {
            id: format!("entry-{domain}").into(),
            incarnation,
            domain: domain.into(),
            region: region.into(),
            callers: forward_target.address,
            peers: forward_target.address,
            state: match announced {
                Announced::Leaving(_) => MemberState::Leaving,
                Announced::Nothing | Announced::CutOff => MemberState::Ready,
            },
            platform_connected: region != "donau",
        };
        let pools = Datagram::Pools {
            region: "alpen".into(),
            incarnation,
            pools: vec![(
                "work".into(),
                PoolSnapshot {
                    free: 50,
                    slots: 50,
                    capacity: 100_000,
                    ..PoolSnapshot::default()
                },
            )],
        };
        let mut datagrams = vec![Datagram::Heartbeat(member)];
        if region == "alpen" {
            datagrams.push(pools);
        }
        if announced == Announced::CutOff {
            datagrams.push(Datagram::CutOff { incarnation });
        }
        let datagrams = datagrams.iter().map(|d| rmp_serde::to_vec(d).unwrap());
        let datagrams: Vec<Vec<u8>> = datagrams.collect();
        let (destination, stopped) = (entry_vm.node.own().peers, stop.clone());
        let start = Instant::now();
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Announced::Leaving(left) = announced {
                    let left = left.saturating_sub(start.elapsed());
                    let leaving = Datagram::Leaving { incarnation, left };
                    let bytes = rmp_serde::to_vec(&leaving).unwrap();
                    socket.send_to(&bytes, destination).unwrap();
                }
                for datagram in &datagrams {
                    socket.send_to(datagram, destination).unwrap();
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
        RemoteEntryVm { stop }
    }
}

impl Drop for RemoteEntryVm {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Takes all slots of the only server until its responses arrive.
pub fn occupy_slots(
    entry_vm: &TestEntryVm,
    server: &TestServer,
    address: SocketAddr,
) -> Vec<thread::JoinHandle<()>> {
    let before = server.count();
    let callers = (0..3).map(|i| {
        thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            let id = format!("fill{i}");
            stream.write_all(&request("GET", "/read/1", &id)).unwrap();
            read_response(&mut stream);
        })
    });
    let callers = callers.collect();
    let limit = Instant::now() + Duration::from_secs(5);
    while server.count() < before + 3 {
        assert!(
            Instant::now() < limit,
            "the requests did not take all slots in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(entry_vm.node.open_requests(), 3);
    callers
}

pub fn slow_server() -> TestServer {
    TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_millis(600))];
        actions.extend(ok_response(id, "near"));
        actions
    })
}

/// Guards against more attempts than the route allows: the entry VM of the other region may have
/// sent the request to two servers before it failed, so a third attempt in this region exceeds the
/// limit.
#[test]
fn request_lost_in_another_region_is_not_retried() {
    let local = slow_server();
    let remote = TestServer::start(|_, _| {
        vec![
            ServerAction::Wait(Duration::from_millis(30)),
            ServerAction::Close,
        ]
    });
    let entry_vm = TestEntryVm::start(&[&local]);
    let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
    let _remote = RemoteEntryVm::start(&entry_vm, &remote);
    thread::sleep(Duration::from_millis(200));
    let (status, _, _) = entry_vm.send("GET", "/read/2", "a1");
    assert_eq!((status, remote.count(), local.count()), (502, 1, 3));
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Guards against a request that waits for a slot in this region although another has one.
#[test]
fn request_without_local_slot_is_forwarded() {
    let local = slow_server();
    let remote = TestServer::start(|_, id| ok_response(id, "far"));
    let entry_vm = TestEntryVm::start(&[&local]);
    let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
    let _remote = RemoteEntryVm::start(&entry_vm, &remote);
    thread::sleep(Duration::from_millis(200));
    let (status, _, body) = entry_vm.send("POST", "/order/2", "a1");
    assert_eq!((status, &*body), (200, "far"));
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Guards against a request that is handled by an older configuration than an earlier one: the entry
/// VM of the other region may learn of a configuration later than the one that forwards to it
/// (CONFIG).
#[test]
fn request_forwarded_under_a_newer_configuration_is_not_run() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let in_force = entry_vm.node.generation();
    let send = |generation: u64, id: &str| {
        let mut stream = std::net::TcpStream::connect(entry_vm.node.own().peers).unwrap();
        let head = format!(
            "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\nX-Deadline: 2000\r\n\
             X-Target-Ms: 500\r\nX-Generation: {generation}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        read_response(&mut stream).expect("response")
    };
    let (status, head, _) = send(in_force + 1, "a1");
    assert_eq!((status, server.count()), (503, 0), "{head}");
    assert!(head.contains("x-outcome: not-run"), "{head}");
    assert_eq!(send(in_force, "a2").0, 200);
    assert_eq!(send(in_force - 1, "a3").0, 200);
}

/// Guards against a refusal of an earlier request that the entry VM of another region, or a faulty
/// server behind it, repeats on a kept connection: taken for the answer, a binding request would
/// run here as well (TWICE) or be refused as not run (REFUSED).
#[test]
fn repeated_refusal_of_another_region_is_not_taken_for_the_answer() {
    let refusal = |id: Option<&str>| {
        let id = id.map_or(String::new(), |id| format!("X-Id: {id}\r\n"));
        let head =
            format!("HTTP/1.1 503 Busy\r\n{id}X-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
        ServerAction::Send(head.into_bytes())
    };
    let local = slow_server();
    let remote = TestServer::start(move |n, id| {
        let mut actions = vec![refusal(None), refusal(Some("earlier"))];
        actions.truncate(n.min(2));
        actions.extend(ok_response(id, "far"));
        actions
    });
    let entry_vm = TestEntryVm::start(&[&local]);
    let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
    let _remote = RemoteEntryVm::start(&entry_vm, &remote);
    thread::sleep(Duration::from_millis(200));
    for i in 0..3 {
        let (status, head, body) = entry_vm.send("POST", "/order/2", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "far"), "{head}");
    }
    assert_eq!((remote.count(), local.count()), (3, 3));
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Guards against an order that ran in another region, of whose server's bare status the entry VM there
/// could not know that the order is binding, and that is refused here as not run (REFUSED).
#[test]
fn forwarded_status_alone_does_not_promise_that_an_order_has_not_run() {
    for status in [408, 421, 429, 503] {
        let local = slow_server();
        let remote = TestServer::start(move |_, id| {
            let text = format!("HTTP/1.1 {status} X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            vec![ServerAction::Send(text.into_bytes())]
        });
        let entry_vm = TestEntryVm::start(&[&local]);
        let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
        let _remote = RemoteEntryVm::start(&entry_vm, &remote);
        thread::sleep(Duration::from_millis(200));
        let (answer, head, _) = entry_vm.send("POST", "/order/2", "a1");
        assert_eq!(
            (answer, remote.count(), local.count()),
            (502, 1, 3),
            "{head}"
        );
        assert!(head.contains("x-outcome: unknown"), "{head}");
        for caller in callers {
            caller.join().unwrap();
        }
    }
}

/// Guards against a status that HTTP does not define reaching a caller through an entry VM of another region,
/// which may run an older version (MIXED).
#[test]
fn forwarded_response_with_an_invalid_status_is_rejected() {
    const STATUSES: [&str; 5] = ["000", "001", "099", "600", "999"];
    let local = slow_server();
    let remote = TestServer::start(move |n, id| {
        let status = STATUSES[n];
        let text = format!(
            "HTTP/1.1 {status} X\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: 6\r\n\r\nbroken"
        );
        vec![ServerAction::Send(text.into_bytes())]
    });
    let entry_vm = TestEntryVm::start(&[&local]);
    let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
    let _remote = RemoteEntryVm::start(&entry_vm, &remote);
    thread::sleep(Duration::from_millis(200));
    for status in STATUSES {
        let (answer, head, _) = entry_vm.send("POST", "/order/2", status);
        assert_eq!(answer, 502, "{status}: {head}");
        assert!(head.contains("x-outcome: unknown"), "{status}: {head}");
        assert!(!head.contains("X-Signature"), "{status}: {head}");
    }
    assert_eq!((remote.count(), local.count()), (STATUSES.len(), 3));
    for caller in callers {
        caller.join().unwrap();
    }
}
