//! Servers that send without end, in the head or the body of a response.

use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response, request};

/// Time limit of a request in the tests' route and deadline header.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline by which a request must have ended.
const END_SLACK: Duration = Duration::from_millis(500);

/// What a server sends without end, after the start of a response.
fn endless_responses(id: &str) -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let foreign = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n";
    let garbage = vec![b'x'; 4096];
    vec![
        ("garbage", Vec::new(), garbage.clone()),
        ("head line", head.clone().into(), garbage.clone()),
        ("head fields", head.clone().into(), b"A: b\r\n".repeat(500)),
        (
            "interim",
            Vec::new(),
            b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        ),
        (
            "body without length",
            format!("{head}\r\n").into(),
            garbage.clone(),
        ),
        (
            "chunks",
            chunked.clone().into(),
            b"4\r\nbody\r\n".repeat(300),
        ),
        (
            "chunk extension",
            format!("{chunked}4;").into(),
            garbage.clone(),
        ),
        (
            "trailer fields",
            format!("{chunked}0\r\n").into(),
            b"A: b\r\n".repeat(500),
        ),
        (
            "trailer line",
            format!("{chunked}0\r\nA: ").into(),
            garbage.clone(),
        ),
        ("body of another answer", foreign.into(), garbage),
    ]
}

/// Guards against responses without end, in the head or the body, that hold a server's slot and the
/// memory of the entry VM beyond the deadline, or look complete to the caller.
#[test]
fn endless_response_ends_by_the_deadline() {
    for (name, start, repeated) in endless_responses("a1") {
        let server = TestServer::start(move |n, id| {
            if n > 0 {
                return ok_response(id, "done");
            }
            vec![
                ServerAction::Send(start.clone()),
                ServerAction::SendForever(repeated.clone()),
            ]
        });
        let entry_vm = TestEntryVm::start(&[&server]);
        let begin = Instant::now();
        let mut stream = entry_vm.connect();
        stream
            .write_all(&request("POST", "/order/1", "a1"))
            .unwrap();
        let mut response = Vec::new();
        let mut buf = vec![0; 65_536];
        while let Ok(n @ 1..) = stream.read(&mut buf) {
            response.extend_from_slice(&buf[..n]);
            if response.starts_with(b"HTTP/1.1 50") {
                break;
            }
        }
        let took = begin.elapsed();
        assert!(took < DEADLINE + END_SLACK, "{name}: ended after {took:?}");
        let unsuccessful =
            response.starts_with(b"HTTP/1.1 502") || response.starts_with(b"HTTP/1.1 504");
        let unfinished = response.starts_with(b"HTTP/1.1 200")
            && String::from_utf8_lossy(&response[..200]).contains("chunked")
            && !response.ends_with(b"\r\n0\r\n\r\n");
        assert!(unsuccessful || unfinished, "{name}: looks complete");
        // The connection to the server is closed and its slots are free.
        thread::sleep(Duration::from_millis(100));
        assert_eq!(entry_vm.node.open_requests(), 0, "{name}");
        for i in 0..4 {
            let (status, _, body) = entry_vm.send("POST", "/order/1", &format!("b{i}"));
            assert_eq!((status, &*body), (200, "done"), "{name}, later request {i}");
        }
    }
}

/// Guards against a trailer section without end that holds a slot until the deadline.
#[test]
fn endless_trailer_section_is_rejected_at_once() {
    let server = TestServer::start(|_, id| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n"
        );
        vec![
            ServerAction::Send(head.into_bytes()),
            ServerAction::SendForever(b"A: b\r\n".repeat(500)),
        ]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let begin = Instant::now();
    assert_eq!(entry_vm.send("POST", "/order/1", "a1").0, 502);
    assert!(begin.elapsed() < DEADLINE, "waited for the deadline");
}
