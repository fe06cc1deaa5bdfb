//! Requests to the backend server stand-in.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use http_types::Method;

use super::answer::{echo, spoil};
use super::faults::{BadAnswer, ServerFaults};
use super::slots::Slot;
use super::{Server, ServerSettings, State};
use crate::connection::{Answer, Call, Reply};

/// How often a frozen server looks whether it may proceed.
const FROZEN_CHECK: Duration = Duration::from_millis(5);
/// Longest service time.
const MAX_SERVICE: Duration = Duration::from_hours(1);

/// What ended a phase of the work.
enum End<T> {
    Done(T),
    Deadline,
    Closed,
}

/// Answers one request.
pub(super) async fn answer(server: &Server, call: Call) -> Reply {
    if let Some(answer) = control(server, &call) {
        return Reply::Answer(answer);
    }
    let arrived = Instant::now();
    thawed(server).await;
    let reply = work(server, &call, arrived).await;
    thawed(server).await;
    reply
}

async fn work(server: &Server, call: &Call, arrived: Instant) -> Reply {
    if call.req.method() == Method::Get && call.req.url().path() == "/health" {
        return Reply::Answer(Answer::json(200, &server.health()));
    }
    let (bad, shed) = arrive(server);
    if bad == Some(BadAnswer::CloseBeforeWork) {
        return Reply::Close;
    }
    if shed {
        return not_run(server, "shed");
    }
    let deadline = call
        .number("x-deadline-ms")
        .map(|ms| arrived + Duration::from_millis(ms));
    match ended(server, call, deadline, server.slots.acquire()).await {
        End::Closed => Reply::Close,
        End::Deadline => not_run(server, "deadline"),
        End::Done(None) => not_run(server, "queue full"),
        End::Done(Some(slot)) => execute(server, call, deadline, slot, bad).await,
    }
}

/// Requests that work while the server is frozen.
fn control(server: &Server, call: &Call) -> Option<Answer> {
    match (call.req.method(), call.req.url().path()) {
        (Method::Get, "/executions") => Some(Answer::json(200, &server.executions())),
        (Method::Get, "/faults") => Some(Answer::json(200, &server.state().faults)),
        (Method::Post, "/faults") => Some(match serde_json::from_slice(&call.body) {
            Ok(faults) => {
                server.switch(faults);
                Answer::json(200, &server.state().faults)
            }
            Err(err) => Answer::error(400, err.to_string()),
        }),
        _ => None,
    }
}

/// Counts an arrival and decides about its faults.
fn arrive(server: &Server) -> (Option<BadAnswer>, bool) {
    let mut guard = server.state();
    let state = &mut *guard;
    if let Some(since) = state.leaving_since {
        state.log.seen.arrivals_leaving += 1;
        state.log.seen.last_arrival_leaving_ms = since.elapsed().as_millis() as u64;
    }
    let bad = state.faults.next_answer(&mut state.rng);
    state.log.seen.bad_answers += u64::from(bad.is_some());
    (bad, state.faults.shed_all)
}

async fn execute(
    server: &Server,
    call: &Call,
    deadline: Option<Instant>,
    slot: Slot,
    bad: Option<BadAnswer>,
) -> Reply {
    let time = {
        let mut state = server.state();
        state.log.start(&execution_id(call));
        service_time(&server.settings, &mut state)
    };
    let end = ended(server, call, deadline, Timer::after(time)).await;
    thawed(server).await;
    drop(slot);
    let log = &mut server.state().log.seen;
    match end {
        End::Done(_) => log.finished += 1,
        End::Closed => {
            log.cancelled += 1;
            return Reply::Close;
        }
        End::Deadline => {
            log.deadline_ended += 1;
            return Reply::Answer(Answer::error(504, "deadline exceeded during execution"));
        }
    }
    let answer = echo(&server.settings.name, call, server.settings.answer_bytes);
    match bad {
        Some(bad) => spoil(&answer, bad),
        None => Reply::Answer(answer),
    }
}

/// Runs a phase of the work until its deadline; ends it early if the client has gone and the
/// work isn't binding.
async fn ended<T>(
    server: &Server,
    call: &Call,
    deadline: Option<Instant>,
    phase: impl Future<Output = T>,
) -> End<T> {
    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return End::Deadline;
    }
    let expired = async {
        match deadline {
            Some(deadline) => Timer::at(deadline).await,
            None => future::pending().await,
        };
        End::Deadline
    };
    let closed = async {
        if server.settings.binding {
            future::pending::<()>().await;
        }
        call.closed().await;
        End::Closed
    };
    future::or(
        async { End::Done(phase.await) },
        future::or(expired, closed),
    )
    .await
}

/// Waits while the server is frozen.
async fn thawed(server: &Server) {
    while server.state().faults.frozen {
        Timer::after(FROZEN_CHECK).await;
    }
}

fn not_run(server: &Server, why: &str) -> Reply {
    server.state().log.seen.shed += 1;
    Reply::Answer(Answer::error(503, why).with("x-not-run", 1))
}

/// Id under which a request is logged: its header, or the hash of its body.
fn execution_id(call: &Call) -> String {
    match call.header("x-execution-id") {
        Some(id) => id.to_owned(),
        None => blake3::hash(&call.body).to_hex().to_string(),
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
        .unwrap_or(MAX_SERVICE)
        .min(MAX_SERVICE)
}

fn cold_factor(faults: &ServerFaults, since: Instant) -> f64 {
    if since.elapsed() < Duration::from_millis(faults.cold_ms) {
        faults.cold_factor
    } else {
        1.0
    }
}
