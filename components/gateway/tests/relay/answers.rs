//! Responses of servers: complete, truncated, to other requests, and refusals.

use std::io::{Read, Write};
use std::time::Duration;

use crate::harness::{
    ServerAction, TestEntryVm, TestServer, ok_response, ok_response_bytes, request, shed_response,
};

/// Guards against a request that is changed on its way to the server.
#[test]
fn request_reaches_server_unchanged() {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let (status, head, body) = entry_vm.send("POST", "/order/7?x=1", "a1");
    assert_eq!((status, &*body), (200, "done"));
    assert!(head.contains("X-Signature: s"), "{head}");
    let requests = server.requests.lock().unwrap();
    assert!(
        requests[0].starts_with("POST /order/7?x=1 HTTP/1.1\r\n"),
        "{}",
        requests[0]
    );
    assert!(requests[0].contains("x-server: s0\r\n"), "{}", requests[0]);
    assert!(requests[0].ends_with("\r\n\r\nhello"), "{}", requests[0]);
}

/// Guards against running a binding request twice: after a lost response it must not be retried,
/// since the server may have run it.
#[test]
fn binding_request_is_not_retried_after_lost_response() {
    let close_connection = |_: usize, _: &str| vec![ServerAction::Close];
    let (a, b) = (
        TestServer::start(close_connection),
        TestServer::start(close_connection),
    );
    let entry_vm = TestEntryVm::start(&[&a, &b]);
    let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
    assert_eq!(status, 502);
    assert!(head.contains("x-outcome: unknown"), "{head}");
    assert_eq!(a.count() + b.count(), 1);
}

/// Guards against refusing a request that another server could run. A server that sheds a request
/// has not run it, so even a binding one may be retried.
#[test]
fn shed_binding_request_is_retried_on_another_server() {
    let full = TestServer::start(|_, id| shed_response(id));
    let free = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&full, &free]);
    for i in 0..4 {
        let (status, _, _) = entry_vm.send("POST", "/order/1", &format!("a{i}"));
        assert_eq!(status, 200);
    }
    assert_eq!(free.count(), 4);
}

/// Guards against a wrong outcome in the refusal, and against more attempts than the route allows.
#[test]
fn request_shed_by_all_servers_is_reported_not_run() {
    let servers: Vec<TestServer> = (0..3)
        .map(|_| TestServer::start(|_, id| shed_response(id)))
        .collect();
    let entry_vm = TestEntryVm::start(&servers.iter().collect::<Vec<_>>());
    let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
    assert_eq!(status, 503);
    assert!(head.contains("x-outcome: not-run"), "{head}");
    assert!(head.to_lowercase().contains("retry-after:"), "{head}");
    assert_eq!(servers.iter().map(TestServer::count).sum::<usize>(), 2);
}

/// Script for a response with a status and without a body; `header` is a whole line or empty.
fn bare_response(id: &str, status: u16, header: &str) -> Vec<ServerAction> {
    let text = format!("HTTP/1.1 {status} X\r\nX-Id: {id}\r\n{header}Content-Length: 0\r\n\r\n");
    vec![ServerAction::Send(text.into_bytes())]
}

/// Guards against an order that ran and whose caller is told that it has not: only the header field
/// for it states that a server has not run a request, not the status alone (REFUSED).
#[test]
fn status_alone_does_not_promise_that_an_order_has_not_run() {
    for status in [408, 421, 429, 503] {
        for header in ["", "X-Outcome: not-run\r\n"] {
            let servers =
                [0, 1].map(|_| TestServer::start(move |_, id| bare_response(id, status, header)));
            let entry_vm = TestEntryVm::start(&servers.each_ref());
            let (answer, head, _) = entry_vm.send("POST", "/order/1", "a1");
            assert_eq!(answer, 502, "{status}: {head}");
            assert!(head.contains("x-outcome: unknown"), "{status}: {head}");
            let received: usize = servers.iter().map(TestServer::count).sum();
            assert_eq!(received, 1, "{status}: sent again");
        }
    }
}

/// Guards against a read that fails because one server refuses it without saying that it has not run,
/// although another one can answer.
#[test]
fn refused_read_is_retried() {
    for status in [408, 421, 429, 503] {
        let refusing = TestServer::start(move |_, id| bare_response(id, status, ""));
        let good = TestServer::start(|_, id| ok_response(id, "done"));
        let entry_vm = TestEntryVm::start(&[&refusing, &good]);
        for i in 0..4 {
            let (answer, head, _) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
            assert_eq!(answer, 200, "{status}: {head}");
        }
    }
}

/// Guards against sending a truncated response to the caller although another server can respond.
#[test]
fn truncated_response_is_retried() {
    let truncated = |_: usize, id: &str| {
        let mut bytes = ok_response_bytes(id, "whole body");
        bytes.truncate(bytes.len() - 4);
        vec![ServerAction::Send(bytes), ServerAction::Close]
    };
    let (bad, good) = (
        TestServer::start(truncated),
        TestServer::start(|_, id| ok_response(id, "whole body")),
    );
    let entry_vm = TestEntryVm::start(&[&bad, &good]);
    for i in 0..4 {
        let (status, _, body) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "whole body"));
    }
}

