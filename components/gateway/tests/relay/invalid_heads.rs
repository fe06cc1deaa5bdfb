//! Servers that send a response whose head violates HTTP/1.1.

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response};

/// Encodes a signed response with the body `broken`; the body ends as `framing` says.
fn response_bytes(id: &str, status: &str, framing: Framing) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\nX-Id: {id}\r\nX-Signature: s\r\n");
    let rest = match framing {
        Framing::Length => "Content-Length: 6\r\n\r\nbroken",
        Framing::Chunked => "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
        Framing::UntilClose => "\r\nbroken",
    };
    (head + rest).into_bytes()
}

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];

/// Starts a server that sends `bytes(id)` as its response and closes the connection.
fn start_server(bytes: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static) -> TestServer {
    TestServer::start(move |_, id| vec![ServerAction::Send(bytes(id)), ServerAction::Close])
}

/// Asserts that a caller whose order got this response is told that the outcome is unknown, and that
/// a read gets the response of another server.
fn assert_rejected(case: &str, bytes: impl Fn(&str) -> Vec<u8> + Clone + Send + Sync + 'static) {
    let server = start_server(bytes.clone());
    let entry_vm = TestEntryVm::start(&[&server]);
    for method in ["POST", "HEAD"] {
        let (status, head, _) = entry_vm.send(method, "/order/1", method);
        assert_eq!(status, 502, "{case}, {method}: {head}");
        assert!(
            head.contains("x-outcome: unknown"),
            "{case}, {method}: {head}"
        );
        assert!(!head.contains("X-Signature"), "{case}, {method}: {head}");
    }
    assert_eq!(server.count(), 2, "{case}: sent again");

    let faulty = start_server(bytes);
    let good = TestServer::start(|_, id| ok_response(id, "whole body"));
    let entry_vm = TestEntryVm::start(&[&faulty, &good]);
    for i in 0..4 {
        let (status, _, body) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "whole body"), "{case}, read {i}");
    }
    assert!(faulty.count() > 0, "{case}: no read at the faulty server");
}

/// Guards against a status that HTTP does not define reaching a caller as the answer of a server (MIXED):
/// statuses are 100 to 599.
#[test]
fn response_with_an_invalid_status_is_rejected() {
    for status in ["000", "001", "099", "600", "999"] {
        for framing in FRAMINGS {
            assert_rejected(&format!("{status}, {framing:?}"), move |id| {
                response_bytes(id, status, framing)
            });
        }
    }
}

/// Guards against valid statuses that are rejected because they are unusual.
#[test]
fn response_with_an_unusual_status_is_passed_on() {
    for status in [206, 299, 300, 399, 400, 499, 500, 599] {
        for framing in FRAMINGS {
            let server = start_server(move |id| response_bytes(id, &status.to_string(), framing));
            let entry_vm = TestEntryVm::start(&[&server]);
            let (passed_on, head, body) = entry_vm.send("POST", "/order/1", "a1");
            assert_eq!((passed_on, &*body), (status, "broken"), "{framing:?}");
            assert!(head.contains("X-Signature: s"), "{framing:?}: {head}");
        }
    }
}
