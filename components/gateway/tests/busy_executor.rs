//! An entry VM whose executor is busy. The test has a process of its own, because it blocks the
//! executor.

#[allow(dead_code)] // Only a part of the harness is used here.
#[path = "relay/harness.rs"]
mod harness;

use std::io::Write;
use std::thread;
use std::time::Duration;

use harness::{
    ServerAction, TestEntryVm, TestServer, ok_response_bytes, read_response, request_with_deadline,
    start_executor,
};

/// Time for which the executor is blocked; longer than the time limit for opening a connection.
const BUSY: Duration = Duration::from_millis(300);
/// Deadline of the requests; the route allows no longer one.
const DEADLINE_MS: u32 = 6000;
const REQUESTS: usize = 3;

/// Guards against a request that is refused because its only server counts as unreachable, although the
/// connection was opened at once and the executor was too busy to notice it within the time limit.
#[test]
fn busy_executor_does_not_take_an_open_connection_for_a_failed_one() {
    start_executor(1);
    let server = TestServer::start(|_, id| {
        let answer = ok_response_bytes(id, "done");
        vec![ServerAction::Send(answer), ServerAction::Close]
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    runtime::spawn(async {
        loop {
            thread::sleep(BUSY);
            // Other tasks run, but the executor is never idle.
            futures_lite::future::yield_now().await;
        }
    })
    .detach();
    for i in 0..REQUESTS {
        let mut stream = entry_vm.connect();
        let request = request_with_deadline("POST", "/long/1", &format!("a{i}"), DEADLINE_MS);
        stream.write_all(&request).unwrap();
        let (status, head, _) = read_response(&mut stream).expect("response");
        assert_eq!(status, 200, "request {i}: {head}");
    }
}
