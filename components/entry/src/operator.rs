//! Answers to operators.

use std::collections::BTreeMap;

use config::{EntryVmId, Generation, ServerId, ServiceId};
use http::codes::{self, Code};
use http::{Body, Method, Request, Response, StatusCode, server};
use membership::{Liveness, ProcessState};
use serde::{Deserialize, Serialize};

use crate::node::Node;

/// State of one entry VM as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Entry VM.
    pub id: EntryVmId,
    /// Failure domain.
    pub domain: Box<str>,
    /// Generation in force; 0 without a configuration.
    pub generation: Generation,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Uptime in seconds.
    pub uptime_s: u64,
    /// Free slots per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Binding records kept.
    pub binding_records: usize,
    /// Entry VMs that look-ups name.
    pub candidates: Vec<EntryVmId>,
    /// Base shares in force here, per service and failure domain.
    #[serde(default)]
    pub shares: BTreeMap<ServiceId, routing::Shares>,
    /// Other entry VMs of the failure domain.
    #[serde(default)]
    pub peers: BTreeMap<EntryVmId, PeerStatus>,
    /// Backend servers of the failure domain.
    #[serde(default)]
    pub servers: BTreeMap<ServerId, ServerStatus>,
}

/// What an entry VM knows about another one of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Whether its heartbeats arrive.
    pub heard: PeerLiveness,
    /// Whether its last heartbeat said that it is leaving.
    pub leaving: bool,
    /// Generation in its last heartbeat; 0 if none has arrived.
    pub generation: Generation,
}

/// Whether the heartbeats of an entry VM arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerLiveness {
    /// They arrive.
    Alive,
    /// None for a short time, or none so far.
    Suspected,
    /// None for so long that the VM counts as failed.
    Dead,
}

/// What an entry VM knows about a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Service.
    pub service: ServiceId,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Whether it only gets trial requests because it failed or was slow.
    pub suspended: bool,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It is not ready yet.
    Starting,
    /// It is drained or says that it is leaving.
    Leaving,
}

/// Serves `/status`, `/metrics` and `/config`; none of them shows a key.
pub fn serve(node: &Node, req: &Request) -> Response {
    if req.method() != Method::Get {
        return codes::refusal(Code::BadRequest, "operators may only read here");
    }
    match req.url().path() {
        "/status" => server::json_response(200, &status(node)),
        "/metrics" => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(Body::from_string(runtime::recorder::render()));
            res.insert_header("content-type", "text/plain; version=0.0.4");
            res
        }
        "/config" => match node.in_force() {
            Some(cfg) => server::json_response(200, &cfg.configuration),
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
    let shares = node.steering.shares();
    Status {
        id: node.identity.vm.clone(),
        domain: node.settings.domain.clone(),
        generation: node.generation(),
        stopping: node.is_stopping(),
        uptime_s: now.as_secs(),
        free_slots: node.admission.free_slots(),
        binding_records,
        candidates,
        peers: peers(node),
        servers: node.admission.servers(),
        shares,
    }
}

fn peers(node: &Node) -> BTreeMap<EntryVmId, PeerStatus> {
    let Some(cfg) = node.in_force() else {
        return BTreeMap::new();
    };
    let now = node.now();
    let membership = node.lock_membership();
    cfg.entry_vms_of(&node.settings.domain)
        .filter_map(|vm| {
            let heard = match membership.liveness_of(&vm.id, now)? {
                Liveness::Alive => PeerLiveness::Alive,
                Liveness::Suspected => PeerLiveness::Suspected,
                Liveness::Dead => PeerLiveness::Dead,
            };
            let last = membership.last_heartbeat(&vm.id).map(|(_, hb)| hb);
            let status = PeerStatus {
                heard,
                leaving: last.is_some_and(|hb| hb.state == ProcessState::Leaving),
                generation: last.map_or(0, |hb| hb.generation),
            };
            Some((vm.id.clone(), status))
        })
        .collect()
}
