//! Tests of the backend server stand-in over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use http::client::{ClientOptions, build_request, parse_json, request};
use http::{Method, Response};
use standins::server::{
    BadAnswer, BadAnswers, Echo, Executions, Health, Server, ServerSettings, ServerState,
    serve_server,
};

/// Runs a test against a fresh stand-in with two slots and a queue of one.
fn run<F: Future<Output = ()>>(
    settings: ServerSettings,
    test: impl FnOnce(Server, SocketAddr) -> F,
) {
    runtime::block_on(1, async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Server::new(settings);
        let (running, stop) = async_channel::bounded(1);
        let task = runtime::spawn(serve_server(listener, server.clone(), stop));
        test(server, addr).await;
        drop(running);
        task.await;
    });
}

fn two_slots() -> ServerSettings {
    ServerSettings {
        slots: 2,
        queue: 1,
        service_time: Duration::from_millis(1),
        ..ServerSettings::default()
    }
}

async fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> http::Result<Response> {
    let mut req = build_request(Method::Get, path).unwrap();
    for (name, value) in headers {
        req.insert_header(*name, *value);
    }
    request(addr, req, &ClientOptions::default()).await
}

/// Waits until the execution log fulfils a condition.
async fn until(server: &Server, holds: impl Fn(&Executions) -> bool) {
    while !holds(&server.executions()) {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against answers that can't be matched with their request.
#[test]
fn answers_echo_the_request() {
    run(two_slots(), |server, addr| async move {
        let headers = [("x-request-id", "r1"), ("x-answer-bytes", "5000")];
        let mut res = get(addr, "/a?b=c", &headers).await.unwrap();
        assert_eq!(res.len(), Some(5000));
        let echo: Echo = parse_json(&mut res).await.unwrap();
        assert_eq!(
            (&*echo.path, &*echo.request_id, &*echo.end),
            ("/a?b=c", "r1", "r1")
        );
        assert_eq!(server.executions().finished, 1);
    });
}

/// Guards against more work in service than slots, and refusals of work that has run.
#[test]
fn work_beyond_slots_and_queue_is_shed() {
    run(two_slots(), |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 1e6);
        let mut tasks: Vec<_> = (0..8)
            .map(|i| {
                let id = format!("e{i}");
                runtime::spawn(async move {
                    (id.clone(), get(addr, "/", &[("x-execution-id", &id)]).await)
                })
            })
            .collect();
        until(&server, |seen| seen.shed == 5).await;
        let seen = server.executions();
        assert_eq!((seen.started, seen.peak_in_service), (2, 2));
        for _ in 0..5 {
            while !tasks.iter().any(Task::is_finished) {
                runtime::sleep(Duration::from_millis(1)).await;
            }
            let done = tasks.iter().position(Task::is_finished).unwrap();
            let (id, res) = tasks.remove(done).await;
            let res = res.unwrap();
            assert_eq!(u16::from(res.status()), 503);
            assert!(res.header("x-not-run").is_some());
            assert!(!seen.executions.contains_key(id.as_str()));
        }
    });
}

/// Guards against slots that stay occupied after a cancellation or deadline, also of work that
/// waits in the queue.
#[test]
fn cancelled_work_frees_its_slot() {
    run(two_slots(), |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 1e6);
        let running: Vec<_> = (0..3)
            .map(|_| runtime::spawn(async move { get(addr, "/", &[]).await }))
            .collect();
        until(&server, |seen| seen.in_service == 2).await;
        let late = get(addr, "/", &[("x-deadline-ms", "5")]).await.unwrap();
        assert_eq!(u16::from(late.status()), 503);
        drop(running);
        until(&server, |seen| seen.in_service == 0).await;
        let ended = get(addr, "/", &[("x-deadline-ms", "300")]).await.unwrap();
        assert_eq!(u16::from(ended.status()), 504);
        let seen = server.executions();
        assert_eq!((seen.deadline_ended, seen.in_service), (1, 0));
        assert_eq!(seen.cancelled, seen.started - 1);
    });
}

/// Guards against binding work that ends with its connection.
#[test]
fn binding_work_outlives_its_connection() {
    let settings = ServerSettings {
        binding: true,
        ..two_slots()
    };
    run(settings, |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 100.0);
        let running = runtime::spawn(async move { get(addr, "/", &[]).await });
        until(&server, |seen| seen.started == 1).await;
        drop(running);
        until(&server, |seen| seen.in_service == 0).await;
        let seen = server.executions();
        assert_eq!((seen.started, seen.finished, seen.cancelled), (1, 1, 0));
    });
}

/// Guards against bad answers that a strict client accepts, which would make them useless.
#[test]
fn bad_answers_are_bad() {
    run(two_slots(), |server, addr| async move {
        let kinds = [
            (BadAnswer::Cut, 1),
            (BadAnswer::TwoLengths, 1),
            (BadAnswer::NoLength, 1),
            (BadAnswer::Close, 1),
            (BadAnswer::CloseBeforeWork, 0),
        ];
        for (kind, runs) in kinds {
            let before = server.executions().started;
            server.set_faults(|f| {
                f.bad_answers = Some(BadAnswers {
                    kind,
                    probability: 1.0,
                    left: Some(1),
                });
            });
            assert!(get(addr, "/", &[]).await.is_err(), "{kind:?}");
            assert_eq!(server.executions().started - before, runs, "{kind:?}");
            assert!(get(addr, "/", &[]).await.is_ok(), "{kind:?}");
        }
    });
}

/// Guards against health answers that stay true when they shall be stale or misleading.
#[test]
fn health_can_be_stale_or_misleading() {
    run(two_slots(), |server, addr| async move {
        let health = || async {
            let mut res = get(addr, "/health", &[]).await.unwrap();
            parse_json::<Health>(&mut res).await.unwrap()
        };
        server.set_faults(|f| f.stale_health = true);
        server.set_faults(|f| f.state = ServerState::Leaving);
        assert_eq!(health().await.state, ServerState::Ready);
        server.set_faults(|f| f.stale_health = false);
        assert_eq!(health().await.state, ServerState::Leaving);
        assert!(get(addr, "/", &[]).await.is_ok());
        assert_eq!(server.executions().arrivals_leaving, 1);
        let lie = Health {
            state: ServerState::Ready,
            busy: 7,
            slots: 9,
        };
        server.set_faults(|f| f.health = Some(lie));
        assert_eq!(health().await, lie);
    });
}
