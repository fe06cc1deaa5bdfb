//! Status, metrics and configuration endpoints of the operator listener.

use std::collections::BTreeMap;

use config::{EntryVmId, Generation, ServerId, ServiceId};
use http::codes::{self, Code};
use http::{Body, Method, Request, Response, StatusCode, server};
use membership::{Liveness, ProcessState};
use serde::{Deserialize, Serialize};

use crate::node::Node;

/// Status of an entry VM, served as `/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub id: EntryVmId,
    pub domain: Box<str>,
    /// Generation in force; 0 without a configuration.
    pub generation: Generation,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Uptime in seconds.
    pub uptime_s: u64,
    /// Free slots of this VM per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Number of records of binding requests that this VM keeps.
    pub binding_records: usize,
    /// Entry VMs of the failure domain that look-ups name.
    pub candidates: Vec<EntryVmId>,
    /// Base shares in force on this VM, per service and failure domain.
    #[serde(default)]
    pub shares: BTreeMap<ServiceId, routing::Shares>,
    /// Other entry VMs of the failure domain.
    #[serde(default)]
    pub peers: BTreeMap<EntryVmId, PeerStatus>,
    /// Backend servers of the failure domain.
    #[serde(default)]
    pub servers: BTreeMap<ServerId, ServerStatus>,
}

/// Status of another entry VM of the failure domain, from its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Liveness according to its heartbeats.
    #[serde(rename = "heard")]
    pub liveness: PeerLiveness,
    /// Whether its last heartbeat announced a shutdown.
    pub leaving: bool,
    /// Generation in its last heartbeat; 0 before the first one.
    pub generation: Generation,
}

/// Liveness of an entry VM according to its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerLiveness {
    /// Heartbeats arrive.
    Alive,
    /// No heartbeat for a short time, or none so far.
    Suspected,
    /// No heartbeat for so long that the VM counts as failed.
    Dead,
}

/// Status of a backend server of the failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub service: ServiceId,
    pub state: ServerState,
    /// Whether it only gets trial requests after failures or slow responses.
    pub suspended: bool,
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It accepts new work.
    Ready,
    /// It has not finished starting.
    Starting,
    /// It is drained or has announced a shutdown.
    Leaving,
}

/// Serves `/status`, `/metrics` and `/config`. None of them contains key material.
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
    // Each statement releases its lock before the next one locks. In one expression all locks would
    // be held at once, and in a different order than in the agents, which can deadlock.
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
        peers: peer_statuses(node),
        servers: node.admission.servers(),
        shares,
    }
}

fn peer_statuses(node: &Node) -> BTreeMap<EntryVmId, PeerStatus> {
    let Some(cfg) = node.in_force() else {
        return BTreeMap::new();
    };
    let now = node.now();
    let membership = node.lock_membership();
    cfg.entry_vms_of(&node.settings.domain)
        .filter_map(|vm| {
            let liveness = match membership.liveness_of(&vm.id, now)? {
                Liveness::Alive => PeerLiveness::Alive,
                Liveness::Suspected => PeerLiveness::Suspected,
                Liveness::Dead => PeerLiveness::Dead,
            };
            let last = membership.last_heartbeat(&vm.id).map(|(_, hb)| hb);
            let status = PeerStatus {
                liveness,
                leaving: last.is_some_and(|hb| hb.state == ProcessState::Leaving),
                generation: last.map_or(0, |hb| hb.generation),
            };
            Some((vm.id.clone(), status))
        })
        .collect()
}
