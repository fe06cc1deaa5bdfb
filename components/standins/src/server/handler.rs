//! HTTP API of the backend server stand-in.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use http_types::Method;

use super::faults::{ResponseFault, ServerFaults};
use super::response::{apply_fault, echo_response};
use super::slots::Slot;
use super::{Server, ServerSettings, State};
use crate::connection::{ReceivedRequest, Reply, Response};

const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Service times beyond this are capped, as large fault factors could overflow a `Duration`.
const MAX_SERVICE_TIME: Duration = Duration::from_hours(1);

/// How a phase of the work ended.
enum PhaseEnd<T> {
    Completed(T),
    DeadlineExceeded,
    ClientDisconnected,
}

pub(super) async fn handle_request(server: &Server, request: ReceivedRequest) -> Reply {
    if let Some(response) = handle_control_request(server, &request) {
        return Reply::Response(response);
    }
    let arrived = Instant::now();
    wait_until_unfrozen(server).await;
    let reply = process_request(server, &request, arrived).await;
    wait_until_unfrozen(server).await;
    reply
}

async fn process_request(server: &Server, request: &ReceivedRequest, arrived: Instant) -> Reply {
    if request.head.method() == Method::Get && request.head.url().path() == "/health" {
        return Reply::Response(Response::json(200, &server.health()));
    }
    let (fault, shed_all) = record_arrival(server);
    if fault == Some(ResponseFault::CloseBeforeWork) {
        return Reply::Close;
    }
    if shed_all {
        return shed(server, "shed");
    }
    let deadline = request
        .header_as_number("x-deadline-ms")
        .map(|ms| arrived + Duration::from_millis(ms));
    match run_phase(server, request, deadline, server.slots.acquire()).await {
        PhaseEnd::ClientDisconnected => Reply::Close,
        PhaseEnd::DeadlineExceeded => shed(server, "deadline"),
        PhaseEnd::Completed(None) => shed(server, "queue full"),
        PhaseEnd::Completed(Some(slot)) => execute(server, request, deadline, slot, fault).await,
    }
}

/// Handles requests that are served even while the server is frozen; `None` for all others.
fn handle_control_request(server: &Server, request: &ReceivedRequest) -> Option<Response> {
    match (request.head.method(), request.head.url().path()) {
        (Method::Get, "/executions") => Some(Response::json(200, &server.stats())),
        (Method::Get, "/faults") => Some(Response::json(200, &server.state().faults)),
        (Method::Post, "/faults") => Some(match serde_json::from_slice(&request.body) {
            Ok(faults) => {
                server.replace_faults(faults);
                Response::json(200, &server.state().faults)
            }
            Err(err) => Response::error(400, err.to_string()),
        }),
        _ => None,
    }
}

/// Records the arrival of a request; returns its response fault, and whether `shed_all` is set.
fn record_arrival(server: &Server) -> (Option<ResponseFault>, bool) {
    let mut guard = server.state();
    let state = &mut *guard;
    if let Some(since) = state.leaving_since {
        state.log.stats.arrivals_leaving += 1;
        state.log.stats.last_arrival_leaving_ms = since.elapsed().as_millis() as u64;
    }
    let fault = state.faults.next_response_fault(&mut state.rng);
    state.log.stats.bad_answers += u64::from(fault.is_some());
    (fault, state.faults.shed_all)
}

async fn execute(
    server: &Server,
    request: &ReceivedRequest,
    deadline: Option<Instant>,
    slot: Slot,
    fault: Option<ResponseFault>,
) -> Reply {
    let service_time = {
        let mut state = server.state();
        state.log.record_start(&execution_id(request));
        service_time(&server.settings, &mut state)
    };
    let end = run_phase(server, request, deadline, Timer::after(service_time)).await;
    wait_until_unfrozen(server).await;
    drop(slot);
    let stats = &mut server.state().log.stats;
    match end {
        PhaseEnd::Completed(_) => stats.finished += 1,
        PhaseEnd::ClientDisconnected => {
            stats.cancelled += 1;
            return Reply::Close;
        }
        PhaseEnd::DeadlineExceeded => {
            stats.deadline_ended += 1;
            return Reply::Response(Response::error(504, "deadline exceeded during execution"));
        }
    }
    let response = echo_response(
        &server.settings.name,
        request,
        server.settings.default_response_bytes,
    );
    match fault {
        Some(fault) => apply_fault(&response, fault),
        None => Reply::Response(response),
    }
}

/// Runs a phase of the work until the deadline. Unless the work is binding, the phase also ends when
/// the client closes the connection.
async fn run_phase<T>(
    server: &Server,
    request: &ReceivedRequest,
    deadline: Option<Instant>,
    phase: impl Future<Output = T>,
) -> PhaseEnd<T> {
    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return PhaseEnd::DeadlineExceeded;
    }
    let expired = async {
        match deadline {
            Some(deadline) => Timer::at(deadline).await,
            None => future::pending().await,
        };
        PhaseEnd::DeadlineExceeded
    };
    let closed = async {
        if server.settings.binding {
            future::pending::<()>().await;
        }
        request.client_disconnected().await;
        PhaseEnd::ClientDisconnected
    };
    future::or(
        async { PhaseEnd::Completed(phase.await) },
        future::or(expired, closed),
    )
    .await
}

async fn wait_until_unfrozen(server: &Server) {
    while server.state().faults.frozen {
        Timer::after(FROZEN_POLL_INTERVAL).await;
    }
}

fn shed(server: &Server, reason: &str) -> Reply {
    server.state().log.stats.shed += 1;
    Reply::Response(Response::error(503, reason).with_header("x-not-run", 1))
}

/// Returns the id for the execution log: the header `x-execution-id`, or else the hash of the body.
fn execution_id(request: &ReceivedRequest) -> String {
    match request.header("x-execution-id") {
        Some(id) => id.to_owned(),
        None => blake3::hash(&request.body).to_hex().to_string(),
    }
}

fn service_time(settings: &ServerSettings, state: &mut State) -> Duration {
    let mut factor = state.faults.slow_factor * cold_factor(&state.faults, state.cold_since);
    if settings.exponential {
        factor *= -(1.0 - state.rng.f64()).ln();
    }
    if state.rng.f64() < settings.straggler_probability {
        factor *= settings.straggler_factor;
    }
    let seconds = settings.service_time.as_secs_f64() * factor;
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_SERVICE_TIME)
        .min(MAX_SERVICE_TIME)
}

fn cold_factor(faults: &ServerFaults, cold_since: Instant) -> f64 {
    if cold_since.elapsed() < Duration::from_millis(faults.cold_ms) {
        faults.cold_factor
    } else {
        1.0
    }
}
