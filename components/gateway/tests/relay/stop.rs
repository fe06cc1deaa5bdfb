//! Graceful stops.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::world::{Act, Backend, World, answer, receive, request};

/// Guards against LOST: a stop that cuts a request in flight, or refuses callers that come by an
/// old look-up, and against a readiness that does not tell of the stop.
#[test]
fn a_stop_answers_what_is_in_flight_and_tells_that_it_is_not_ready() {
    let backend = Backend::start(|_, id| {
        let mut acts = vec![Act::Wait(Duration::from_millis(600))];
        acts.extend(answer(id, "done"));
        acts
    });
    let world = World::start(&[&backend]);
    assert_eq!(ready(&world), 200);
    let mut stream = world.connect();
    stream
        .write_all(&request("POST", "/order/1", "a1"))
        .unwrap();
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    let (tx, rx) = async_channel::bounded(1);
    let node = world.node.clone();
    let stop = thread::spawn(move || runtime::block_on(1, gateway::run_until(&node, rx)));
    drop(tx);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(ready(&world), 503);
    let (status, head, body) = receive(&mut stream).unwrap();
    assert_eq!((status, &*body), (200, "done"));
    assert!(head.contains("Connection: close"), "{head}");
    let (status, _, _) = world.call("GET", "/read/1", "a2");
    assert_eq!(status, 200);
    stop.join().unwrap();
}

fn ready(world: &World) -> u16 {
    let mut stream = TcpStream::connect(world.readiness).unwrap();
    stream
        .write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .unwrap();
    receive(&mut stream).unwrap().0
}
