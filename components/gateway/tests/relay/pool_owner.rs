//! Decisions of another entry VM, which owns the pool, that arrive twice, late or for another request.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dispatch::{
    AdmissionRequest, Decision, Grant, Member, MemberState, Outcome, RefuseReason, RequestId,
};
use serde::{Deserialize, Serialize};

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response};

/// Messages of the pool owner; names and order of the fields are as in the gateway.
#[derive(Clone, Serialize)]
enum Datagram {
    Heartbeat(Member),
    Waiting(RequestId),
    Decided(RequestId, Decision),
    Ended(RequestId),
}

/// Messages to the pool owner. Others fail to decode.
#[derive(Deserialize)]
enum Received {
    Ask(AdmissionRequest),
    End {
        id: RequestId,
        #[serde(rename = "service")]
        _service: Box<str>,
        outcome: Outcome,
        #[serde(rename = "load")]
        _load: Option<dispatch::LoadReport>,
    },
}

/// What the pool owner was told at the end of requests.
type Ends = Arc<Mutex<Vec<(RequestId, Outcome)>>>;

/// Another entry VM of the region, which owns the pools.
struct PoolOwner {
    stop: Arc<AtomicBool>,
    ends: Ends,
}

impl PoolOwner {
    /// Starts the owner. `decide` gets each admission request and returns the answers.
    fn start(
        entry_vm: &TestEntryVm,
        decide: impl Fn(&AdmissionRequest) -> Vec<Datagram> + Send + 'static,
    ) -> Self {
        let address = standins::address::free().unwrap();
        let socket = UdpSocket::bind(address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let heartbeat = Datagram::Heartbeat(Member {
            id: "owner".into(),
            incarnation: u64::from(address.port()),
            domain: "south".into(),
            region: "donau".into(),
            callers: address,
            peers: address,
            state: MemberState::Ready,
            platform_connected: true,
        });
        // Members without a connection to the platform own no pool if another one has it.
        entry_vm.node.set_platform_connected(false);
        let owner = PoolOwner {
            stop: Arc::default(),
            ends: Arc::default(),
        };
        let (stop, ends) = (owner.stop.clone(), owner.ends.clone());
        let to = entry_vm.node.own().peers;
        thread::spawn(move || {
            let send = |d: &Datagram| {
                let bytes = rmp_serde::to_vec(d).unwrap();
                socket.send_to(&bytes, to).unwrap();
            };
            let mut buf = [0; 8 * 1024];
            let mut heartbeat_at = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                if heartbeat_at <= Instant::now() {
                    heartbeat_at += Duration::from_millis(50);
                    send(&heartbeat);
                }
                let Ok((n, _)) = socket.recv_from(&mut buf) else {
                    continue;
                };
                match rmp_serde::from_slice(&buf[..n]) {
                    Ok(Received::Ask(request)) => {
                        decide(&request).iter().for_each(&send);
                    }
                    Ok(Received::End { id, outcome, .. }) => {
                        ends.lock().unwrap().push((id, outcome));
                        send(&Datagram::Ended(id));
                    }
                    Err(_) => {}
                }
            }
        });
        let limit = Instant::now() + Duration::from_secs(5);
        while entry_vm.node.available_peers().is_empty() {
            assert!(Instant::now() < limit, "the owner did not become known");
            thread::sleep(Duration::from_millis(5));
        }
        owner
    }
}

impl Drop for PoolOwner {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn grant(i: usize, server: &TestServer) -> Decision {
    Decision::Grant(Grant {
        server: format!("s{i}").into(),
        address: server.address,
        cold: false,
        slow_after: Duration::from_secs(1),
    })
}

fn refusal() -> Decision {
    Decision::Refuse {
        reason: RefuseReason::Overloaded,
        retry_after: Duration::from_millis(100),
    }
}

/// A server that runs each request for a while, so that late decisions arrive meanwhile.
fn slow_server() -> TestServer {
    TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_millis(50))];
        actions.extend(ok_response(id, id));
        actions
    })
}

