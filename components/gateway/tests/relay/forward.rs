//! Requests that are passed on to another region.

use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dispatch::{Member, MemberState, PoolSnapshot};
use serde::Serialize;

use crate::world::{Act, Backend, World, answer, receive, request};

/// Datagrams of an entry VM of another region; names and order of the fields as in the gateway.
#[derive(Serialize)]
enum Datagram {
    Heartbeat(Member),
    Pools {
        region: Box<str>,
        incarnation: u64,
        pools: Vec<(Box<str>, PoolSnapshot)>,
    },
}

/// An entry VM of another region, of which the requests that are passed on are scripted.
struct FarEntryVm {
    stop: Arc<AtomicBool>,
}

impl FarEntryVm {
    /// Tells `world` that the entry VM at the address of `front` has free slots.
    fn start(world: &World, front: &Backend) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let socket = UdpSocket::bind(front.address).unwrap();
        let member = Member {
            id: "far".into(),
            incarnation: 77,
            domain: "west".into(),
            region: "alpen".into(),
            callers: front.address,
            peers: front.address,
            state: MemberState::Ready,
            platform_connected: true,
        };
        let pools = Datagram::Pools {
            region: "alpen".into(),
            incarnation: 77,
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
        let datagrams = [Datagram::Heartbeat(member), pools];
        let datagrams = datagrams.map(|d| rmp_serde::to_vec(&d).unwrap());
        let (to, stopped) = (world.node.own().peers, stop.clone());
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for datagram in &datagrams {
                    socket.send_to(datagram, to).unwrap();
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
        FarEntryVm { stop }
    }
}

impl Drop for FarEntryVm {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Takes all slots of the world's server for a while.
fn fill(world: &World, backend: &Backend, address: SocketAddr) -> Vec<thread::JoinHandle<()>> {
    let before = backend.count();
    let callers = (0..3).map(|i| {
        thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            let id = format!("fill{i}");
            stream.write_all(&request("GET", "/read/1", &id)).unwrap();
            receive(&mut stream);
        })
    });
    let callers = callers.collect();
    let limit = Instant::now() + Duration::from_secs(5);
    while backend.count() < before + 3 {
        assert!(Instant::now() < limit, "the slots are not taken");
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(world.node.open_requests(), 3);
    callers
}

fn slow_server() -> Backend {
    Backend::start(|_, id| {
        let mut acts = vec![Act::Wait(Duration::from_millis(600))];
        acts.extend(answer(id, "near"));
        acts
    })
}

/// Guards against BUDGET: on the bench, an entry VM of another region sent a request to two servers
/// and died, and the request was sent to a third one of the own region, though two are allowed.
#[test]
fn a_request_that_was_lost_in_another_region_is_not_sent_again() {
    let near = slow_server();
    let far = Backend::start(|_, _| vec![Act::Wait(Duration::from_millis(30)), Act::End]);
    let world = World::start(&[&near]);
    let callers = fill(&world, &near, world.callers);
    let _far = FarEntryVm::start(&world, &far);
    thread::sleep(Duration::from_millis(200));
    let (status, _, _) = world.call("GET", "/read/2", "a1");
    assert_eq!((status, far.count(), near.count()), (502, 1, 3));
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Guards against requests that wait for a slot although another region has one.
#[test]
fn a_request_without_a_slot_runs_in_another_region() {
    let near = slow_server();
    let far = Backend::start(|_, id| answer(id, "far"));
    let world = World::start(&[&near]);
    let callers = fill(&world, &near, world.callers);
    let _far = FarEntryVm::start(&world, &far);
    thread::sleep(Duration::from_millis(200));
    let (status, _, body) = world.call("POST", "/order/2", "a1");
    assert_eq!((status, &*body), (200, "far"));
    for caller in callers {
        caller.join().unwrap();
    }
}
