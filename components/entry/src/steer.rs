//! Choice between the own failure domain and others.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use http::codes::{self, Code};

use crate::node::Node;
use crate::peer;
use crate::relay;
use crate::request::{Meta, Outgoing};

/// Other failure domains tried for one request.
const MAX_DOMAINS: usize = 2;

/// Serves a request here, or passes it to another failure domain when this one refuses it.
pub async fn serve(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Response {
    let mut code = match relay::serve(node, meta, outgoing).await {
        Ok(res) => return res,
        Err(code) => code,
    };
    if !may_be_served_elsewhere(code) {
        return relay::refuse(code);
    }
    for address in other_domains(node, meta) {
        metrics::counter!("spills_total", "service" => meta.service.to_string()).increment(1);
        match peer::relay_to(node, address, meta, outgoing).await {
            Ok(res) => return res,
            Err(other) => code = other,
        }
    }
    codes::refusal(code, "no failure domain takes the request")
}

/// Tells whether another failure domain may take what this one refused.
pub fn may_be_served_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::NoServer | Code::QueueFull | Code::ServersShed | Code::DomainDrained
    )
}

/// Returns an entry VM of each other domain with free slots, nearest first.
pub fn other_domains(node: &Node, meta: &Meta) -> Vec<SocketAddr> {
    let Some(cfg) = node.in_force() else {
        return Vec::new();
    };
    let now = node.now();
    let own_region = cfg.region(&node.settings.domain).cloned();
    let mut ranked: Vec<(bool, u32, SocketAddr)> = Vec::new();
    let membership = node.lock_membership();
    for domain in cfg
        .domains()
        .iter()
        .filter(|d| d.id != node.settings.domain)
    {
        if cfg.is_domain_drained(&domain.id) {
            continue;
        }
        let free = membership
            .digests
            .get(&domain.id, now)
            .and_then(|(_, digest)| digest.free_slots.get(&meta.service).copied())
            .unwrap_or(0);
        let vms: Vec<_> = cfg.entry_vms_of(&domain.id).collect();
        if let (Some(vm), true) = (fastrand::Rng::new().choice(&vms), free > 0) {
            let far = Some(&domain.region) != own_region.as_ref();
            ranked.push((far, u32::MAX - free, vm.peer_address));
        }
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, _, address)| address)
        .take(MAX_DOMAINS)
        .collect()
}
