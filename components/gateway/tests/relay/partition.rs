//! Requests that are written to a connection whose link is cut.

use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::harness::{
    ServerAction, TestEntryVm, TestServer, ok_response, read_response, request,
    request_with_deadline, server_entry,
};

/// Time after the end of a cut in which the kernel sends again what is still queued.
const RETRANSMISSIONS: Duration = Duration::from_secs(3);
/// Longest time for which a request may be under way to a server: `drain-s` of the platform's
/// shortest bound, 2.5 s, less the 1.5 s by which an entry VM may learn of a stop late.
const MAX_DELIVERY: Duration = Duration::from_secs(1);

/// Starts an entry VM with an idle connection to its server.
fn start_with_idle_connection() -> (TestServer, TestEntryVm) {
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let (status, _, _) = entry_vm.send("GET", "/read/1", "warm");
    assert_eq!(status, 200);
    (server, entry_vm)
}

fn announce_stop(server: &TestServer, entry_vm: &TestEntryVm) {
    entry_vm.node.put_server(dispatch::Server {
        ready: false,
        ..server_entry(0, server.address)
    });
}

/// Sends a request while the link to its server is cut, until it is given up, and returns the number
/// of requests that reach the server after the cut.
fn requests_after_giving_up(method: &str, path: &str) -> usize {
    let (server, entry_vm) = start_with_idle_connection();
    let mut stream = entry_vm.connect();
    server.cut();
    stream
        .write_all(&request_with_deadline(method, path, "a1", 700))
        .unwrap();
    thread::sleep(Duration::from_millis(100));
    announce_stop(&server, &entry_vm);
    let (status, head, _) = read_response(&mut stream).unwrap();
    assert_eq!(status, 504, "{head}");
    server.heal();
    thread::sleep(RETRANSMISSIONS);
    server.count() - 1
}

/// Guards against a binding request that runs after its caller was told that it timed out, at a
/// server that has announced its stop: the kernel goes on sending what was written to a connection
/// that is closed in order (DRAIN).
#[test]
fn order_that_was_given_up_does_not_reach_a_server_after_a_cut() {
    assert_eq!(requests_after_giving_up("POST", "/order/1"), 0);
}

/// Guards against the same for an idempotent request, which would take a slot that counts as free.
#[test]
fn read_that_was_given_up_does_not_reach_a_server_after_a_cut() {
    assert_eq!(requests_after_giving_up("GET", "/read/1"), 0);
}

/// Guards against a request that is still waited for and reaches a server long after it was written,
/// when the server has announced its stop (DRAIN).
#[test]
fn request_is_not_delivered_after_a_cut_that_outlasts_its_delivery_time() {
    let (server, entry_vm) = start_with_idle_connection();
    let mut stream = entry_vm.connect();
    server.cut();
    stream
        .write_all(&request("POST", "/order/1", "a1"))
        .unwrap();
    thread::sleep(Duration::from_millis(100));
    announce_stop(&server, &entry_vm);
    thread::sleep(MAX_DELIVERY + Duration::from_millis(100));
    server.heal();
    let (status, head, _) = read_response(&mut stream).unwrap();
    thread::sleep(RETRANSMISSIONS);
    assert_eq!(server.count(), 1, "{head}");
    assert_eq!(status, 502, "{head}");
}

/// Guards against the time limit for delivery ending a request on which the server is working, when
/// keep-alive probes are lost for a second.
#[test]
fn request_in_progress_survives_lost_keep_alive_probes() {
    let server = TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_millis(2700))];
        actions.extend(ok_response(id, "done"));
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    stream
        .write_all(&request_with_deadline("POST", "/long/1", "a1", 6000))
        .unwrap();
    thread::sleep(Duration::from_millis(700));
    server.cut();
    thread::sleep(Duration::from_secs(1));
    server.heal();
    let (status, head, _) = read_response(&mut stream).unwrap();
    assert_eq!(status, 200, "{head}");
}
