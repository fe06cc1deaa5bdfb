//! Connections of callers.

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gateway::Settings;

use crate::world::{Act, Backend, World, answer, receive, request};

/// Guards against answers out of order, and against pipelined requests that wait for each other.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = Backend::start(|n, id| {
        let mut acts = answer(id, id);
        if n < 2 {
            acts.insert(0, Act::Wait(Duration::from_millis(200)));
        }
        acts
    });
    let world = World::start(&[&backend]);
    let mut stream = world.connect();
    let start = Instant::now();
    let all = ["a1", "a2", "a3"]
        .map(|id| request("GET", "/read/1", id))
        .concat();
    stream.write_all(&all).unwrap();
    for id in ["a1", "a2", "a3"] {
        let (status, _, body) = receive(&mut stream).unwrap();
        assert_eq!((status, &*body), (200, id));
    }
    assert!(
        start.elapsed() < Duration::from_millis(390),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against GONE: a server goes on working although the caller has left.
#[test]
fn a_request_is_cancelled_when_its_caller_leaves() {
    let backend = Backend::start(|_, id| {
        let mut acts = vec![Act::Wait(Duration::from_secs(3))];
        acts.extend(answer(id, "late"));
        acts
    });
    let world = World::start(&[&backend]);
    let mut stream = world.connect();
    stream.write_all(&request("GET", "/read/1", "a1")).unwrap();
    while backend.count() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(stream);
    let limit = Instant::now() + Duration::from_secs(2);
    while backend.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < limit, "the server still works");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against UNASKED: a body that could be read in two ways smuggles a second request.
#[test]
fn ambiguous_framing_is_refused() {
    let backend = Backend::start(|_, id| answer(id, "done"));
    let world = World::start(&[&backend]);
    for fields in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +5",
    ] {
        let mut stream = world.connect();
        let text = format!(
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a1\r\n{fields}\r\n\r\nhello"
        );
        stream.write_all(text.as_bytes()).unwrap();
        assert_eq!(receive(&mut stream).unwrap().0, 400, "{fields}");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).unwrap();
        assert_eq!(rest, b"", "{fields}");
    }
    assert_eq!(backend.count(), 0);
}

/// Guards against a chunked request body that is lost or changed, sent slowly.
#[test]
fn a_chunked_request_body_arrives_whole() {
    let backend = Backend::start(|_, id| answer(id, "done"));
    let world = World::start(&[&backend]);
    let mut stream = world.connect();
    let text = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a1\r\n\
                Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    for piece in text.as_bytes().chunks(9) {
        stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(receive(&mut stream).unwrap().0, 200);
    let requests = backend.requests.lock().unwrap();
    assert!(requests[0].ends_with("\r\n\r\nhello"), "{}", requests[0]);
}

/// Guards against requests that run by a route of another host or prefix.
#[test]
fn unknown_hosts_and_paths_are_not_found() {
    let backend = Backend::start(|_, id| answer(id, "done"));
    let world = World::start(&[&backend]);
    assert_eq!(world.call("GET", "/other/1", "a1").0, 404);
    assert_eq!(world.call("GET", "/read", "a2").0, 404);
    let mut stream = world.connect();
    stream
        .write_all(b"GET /read/1 HTTP/1.1\r\nHost: other.example\r\nX-Id: a3\r\n\r\n")
        .unwrap();
    assert_eq!(receive(&mut stream).unwrap().0, 404);
    assert_eq!(backend.count(), 0);
}

/// Guards against changed settings that need a restart to take effect, and against a changed
/// address that is announced although nothing listens there.
#[test]
fn changed_settings_take_effect_at_once() {
    let world = World::start(&[]);
    let before = world.node.settings();
    let new = Settings {
        grace_period: Duration::from_secs(9),
        max_shift: 0.5,
        ..(*before).clone()
    };
    assert!(!world.node.update_settings(&new));
    assert_eq!(*world.node.settings(), new);
    let moved = Settings {
        callers: world.readiness,
        ..new.clone()
    };
    assert!(world.node.update_settings(&moved));
    assert_eq!(*world.node.settings(), new);
}
