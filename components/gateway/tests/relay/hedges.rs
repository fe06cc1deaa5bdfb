//! Requests that are sent to a second server while the first is slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::harness::{ServerAction, TestEntryVm, TestServer, ok_response, routes, shed_response};

/// Requests that let the entry VM learn the usual latency.
const WARM_UP_REQUESTS: usize = 30;

/// Guards against a refusal as not run of a request whose first attempt was lost, because the
/// outcome of the hedge alone decided.
#[test]
fn hedge_that_is_shed_does_not_hide_a_lost_first_attempt() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let start = || {
        let attempts = attempts.clone();
        TestServer::start(move |_, id| {
            if id != "hedged" {
                return ok_response(id, "done");
            }
            if attempts.fetch_add(1, Ordering::SeqCst) == 0 {
                return vec![
                    ServerAction::Wait(Duration::from_millis(400)),
                    ServerAction::Close,
                ];
            }
            let mut actions = shed_response(id);
            actions.insert(0, ServerAction::Wait(Duration::from_millis(800)));
            actions
        })
    };
    let (a, b) = (start(), start());
    let entry_vm = TestEntryVm::start(&[&a, &b]);
    for i in 0..WARM_UP_REQUESTS {
        assert_eq!(entry_vm.send("GET", "/read/1", &format!("a{i}")).0, 200);
    }
    let (status, head, _) = entry_vm.send("GET", "/read/1", "hedged");
    assert_eq!(attempts.load(Ordering::SeqCst), 2, "no hedge was sent");
    assert_eq!(status, 502, "{head}");
    assert!(head.contains("x-outcome: unknown"), "{head}");
}

/// Guards against a refusal as not run of a request that a first server is still working on, because a
/// server that is tried beside it refuses with a status below 500 and counts as its answer.
#[test]
fn hedge_that_is_refused_does_not_end_the_first_attempt() {
    for status in ["421 Misdirected Request", "429 Too Many Requests"] {
        let attempts = Arc::new(AtomicUsize::new(0));
        let start = || {
            let attempts = attempts.clone();
            TestServer::start(move |_, id| {
                if id != "hedged" {
                    return ok_response(id, "done");
                }
                if attempts.fetch_add(1, Ordering::SeqCst) == 0 {
                    let mut actions = vec![ServerAction::Wait(Duration::from_millis(600))];
                    actions.extend(ok_response(id, "slow"));
                    return actions;
                }
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                vec![ServerAction::Send(text.into_bytes())]
            })
        };
        let (a, b) = (start(), start());
        let entry_vm = TestEntryVm::start(&[&a, &b]);
        for i in 0..WARM_UP_REQUESTS {
            assert_eq!(entry_vm.send("GET", "/read/1", &format!("a{i}")).0, 200);
        }
        let (answer, head, body) = entry_vm.send("GET", "/read/1", "hedged");
        assert_eq!(attempts.load(Ordering::SeqCst), 2, "no hedge was sent");
        assert_eq!((answer, &*body), (200, "slow"), "{status}: {head}");
        let cancelled = a.cancelled.load(Ordering::SeqCst) + b.cancelled.load(Ordering::SeqCst);
        assert_eq!(cancelled, 0, "{status}");
    }
}

/// Guards against a request that reaches a server a second time after that server has refused it,
/// because the server of a hedge does not count as tried.
#[test]
fn request_is_not_sent_again_to_the_server_of_a_refused_hedge() {
    for servers in [2, 3] {
        let attempts = Arc::new(AtomicUsize::new(0));
        let started: Vec<TestServer> = (0..servers)
            .map(|_| {
                let attempts = attempts.clone();
                TestServer::start(move |_, id| {
                    if id != "hedged" {
                        return ok_response(id, "done");
                    }
                    match attempts.fetch_add(1, Ordering::SeqCst) {
                        0 => vec![
                            ServerAction::Wait(Duration::from_millis(400)),
                            ServerAction::Close,
                        ],
                        1 => shed_response(id),
                        _ => ok_response(id, "third"),
                    }
                })
            })
            .collect();
        let entry_vm = TestEntryVm::start(&started.iter().collect::<Vec<_>>());
        let mut routes = routes();
        routes.generation += 1;
        for route in routes.hosts.values_mut().flatten() {
            route.max_attempts = 3;
        }
        assert!(entry_vm.node.set_routes(routes));
        for i in 0..WARM_UP_REQUESTS {
            assert_eq!(entry_vm.send("GET", "/read/1", &format!("a{i}")).0, 200);
        }
        let (status, head, _) = entry_vm.send("GET", "/read/1", "hedged");
        let received = |s: &TestServer| {
            let requests = s.requests.lock().unwrap();
            requests.iter().filter(|r| r.contains("hedged")).count()
        };
        let received: Vec<usize> = started.iter().map(received).collect();
        assert_eq!(received, vec![1; servers], "{head}");
        // Without a third server, the lost first attempt decides.
        assert_eq!(status, if servers == 2 { 502 } else { 200 }, "{head}");
    }
}
