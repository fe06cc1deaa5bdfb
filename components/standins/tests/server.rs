//! HTTP API and faults of the backend server stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use http::client::{ClientOptions, build_request, parse_json, request};
use http::{Method, Response};
use standins::server::{
    EchoBody, ExecutionStats, Health, ResponseFault, ResponseFaultRule, Server, ServerSettings,
    ServerState, serve_server,
};

/// Runs a test against a new server stand-in, then stops it.
fn run_with_server<F: Future<Output = ()>>(
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

fn two_slots_settings() -> ServerSettings {
    ServerSettings {
        slots: 2,
        max_queue: 1,
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

/// Waits until the stats fulfil a condition.
async fn wait_for_stats(server: &Server, condition: impl Fn(&ExecutionStats) -> bool) {
    while !condition(&server.stats()) {
        runtime::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against responses that can't be matched with their request.
#[test]
fn responses_echo_the_request() {
    run_with_server(two_slots_settings(), |server, addr| async move {
        let headers = [("x-request-id", "r1"), ("x-answer-bytes", "5000")];
        let mut res = get(addr, "/a?b=c", &headers).await.unwrap();
        assert_eq!(res.len(), Some(5000));
        let echo: EchoBody = parse_json(&mut res).await.unwrap();
        assert_eq!(
            (&*echo.path, &*echo.request_id, &*echo.end),
            ("/a?b=c", "r1", "r1")
        );
        assert_eq!(server.stats().finished, 1);
    });
}

/// Guards against more requests in service than slots, and against requests that are reported as
/// not run although they were executed.
#[test]
fn work_beyond_slots_and_queue_is_shed() {
    run_with_server(two_slots_settings(), |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 1e6);
        let mut tasks: Vec<_> = (0..8)
            .map(|i| {
                let id = format!("e{i}");
                runtime::spawn(async move {
                    (id.clone(), get(addr, "/", &[("x-execution-id", &id)]).await)
                })
            })
            .collect();
        wait_for_stats(&server, |stats| stats.shed == 5).await;
        let stats = server.stats();
        assert_eq!((stats.started, stats.peak_in_service), (2, 2));
        for _ in 0..5 {
            while !tasks.iter().any(Task::is_finished) {
                runtime::sleep(Duration::from_millis(1)).await;
            }
            let index = tasks.iter().position(Task::is_finished).unwrap();
            let (id, res) = tasks.remove(index).await;
            let res = res.unwrap();
            assert_eq!(u16::from(res.status()), 503);
            assert!(res.header("x-not-run").is_some());
            assert!(!stats.executions.contains_key(id.as_str()));
        }
    });
}

/// Guards against slots that stay occupied after a request was cancelled or exceeded its deadline,
/// in service or in the queue.
#[test]
fn cancelled_work_frees_its_slot() {
    run_with_server(two_slots_settings(), |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 1e6);
        let running: Vec<_> = (0..3)
            .map(|_| runtime::spawn(async move { get(addr, "/", &[]).await }))
            .collect();
        wait_for_stats(&server, |stats| stats.in_service == 2).await;
        let expired_in_queue = get(addr, "/", &[("x-deadline-ms", "5")]).await.unwrap();
        assert_eq!(u16::from(expired_in_queue.status()), 503);
        drop(running);
        wait_for_stats(&server, |stats| stats.in_service == 0).await;
        let expired_in_service = get(addr, "/", &[("x-deadline-ms", "300")]).await.unwrap();
        assert_eq!(u16::from(expired_in_service.status()), 504);
        let stats = server.stats();
        assert_eq!((stats.deadline_ended, stats.in_service), (1, 0));
        assert_eq!(stats.cancelled, stats.started - 1);
    });
}

/// Guards against binding work that is cancelled when its connection closes.
#[test]
fn binding_work_outlives_its_connection() {
    let settings = ServerSettings {
        binding: true,
        ..two_slots_settings()
    };
    run_with_server(settings, |server, addr| async move {
        server.set_faults(|f| f.slow_factor = 100.0);
        let running = runtime::spawn(async move { get(addr, "/", &[]).await });
        wait_for_stats(&server, |stats| stats.started == 1).await;
        drop(running);
        wait_for_stats(&server, |stats| stats.in_service == 0).await;
        let stats = server.stats();
        assert_eq!((stats.started, stats.finished, stats.cancelled), (1, 1, 0));
    });
}

/// Guards against response faults that a strict client accepts, so that they would test nothing.
#[test]
fn response_faults_fail_requests() {
    run_with_server(two_slots_settings(), |server, addr| async move {
        let faults = [
            (ResponseFault::Truncate, 1),
            (ResponseFault::TwoLengths, 1),
            (ResponseFault::NoLength, 1),
            (ResponseFault::Close, 1),
            (ResponseFault::CloseBeforeWork, 0),
        ];
        for (kind, executions) in faults {
            let started_before = server.stats().started;
            server.set_faults(|f| {
                f.bad_answers = Some(ResponseFaultRule {
                    kind,
                    probability: 1.0,
                    left: Some(1),
                });
            });
            assert!(get(addr, "/", &[]).await.is_err(), "{kind:?}");
            assert_eq!(
                server.stats().started - started_before,
                executions,
                "{kind:?}"
            );
            assert!(get(addr, "/", &[]).await.is_ok(), "{kind:?}");
        }
    });
}

/// Guards against `/health` reporting the actual health while a fault makes it stale or wrong.
#[test]
fn health_can_be_stale_or_wrong() {
    run_with_server(two_slots_settings(), |server, addr| async move {
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
        assert_eq!(server.stats().arrivals_leaving, 1);
        let wrong_health = Health {
            state: ServerState::Ready,
            busy: 7,
            slots: 9,
        };
        server.set_faults(|f| f.health = Some(wrong_health));
        assert_eq!(health().await, wrong_health);
    });
}
