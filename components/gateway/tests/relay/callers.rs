//! Connections of callers: pipelining, cancellation and request framing.

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gateway::Settings;

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response, read_response, request};

/// Guards against responses out of order, and against pipelined requests that run one after
/// another.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(|n, id| {
        let mut actions = ok_response(id, id);
        if n < 2 {
            actions.insert(0, ServerAction::Wait(Duration::from_millis(200)));
        }
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    let start = Instant::now();
    let all = ["a1", "a2", "a3"]
        .map(|id| request("GET", "/read/1", id))
        .concat();
    stream.write_all(&all).unwrap();
    for id in ["a1", "a2", "a3"] {
        let (status, _, body) = read_response(&mut stream).unwrap();
        assert_eq!((status, &*body), (200, id));
    }
    assert!(
        start.elapsed() < Duration::from_millis(390),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a server that keeps working on an idempotent request after the caller has
/// disconnected.
#[test]
fn request_is_cancelled_when_caller_disconnects() {
    let server = TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_secs(3))];
        actions.extend(ok_response(id, "late"));
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    stream.write_all(&request("GET", "/read/1", "a1")).unwrap();
    while server.count() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(stream);
    let limit = Instant::now() + Duration::from_secs(2);
    while server.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(
            Instant::now() < limit,
            "the request is not cancelled at the server"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against request smuggling: with ambiguous framing, the server could take a part of the
/// body for a second request.
#[test]
fn ambiguous_framing_is_rejected() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    for fields in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +5",
    ] {
        let mut stream = entry_vm.connect();
        let text = format!(
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a1\r\n{fields}\r\n\r\nhello"
        );
        stream.write_all(text.as_bytes()).unwrap();
        assert_eq!(read_response(&mut stream).unwrap().0, 400, "{fields}");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).unwrap();
        assert_eq!(rest, b"", "{fields}");
    }
    assert_eq!(server.count(), 0);
}

/// Guards against a head within the limit of the configuration that is not read to its end, because it
/// is longer than what is read ahead.
#[test]
fn long_head_within_the_limit_is_read() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut routes = (*entry_vm.node.routes().unwrap()).clone();
    routes.generation += 1;
    routes.limits.head_bytes = 200_000;
    assert!(entry_vm.node.set_routes(routes));
    let mut stream = entry_vm.connect();
    let head = String::from_utf8(request("GET", "/read/1", "a1")).unwrap();
    let field = format!("X-Long: {}\r\n\r\n", "x".repeat(150_000));
    stream.write_all(head.trim_end().as_bytes()).unwrap();
    stream.write_all(b"\r\n").unwrap();
    stream.write_all(field.as_bytes()).unwrap();
    assert_eq!(read_response(&mut stream).expect("response").0, 200);
}

/// Guards against a request that waits behind the body of a refused one, which was discarded.
#[test]
fn request_behind_a_refused_body_is_answered() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    // Most of the budget for bodies, 0.4 of 160 MiB, is reserved by a body that does not arrive.
    let upload = |length: usize, id: &str| {
        format!(
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    let mut waiting = entry_vm.connect();
    waiting
        .write_all(upload(60_000_000, "a1").as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let mut stream = entry_vm.connect();
    stream
        .write_all(upload(20_000_000, "a2").as_bytes())
        .unwrap();
    let (status, head, _) = read_response(&mut stream).expect("refusal");
    assert_eq!(status, 503, "{head}");
    assert!(
        head.contains("x-outcome: not-run") && head.contains("Retry-After: 1"),
        "{head}"
    );
    let mut rest = vec![b'x'; 20_000_000];
    rest.extend_from_slice(&request("GET", "/read/1", "a3"));
    stream.write_all(&rest).unwrap();
    let (status, head, _) = read_response(&mut stream).expect("response");
    assert_eq!(status, 200, "{head}");
    assert!(head.contains("a3"), "{head}");
    assert_eq!(server.count(), 1);
}

/// Guards against a chunked request body that arrives in pieces and is lost or changed.
#[test]
fn chunked_request_body_is_complete() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    let text = "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a1\r\n\
                Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
    for piece in text.as_bytes().chunks(9) {
        stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(read_response(&mut stream).unwrap().0, 200);
    let requests = server.requests.lock().unwrap();
    assert!(requests[0].ends_with("\r\n\r\nhello"), "{}", requests[0]);
}

/// Guards against a request that is relayed by a route of another host or prefix.
#[test]
fn unknown_hosts_and_paths_return_404() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(entry_vm.send("GET", "/other/1", "a1").0, 404);
    assert_eq!(entry_vm.send("GET", "/read", "a2").0, 404);
    let mut stream = entry_vm.connect();
    stream
        .write_all(b"GET /read/1 HTTP/1.1\r\nHost: other.example\r\nX-Id: a3\r\n\r\n")
        .unwrap();
    assert_eq!(read_response(&mut stream).unwrap().0, 404);
    assert_eq!(server.count(), 0);
}

/// Guards against changed settings that take effect only after a restart, and against announcing a
/// changed address on which nothing listens yet.
#[test]
fn settings_update_applies_without_restart() {
    let entry_vm = TestEntryVm::start(&[]);
    let before = entry_vm.node.settings();
    let new = Settings {
        grace_period: Duration::from_secs(9),
        max_shift: 0.5,
        ..(*before).clone()
    };
    assert!(!entry_vm.node.update_settings(&new));
    assert_eq!(*entry_vm.node.settings(), new);
    let moved = Settings {
        callers: entry_vm.readiness,
        ..new.clone()
    };
    assert!(entry_vm.node.update_settings(&moved));
    assert_eq!(*entry_vm.node.settings(), new);
}
