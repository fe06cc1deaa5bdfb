//! Requests to the platform stand-in.

use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::faults::WriteFate;
use super::table::{Denied, Write, check_name};
use super::{Platform, VmState};
use crate::connection::{Answer, Call, Reply};

/// Most rows in one answer to a list request.
const MAX_LISTED: usize = 1_000;

/// Body of `POST /table/transact`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transaction {
    writes: Vec<Write>,
}

/// Query of `GET /table`.
#[derive(Deserialize)]
#[serde(default)]
struct ListQuery {
    prefix: String,
    after: String,
    limit: usize,
}

impl Default for ListQuery {
    fn default() -> Self {
        ListQuery {
            prefix: String::new(),
            after: String::new(),
            limit: MAX_LISTED,
        }
    }
}

/// Body of `PUT /vms/ID`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VmChange {
    state: VmState,
}

/// Answers one request.
pub(super) async fn answer(platform: &Platform, call: Call) -> Reply {
    let path = call.req.url().path().to_owned();
    if let Some(answer) = control(platform, &call, &path) {
        return Reply::Answer(answer);
    }
    let (down, slow_ms) = {
        let state = platform.state();
        (state.faults.down, state.faults.slow_ms)
    };
    if !down && slow_ms > 0 {
        Timer::after(Duration::from_millis(slow_ms)).await;
    }
    let transaction = call.req.method() == Method::Post && path == "/table/transact";
    let object_write = call.req.method() == Method::Put && path.starts_with("/objects/");
    let fate = {
        let mut state = platform.state();
        if state.faults.down {
            state.stats.dropped += 1;
            return Reply::Close;
        }
        if transaction || object_write {
            state.faults.next_write(transaction)
        } else {
            WriteFate::Answered
        }
    };
    if fate == WriteFate::RequestLost {
        platform.state().stats.lost_requests += 1;
        return Reply::Close;
    }
    let answer = effect(platform, &call, &path);
    if fate == WriteFate::AnswerLost {
        platform.state().stats.lost_answers += 1;
        return Reply::Close;
    }
    let time_ms = platform.state().time_ms();
    Reply::Answer(answer.with("x-platform-time-ms", time_ms))
}

/// Requests that work while the platform is down.
fn control(platform: &Platform, call: &Call, path: &str) -> Option<Answer> {
    match (call.req.method(), path) {
        (Method::Get, "/stats") => Some(Answer::json(200, &platform.stats())),
        (Method::Get, "/faults") => Some(Answer::json(200, &platform.state().faults)),
        (Method::Post, "/faults") => Some(match parse(&call.body) {
            Ok(faults) => {
                platform.state().switch(faults);
                Answer::json(200, &platform.state().faults)
            }
            Err(answer) => answer,
        }),
        _ => None,
    }
}

fn effect(platform: &Platform, call: &Call, path: &str) -> Answer {
    match (call.req.method(), path) {
        (Method::Get, "/table") => list(platform, call),
        (Method::Post, "/table/transact") => transact(platform, call),
        (Method::Get, "/vms") => {
            let mut state = platform.state();
            state.stats.vm_reads += 1;
            Answer::json(200, &json!({ "vms": state.vms.list() }))
        }
        (method, path) => {
            if let Some(row) = path.strip_prefix("/table/") {
                named(row, || row_request(platform, method, row))
            } else if let Some(name) = path.strip_prefix("/objects/") {
                named(name, || object_request(platform, method, name, &call.body))
            } else if let Some(id) = path.strip_prefix("/vms/") {
                named(id, || vm_request(platform, method, id, &call.body))
            } else {
                Answer::error(404, format!("no such path: {path}"))
            }
        }
    }
}

fn named(name: &str, answer: impl FnOnce() -> Answer) -> Answer {
    match check_name(name) {
        Ok(()) => answer(),
        Err(message) => Answer::error(400, message),
    }
}

fn list(platform: &Platform, call: &Call) -> Answer {
    let query: ListQuery = match call.req.query() {
        Ok(query) => query,
        Err(err) => return Answer::error(400, err.to_string()),
    };
    let mut state = platform.state();
    state.stats.table_reads += 1;
    let limit = query.limit.min(MAX_LISTED);
    let (rows, more) = state.table.list(&query.prefix, &query.after, limit);
    Answer::json(200, &json!({ "rows": rows, "more": more }))
}

fn transact(platform: &Platform, call: &Call) -> Answer {
    let transaction: Transaction = match parse(&call.body) {
        Ok(transaction) => transaction,
        Err(answer) => return answer,
    };
    let mut state = platform.state();
    state.stats.transactions += 1;
    match state.table.transact(&transaction.writes) {
        Ok(version) => Answer::json(200, &json!({ "version": version })),
        Err(Denied::Conflict(rows)) => {
            state.stats.conflicts += 1;
            Answer::json(409, &json!({ "conflicts": rows }))
        }
        Err(Denied::Invalid(message)) => Answer::error(400, message),
        Err(Denied::Full) => Answer::error(507, "the table is full"),
    }
}

fn row_request(platform: &Platform, method: Method, row: &str) -> Answer {
    if method != Method::Get {
        return Answer::error(405, "rows are changed by POST /table/transact");
    }
    let mut state = platform.state();
    state.stats.table_reads += 1;
    let found = state.table.get(row);
    let status = if found.value.is_some() { 200 } else { 404 };
    Answer::json(status, &found)
}

fn object_request(platform: &Platform, method: Method, name: &str, body: &[u8]) -> Answer {
    let mut state = platform.state();
    match method {
        Method::Put => {
            state.stats.object_writes += 1;
            if state.objects.put(name, body) {
                Answer::json(200, &json!({ "bytes": body.len() }))
            } else {
                Answer::error(507, "the object store is full")
            }
        }
        Method::Get => {
            state.stats.object_reads += 1;
            match state.objects.get(name, state.faults.objects) {
                Some(body) => Answer {
                    status: 200,
                    headers: Vec::new(),
                    media: "application/octet-stream",
                    body,
                },
                None => Answer::error(404, format!("no such object: {name}")),
            }
        }
        _ => Answer::error(405, "objects take GET and PUT"),
    }
}

fn vm_request(platform: &Platform, method: Method, id: &str, body: &[u8]) -> Answer {
    match method {
        Method::Put => match parse::<VmChange>(body) {
            Ok(change) => platform.put_vm(id, change.state),
            Err(answer) => return answer,
        },
        Method::Delete => platform.remove_vm(id),
        _ => return Answer::error(405, "VMs take PUT and DELETE"),
    }
    Answer::json(200, &json!({ "id": id }))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Answer> {
    serde_json::from_slice(body).map_err(|err| Answer::error(400, err.to_string()))
}
