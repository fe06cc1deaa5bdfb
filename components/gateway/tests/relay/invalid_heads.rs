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

/// Guards against a field name with a blank or control byte, before, in or behind it: the caller would get the
/// field under another name, or a body that is not the server's (MIXED).
#[test]
fn response_with_an_invalid_field_name_is_rejected() {
    let mut accepted = Vec::new();
    for framing in ["Content-Length: 6", "Transfer-Encoding: chunked"] {
        let fields = format!("X-Id: ID\r\nX-Signature: s\r\nX-Other: o\r\n{framing}\r\n");
        let cases = insertions_into_names(&fields);
        let (scripted, whole) = (cases.clone(), fields.clone());
        let server = TestServer::start(move |n, id| {
            let (at, byte) = scripted[n];
            let (before, behind) = whole.split_at(at);
            let fields = format!("{before}{}{behind}", char::from(byte)).replace("ID", id);
            let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n6\r\nbroken\r\n0\r\n\r\n");
            vec![
                ServerAction::Send(response.into_bytes()),
                ServerAction::Close,
            ]
        });
        let entry_vm = TestEntryVm::start(&[&server]);
        for (i, (at, byte)) in cases.iter().enumerate() {
            let (status, head, body) = entry_vm.send("POST", "/order/1", &format!("a{i}"));
            if status != 502 || head.contains("X-Signature") {
                let before = &fields[..*at];
                accepted.push(format!("{byte:#04x} after {before:?}: {status} {body:?}"));
            }
        }
        assert_eq!(server.count(), cases.len(), "sent again");
    }
    assert!(accepted.is_empty(), "accepted:\n{}", accepted.join("\n"));
}

/// Returns the positions in and around the names of header fields, each with all blank and control bytes.
fn insertions_into_names(fields: &str) -> Vec<(usize, u8)> {
    let mut cases = Vec::new();
    let mut start = 0;
    for line in fields.split_inclusive("\r\n") {
        let name_end = start + line.find(':').unwrap();
        let bytes = (0..=b' ').chain([0x7f]);
        cases.extend(bytes.flat_map(|byte| (start..=name_end).map(move |at| (at, byte))));
        start += line.len();
    }
    cases
}

/// Guards against a trailer that is no header field and reaches the caller, or is taken for a part of the body or
/// of the next response (MIXED).
#[test]
fn trailer_that_is_no_field_is_not_passed_on() {
    for trailer in ["X Bad: t", "X-Bad\t: t", "\u{1}X-Bad: t", ": Bad", "Bad"] {
        let server = TestServer::start(move |n, id| {
            if n % 2 == 1 {
                return ok_response(id, "next");
            }
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\
                 Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n{trailer}\r\n\r\n"
            );
            vec![ServerAction::Send(response.into_bytes())]
        });
        let entry_vm = TestEntryVm::start(&[&server]);
        let (status, head, body) = entry_vm.send("POST", "/order/1", "a1");
        assert!(!head.contains("Bad"), "{trailer:?}: {head}");
        assert!(
            status == 502 || (status, &*body) == (200, "broken"),
            "{trailer:?}: {status} {body}"
        );
        let (status, _, body) = entry_vm.send("POST", "/order/1", "a2");
        assert_eq!((status, &*body), (200, "next"), "{trailer:?}");
    }
}