/// Guards against sending the caller a response to another request on the same server connection.
#[test]
fn response_to_another_request_is_skipped() {
    let server = TestServer::start(|_, id| {
        vec![
            ServerAction::Send(ok_response_bytes("someone-else", "wrong")),
            ServerAction::Send(ok_response_bytes(id, "right")),
        ]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let (status, _, body) = entry_vm.send("GET", "/read/1", "a1");
    assert_eq!((status, &*body), (200, "right"));
}

/// Guards against taking an extra response, which arrives after the expected one on a reused
/// connection, for the response to the next request.
#[test]
fn late_extra_response_is_not_given_to_next_request() {
    let server = TestServer::start(|_, id| {
        vec![
            ServerAction::Send(ok_response_bytes(id, "right")),
            ServerAction::Wait(Duration::from_millis(30)),
            ServerAction::Send(ok_response_bytes(id, "extra")),
        ]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..5 {
        let (status, _, body) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "right"), "request {i}");
        std::thread::sleep(Duration::from_millis(20 * i));
    }
}

/// Guards against sending on a 2xx response that no server has signed.
#[test]
fn unsigned_success_is_rejected() {
    let forged = |_: usize, id: &str| {
        let text = format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nno");
        vec![ServerAction::Send(text.into_bytes())]
    };
    let server = TestServer::start(forged);
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(entry_vm.send("POST", "/order/1", "a1").0, 502);
}

/// Guards against losing a body without length, or taking it for truncated.
#[test]
fn body_delimited_by_close_is_complete() {
    let server = TestServer::start(|_, id| {
        let head = format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\r\n");
        vec![
            ServerAction::Send(head.into_bytes()),
            ServerAction::Send(b"first ".to_vec()),
            ServerAction::Wait(Duration::from_millis(20)),
            ServerAction::Send(b"last".to_vec()),
            ServerAction::Close,
        ]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let (status, _, body) = entry_vm.send("GET", "/read/1", "a1");
    assert_eq!((status, &*body), (200, "first last"));
}

/// Guards against a chunked response that loses or gains bytes.
#[test]
fn chunked_response_is_complete() {
    let server = TestServer::start(|_, id| {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
             3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: t\r\n\r\n"
        );
        vec![ServerAction::Send(text.into_bytes())]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..3 {
        let (status, _, body) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "abcdefg"));
    }
}

/// Guards against giving up a slow attempt while no other server has responded.
#[test]
fn slow_response_is_awaited_without_alternative() {
    let server = TestServer::start(|n, id| {
        let mut actions = ok_response(id, "done");
        if n == 30 {
            actions.insert(0, ServerAction::Wait(Duration::from_millis(900)));
        }
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..31 {
        let (status, _, body) = entry_vm.send("GET", "/read/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "done"), "request {i}");
    }
    assert_eq!(server.count(), 31);
}

/// Guards against requests that fail because one of the servers cannot be reached.
#[test]
fn unreachable_server_is_skipped() {
    let gone = TestServer::absent(([127, 0, 0, 1], 9).into());
    let live = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&gone, &live]);
    for i in 0..6 {
        assert_eq!(entry_vm.send("POST", "/order/1", &format!("a{i}")).0, 200);
    }
    assert_eq!(live.count(), 6);
}

/// Guards against a refusal that says that no slot came free, although the only server has free slots and
/// could not be reached.
#[test]
fn refusal_says_that_the_only_server_could_not_be_reached() {
    let gone = TestServer::absent(([127, 0, 0, 1], 9).into());
    let entry_vm = TestEntryVm::start(&[&gone]);
    let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
    assert_eq!(status, 503, "{head}");
    assert!(head.contains("x-result-code: 315"), "{head}");
    assert!(head.contains("x-outcome: not-run"), "{head}");
}

/// Size of a response body that exceeds the gateway's buffer of 256 KiB.
const LONG_BODY_BYTES: usize = 700_000;

fn long_response(id: &str, sent: usize) -> Vec<ServerAction> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    let body: Vec<u8> = (0..sent).map(|i| (i % 251) as u8).collect();
    vec![
        ServerAction::Send(head.into_bytes()),
        ServerAction::Send(body),
        ServerAction::Close,
    ]
}

fn read_to_end(entry_vm: &TestEntryVm, id: &str) -> Vec<u8> {
    let mut stream = entry_vm.connect();
    stream.write_all(&request("GET", "/read/1", id)).unwrap();
    let mut bytes = Vec::new();
    let mut buf = [0; 16_384];
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    bytes
}

/// Guards against a long body that is buffered as a whole, incomplete or changed.
#[test]
fn long_body_is_streamed_completely() {
    let server = TestServer::start(|_, id| long_response(id, LONG_BODY_BYTES));
    let entry_vm = TestEntryVm::start(&[&server]);
    let bytes = read_to_end(&entry_vm, "a1");
    assert!(bytes.ends_with(b"\r\n0\r\n\r\n"));
    let start = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let mut rest = &bytes[start..];
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|w| w == b"\r\n").unwrap();
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..end]).unwrap(), 16).unwrap();
        if size == 0 {
            break;
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 2 + size + 2..];
    }
    assert_eq!(body.len(), LONG_BODY_BYTES);
    assert!(body.iter().enumerate().all(|(i, b)| *b == (i % 251) as u8));
}

/// Guards against a last chunk after a body that the server truncated, by which the caller would
/// take it for complete.
#[test]
fn truncated_long_body_is_not_terminated() {
    let server = TestServer::start(|_, id| long_response(id, LONG_BODY_BYTES / 2));
    let entry_vm = TestEntryVm::start(&[&server]);
    let bytes = read_to_end(&entry_vm, "a1");
    assert!(!bytes.is_empty());
    assert!(!bytes.ends_with(b"0\r\n\r\n"));
}
