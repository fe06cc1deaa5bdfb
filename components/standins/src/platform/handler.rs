//! HTTP API of the platform stand-in.

use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::faults::WriteFault;
use super::table::{Put, TransactionError, check_name};
use super::{Platform, VmState};
use crate::connection::{ReceivedRequest, Reply, Response};

/// Page size limit of `GET /table`.
const MAX_LISTED_ROWS: usize = 1_000;

/// Body of `POST /table/transact`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransactionRequest {
    writes: Vec<Put>,
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
            limit: MAX_LISTED_ROWS,
        }
    }
}

/// Body of `PUT /vms/ID`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PutVmRequest {
    state: VmState,
}

pub(super) async fn handle_request(platform: &Platform, request: ReceivedRequest) -> Reply {
    let path = request.head.url().path().to_owned();
    if let Some(response) = handle_control_request(platform, &request, &path) {
        return Reply::Response(response);
    }
    let (down, slow_ms) = {
        let state = platform.state();
        (state.faults.down, state.faults.slow_ms)
    };
    if !down && slow_ms > 0 {
        Timer::after(Duration::from_millis(slow_ms)).await;
    }
    let transaction = request.head.method() == Method::Post && path == "/table/transact";
    let object_write = request.head.method() == Method::Put && path.starts_with("/objects/");
    let fault = {
        let mut state = platform.state();
        if state.faults.down {
            state.stats.dropped += 1;
            return Reply::Close;
        }
        if transaction || object_write {
            state.faults.next_write_fault(transaction)
        } else {
            WriteFault::None
        }
    };
    if fault == WriteFault::LoseRequest {
        platform.state().stats.lost_requests += 1;
        return Reply::Close;
    }
    let response = execute(platform, &request, &path);
    if fault == WriteFault::LoseResponse {
        platform.state().stats.lost_answers += 1;
        return Reply::Close;
    }
    let time_ms = platform.state().time_ms();
    Reply::Response(response.with_header("x-platform-time-ms", time_ms))
}

/// Handles requests that are served even while the platform is down; `None` for all others.
fn handle_control_request(
    platform: &Platform,
    request: &ReceivedRequest,
    path: &str,
) -> Option<Response> {
    match (request.head.method(), path) {
        (Method::Get, "/stats") => Some(Response::json(200, &platform.stats())),
        (Method::Get, "/faults") => Some(Response::json(200, &platform.state().faults)),
        (Method::Post, "/faults") => Some(match parse_json(&request.body) {
            Ok(faults) => {
                platform.state().replace_faults(faults);
                Response::json(200, &platform.state().faults)
            }
            Err(response) => response,
        }),
        _ => None,
    }
}

fn execute(platform: &Platform, request: &ReceivedRequest, path: &str) -> Response {
    match (request.head.method(), path) {
        (Method::Get, "/table") => list_rows(platform, request),
        (Method::Post, "/table/transact") => transact(platform, request),
        (Method::Get, "/vms") => {
            let mut state = platform.state();
            state.stats.vm_reads += 1;
            Response::json(200, &json!({ "vms": state.vms.list() }))
        }
        (method, path) => {
            if let Some(row) = path.strip_prefix("/table/") {
                with_valid_name(row, || row_request(platform, method, row))
            } else if let Some(name) = path.strip_prefix("/objects/") {
                with_valid_name(name, || {
                    object_request(platform, method, name, &request.body)
                })
            } else if let Some(id) = path.strip_prefix("/vms/") {
                with_valid_name(id, || vm_request(platform, method, id, &request.body))
            } else {
                Response::error(404, format!("no such path: {path}"))
            }
        }
    }
}

fn with_valid_name(name: &str, response: impl FnOnce() -> Response) -> Response {
    match check_name(name) {
        Ok(()) => response(),
        Err(message) => Response::error(400, message),
    }
}

fn list_rows(platform: &Platform, request: &ReceivedRequest) -> Response {
    let query: ListQuery = match request.head.query() {
        Ok(query) => query,
        Err(err) => return Response::error(400, err.to_string()),
    };
    let mut state = platform.state();
    state.stats.table_reads += 1;
    let limit = query.limit.min(MAX_LISTED_ROWS);
    let (rows, more) = state.table.list(&query.prefix, &query.after, limit);
    Response::json(200, &json!({ "rows": rows, "more": more }))
}

fn transact(platform: &Platform, request: &ReceivedRequest) -> Response {
    let transaction: TransactionRequest = match parse_json(&request.body) {
        Ok(transaction) => transaction,
        Err(response) => return response,
    };
    let mut state = platform.state();
    state.stats.transactions += 1;
    match state.table.transact(&transaction.writes) {
        Ok(version) => Response::json(200, &json!({ "version": version })),
        Err(TransactionError::Conflict(rows)) => {
            state.stats.conflicts += 1;
            Response::json(409, &json!({ "conflicts": rows }))
        }
        Err(TransactionError::Invalid(message)) => Response::error(400, message),
        Err(TransactionError::TableFull) => Response::error(507, "the table is full"),
    }
}

fn row_request(platform: &Platform, method: Method, row: &str) -> Response {
    if method != Method::Get {
        return Response::error(405, "rows are changed by POST /table/transact");
    }
    let mut state = platform.state();
    state.stats.table_reads += 1;
    let found = state.table.get(row);
    let status = if found.value.is_some() { 200 } else { 404 };
    Response::json(status, &found)
}

fn object_request(platform: &Platform, method: Method, name: &str, body: &[u8]) -> Response {
    let mut state = platform.state();
    match method {
        Method::Put => {
            state.stats.object_writes += 1;
            if state.objects.put(name, body) {
                Response::json(200, &json!({ "bytes": body.len() }))
            } else {
                Response::error(507, "the object store is full")
            }
        }
        Method::Get => {
            state.stats.object_reads += 1;
            match state.objects.get(name, state.faults.objects) {
                Some(body) => Response {
                    status: 200,
                    headers: Vec::new(),
                    media_type: "application/octet-stream",
                    body,
                },
                None => Response::error(404, format!("no such object: {name}")),
            }
        }
        _ => Response::error(405, "objects take GET and PUT"),
    }
}

fn vm_request(platform: &Platform, method: Method, id: &str, body: &[u8]) -> Response {
    match method {
        Method::Put => match parse_json::<PutVmRequest>(body) {
            Ok(change) => platform.put_vm(id, change.state),
            Err(response) => return response,
        },
        Method::Delete => platform.remove_vm(id),
        _ => return Response::error(405, "VMs take PUT and DELETE"),
    }
    Response::json(200, &json!({ "id": id }))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|err| Response::error(400, err.to_string()))
}
