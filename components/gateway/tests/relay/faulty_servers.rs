//! Servers that repeat refusals or stop inside the head of a response.

use std::time::Duration;

use crate::harness::{
    ServerAction, TestEntryVm, TestServer, ok_response, ok_response_bytes, shed_response,
};

/// Refusal that says the request was not run, without the id of a request.
fn unidentified_refusal() -> ServerAction {
    let text = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ServerAction::Send(text.into())
}

/// Guards against a false "not run" and against a second run of a binding request: a faulty server
/// repeats a refusal of an earlier request on a kept connection before it runs the next request.
#[test]
fn repeated_refusal_with_another_id_is_not_taken_for_the_answer() {
    let server = TestServer::start(|n, id| {
        let mut actions = shed_response("a0");
        if n > 0 {
            actions.push(ServerAction::Wait(Duration::from_millis(20)));
            actions.extend(ok_response(id, "done"));
        }
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(entry_vm.send("POST", "/order/1", "a0").0, 503);
    for i in 1..6 {
        let (status, _, body) = entry_vm.send("POST", "/order/1", &format!("a{i}"));
        assert_eq!((status, &*body), (200, "done"), "order {i}");
    }
    assert_eq!(server.count(), 6);
}

/// Guards against the same with a refusal that carries no id, which cannot be told from one of an
/// earlier request: an order that the server ran was refused as not run.
#[test]
fn refusal_without_id_is_not_taken_for_the_answer() {
    for path in ["/order/1", "/read/1"] {
        let server = TestServer::start(|_, id| {
            let mut actions = vec![
                unidentified_refusal(),
                ServerAction::Wait(Duration::from_millis(20)),
            ];
            actions.extend(ok_response(id, "done"));
            actions
        });
        let other = TestServer::start(|_, id| ok_response(id, "done"));
        let entry_vm = TestEntryVm::start(&[&server, &other]);
        let method = if path == "/order/1" { "POST" } else { "GET" };
        for i in 0..9 {
            let (status, _, body) = entry_vm.send(method, path, &format!("a{i}"));
            assert_eq!((status, &*body), (200, "done"), "{path}, request {i}");
        }
        assert_eq!(server.count() + other.count(), 9, "{path}");
    }
}

/// Guards against a binding request that is refused as not run, or run again, if only a refusal
/// without id arrives: the server may have run it.
#[test]
fn refusal_without_id_alone_leaves_the_outcome_unknown() {
    let refuse = |_: usize, _: &str| vec![unidentified_refusal(), ServerAction::Close];
    let (a, b) = (TestServer::start(refuse), TestServer::start(refuse));
    let entry_vm = TestEntryVm::start(&[&a, &b]);
    let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
    assert_eq!(status, 502);
    assert!(head.contains("x-outcome: unknown"), "{head}");
    assert_eq!(a.count() + b.count(), 1);
}

/// Guards against a response that looks complete although the server stopped inside its head.
#[test]
fn response_cut_in_its_head_is_not_a_success() {
    let head_bytes = ok_response_bytes("a00", "body").len() - "body".len();
    let server = TestServer::start(|n, id| {
        let mut bytes = ok_response_bytes(id, "body");
        bytes.truncate(n);
        vec![ServerAction::Send(bytes), ServerAction::Close]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    for cut in 0..head_bytes {
        let (status, head, _) = entry_vm.send("POST", "/order/1", &format!("a{cut:02}"));
        assert_eq!(status, 502, "cut after {cut} bytes");
        assert!(head.contains("x-outcome: unknown"), "{head}");
    }
    assert_eq!(server.count(), head_bytes);
}
