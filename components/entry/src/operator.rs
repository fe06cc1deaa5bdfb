//! Answers to operators.

use std::collections::BTreeMap;

use config::{EntryVmId, Generation, ServiceId};
use http::codes::{self, Code};
use http::{Body, Method, Request, Response, StatusCode, server};
use serde::Serialize;

use crate::node::Node;

/// State of one entry VM as operators see it.
#[derive(Debug, Serialize)]
struct Status {
    /// Entry VM.
    id: EntryVmId,
    /// Failure domain.
    domain: Box<str>,
    /// Generation in force; 0 without a configuration.
    generation: Generation,
    /// Whether the process is stopping.
    stopping: bool,
    /// Uptime in seconds.
    uptime_s: u64,
    /// Free slots per service.
    free_slots: BTreeMap<ServiceId, u32>,
    /// Binding records kept.
    binding_records: usize,
    /// Entry VMs that look-ups name.
    candidates: Vec<EntryVmId>,
    /// Base shares in force here, per service and failure domain.
    shares: BTreeMap<ServiceId, routing::Shares>,
}

/// Serves `/status`, `/metrics` and `/config`; none of them shows a key.
pub fn serve(node: &Node, req: &Request) -> Response {
    if req.method() != Method::Get {
        return codes::refusal(Code::BadRequest, "operators may only read here");
    }
    match req.url().path() {
        "/status" => server::json(200, &status(node)),
        "/metrics" => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(Body::from_string(runtime::recorder::render()));
            res.insert_header("content-type", "text/plain; version=0.0.4");
            res
        }
        "/config" => match node.in_force() {
            Some(cfg) => server::json(200, &cfg.configuration),
            None => codes::refusal(Code::NoConfiguration, ""),
        },
        path => codes::refusal(Code::NotFound, path),
    }
}

fn status(node: &Node) -> Status {
    let now = node.now();
    // Each lock is released before the next is taken; inside one expression they would be held
    // together, in another order than the agents take them.
    let binding_records = node.lock_work().records.len();
    let candidates = node.lock_membership().look_up_candidates(now);
    let shares = node.steers.shares();
    Status {
        id: node.identity.vm.clone(),
        domain: node.settings.domain.clone(),
        generation: node.generation(),
        stopping: node.is_stopping(),
        uptime_s: now.as_secs(),
        free_slots: node.admission.free_slots(),
        binding_records,
        candidates,
        shares,
    }
}
