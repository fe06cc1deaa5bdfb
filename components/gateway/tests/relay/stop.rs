//! Graceful stop of an entry VM.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response, read_response, request};

/// Guards against a stop that cuts an open request, or that refuses callers with an older look-up
/// response, and against a readiness check that still reports ready.
#[test]
fn graceful_stop_answers_open_requests_and_reports_not_ready() {
    let server = TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_millis(600))];
        actions.extend(ok_response(id, "done"));
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(readiness_status(&entry_vm), 200);
    let mut stream = entry_vm.connect();
    stream
        .write_all(&request("POST", "/order/1", "a1"))
        .unwrap();
    while server.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    let (tx, rx) = async_channel::bounded(1);
    let node = entry_vm.node.clone();
    let stop = thread::spawn(move || runtime::block_on(1, gateway::run_until(&node, rx)));
    drop(tx);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(readiness_status(&entry_vm), 503);
    let (status, head, body) = read_response(&mut stream).unwrap();
    assert_eq!((status, &*body), (200, "done"));
    assert!(head.contains("Connection: close"), "{head}");
    let (status, _, _) = entry_vm.send("GET", "/read/1", "a2");
    assert_eq!(status, 200);
    stop.join().unwrap();
}

fn readiness_status(entry_vm: &TestEntryVm) -> u16 {
    let mut stream = TcpStream::connect(entry_vm.readiness).unwrap();
    stream
        .write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .unwrap();
    read_response(&mut stream).unwrap().0
}
