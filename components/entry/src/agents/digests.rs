//! Digests of the other failure domains.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use membership::{Digest, DigestWire};
use serde::{Deserialize, Serialize};

use super::short_exchange;
use crate::node::Node;

/// Path of the digest exchange.
pub const PATH: &str = "/peer/digest";

/// Asks for the digest of the receiver's failure domain.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Question {}

/// Fetches one digest per other domain at each tick, from a random entry VM of it.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let Some(cfg) = node.in_force() else { continue };
        let mut rng = fastrand::Rng::new();
        for domain in cfg
            .domains()
            .iter()
            .filter(|d| d.id != node.settings.domain)
        {
            let vms: Vec<_> = cfg.entry_vms_of(&domain.id).collect();
            if let Some(vm) = rng.choice(&vms) {
                runtime::spawn(fetch(node.clone(), vm.peer_address)).detach();
            }
        }
    }
}

async fn fetch(node: Arc<Node>, address: std::net::SocketAddr) {
    let answer: http::Result<DigestWire> = node
        .call(address, PATH, &Question {}, &short_exchange())
        .await;
    match answer {
        Ok(wire) => {
            let digest = Digest::from(wire);
            let generation = digest.generation;
            let now = node.now();
            node.lock_membership().digests.on_digest(digest, now);
            if generation > node.generation() {
                super::configuration::pull(&node, address).await;
            }
        }
        Err(_) => metrics::counter!("digests_failed_total").increment(1),
    }
}

/// Builds the digest of this failure domain: own free slots and those that peers reported.
pub fn own(node: &Node) -> DigestWire {
    let digest = Digest {
        domain: node.settings.domain.clone(),
        vm: node.identity.vm.clone(),
        generation: node.generation(),
        free_slots: node.domain_free_slots(),
        age: Duration::ZERO,
    };
    DigestWire::from(&digest)
}