/// Guards against an order that runs twice or is refused although it runs, because a decision is taken
/// for that about another request, or is believed a second time or after the first.
#[test]
fn only_the_first_decision_about_a_request_counts() {
    let (a, b) = (slow_server(), slow_server());
    let entry_vm = TestEntryVm::start(&[&a, &b]);
    let grants = [grant(0, &a), grant(1, &b)];
    let owner = PoolOwner::start(&entry_vm, move |request| {
        let (incarnation, number) = request.id;
        let mut datagrams = Vec::new();
        // For earlier requests, among them that of the same connection, and for another process.
        for id in [
            (incarnation, number.wrapping_sub(1)),
            (incarnation, number.wrapping_sub(2)),
            (incarnation ^ 1, number),
        ] {
            let decisions = [refusal(), grants[1].clone(), grants[0].clone()];
            datagrams.extend(decisions.map(|d| Datagram::Decided(id, d)));
        }
        let decisions = [&grants[0], &grants[0], &refusal(), &grants[1], &grants[1]];
        datagrams.extend(decisions.map(|d| Datagram::Decided(request.id, d.clone())));
        datagrams
    });
    for i in 0..10 {
        let id = format!("a{i}");
        let (status, head, body) = entry_vm.send("POST", "/order/1", &id);
        assert_eq!((status, &*body), (200, &*id), "{head}");
        assert_eq!((a.count(), b.count()), (i + 1, 0));
    }
    let ends = owner.ends.lock().unwrap();
    let unused = ends.iter().filter(|(_, o)| *o == Outcome::Unused).count();
    assert!(unused > 0, "no superfluous grant was returned");
}

/// Guards against an order that runs twice, or is refused although it runs, because the owner of the pool
/// decides about it after the own pool, which took the silent owner's place, has granted a slot.
#[test]
fn late_decisions_of_a_silent_owner_do_not_count() {
    let start = || {
        TestServer::start(|_, id| {
            let mut actions = vec![ServerAction::Wait(Duration::from_millis(300))];
            actions.extend(ok_response(id, id));
            actions
        })
    };
    let (a, b) = (start(), start());
    let entry_vm = TestEntryVm::start(&[&a, &b]);
    let decisions = [grant(0, &a), grant(1, &b), refusal()];
    let first = Mutex::new(None);
    let owner = PoolOwner::start(&entry_vm, move |request| {
        let first = *first.lock().unwrap().get_or_insert(request.id);
        if first == request.id {
            return Vec::new();
        }
        let late = decisions.iter().chain(&decisions);
        let late = late.map(|d| Datagram::Decided(first, d.clone()));
        let own = Datagram::Decided(request.id, decisions[0].clone());
        late.chain([own]).collect()
    });
    thread::scope(|scope| {
        let first = scope.spawn(|| entry_vm.send("POST", "/order/1", "a1"));
        let limit = Instant::now() + Duration::from_secs(5);
        while a.count() + b.count() == 0 {
            assert!(Instant::now() < limit, "the own pool granted no slot");
            thread::sleep(Duration::from_millis(5));
        }
        let (status, head, _) = entry_vm.send("POST", "/order/1", "a2");
        assert_eq!(status, 200, "{head}");
        let (status, head, _) = first.join().unwrap();
        assert_eq!(status, 200, "{head}");
    });
    assert_eq!(a.count() + b.count(), 2);
    let ends = owner.ends.lock().unwrap();
    assert!(ends.iter().any(|(_, o)| *o == Outcome::Unused), "{ends:?}");
}

/// Guards against a request that waits in vain for its pool owner, because a confirmation is taken for
/// its own that is about the request of another process with the same number, or comes from an entry VM
/// that the request was not sent to.
#[test]
fn only_the_pool_owner_confirms_that_a_request_is_queued() {
    for other_sender in [false, true] {
        let server = slow_server();
        let entry_vm = TestEntryVm::start(&[&server]);
        let to = entry_vm.node.own().peers;
        let other = UdpSocket::bind(standins::address::free().unwrap()).unwrap();
        let _owner = PoolOwner::start(&entry_vm, move |request| {
            let (incarnation, number) = request.id;
            if !other_sender {
                return vec![Datagram::Waiting((incarnation ^ 1, number))];
            }
            let bytes = rmp_serde::to_vec(&Datagram::Waiting(request.id)).unwrap();
            other.send_to(&bytes, to).unwrap();
            Vec::new()
        });
        let (status, head, _) = entry_vm.send("POST", "/order/1", "a");
        assert_eq!(status, 200, "other_sender={other_sender}: {head}");
    }
}
