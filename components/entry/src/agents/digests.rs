//! Fetching of the digests of the other failure domains.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use membership::{Digest, DigestWire};
use serde::{Deserialize, Serialize};

use super::short_exchange_options;
use crate::node::Node;

/// URL path of the digest exchange.
pub const PATH: &str = "/peer/digest";

/// Request for the digest of the receiver's failure domain.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DigestRequest {}

/// Shortest time between two digests of the same domain.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Added to the period for each other domain beyond `MIN_PERIOD_DOMAINS`. It bounds the traffic:
/// with 13 other domains, the digests that one entry VM requests and answers take 2.4 KB/s instead
/// of 11 KB/s.
const PERIOD_STEP: Duration = Duration::from_millis(500);
/// Number of other domains up to which the period is `MIN_PERIOD`.
const MIN_PERIOD_DOMAINS: usize = 5;
/// Number of periods without a digest after which a domain counts as dead.
const DEAD_AFTER_PERIODS: u32 = 5;

/// Returns the time between two digests of the same domain when there are `others` other domains.
pub fn period(others: usize) -> Duration {
    let steps = others.saturating_sub(MIN_PERIOD_DOMAINS) as u32;
    MIN_PERIOD + PERIOD_STEP * steps
}

/// Returns the age of its last digest at which a domain counts as dead.
pub fn dead_after(others: usize) -> Duration {
    period(others) * DEAD_AFTER_PERIODS
}

/// Schedule that spreads the digest requests of a period evenly over its ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// Number of requests due, including the fraction left over from earlier ticks.
    due: f64,
    /// Index of the next domain.
    cursor: usize,
    /// Number of other domains at the last tick.
    others: usize,
}

impl Rotation {
    /// Advances by `elapsed` and returns the indexes of the domains that are due: all of them on
    /// the first call and when the number `others` has changed.
    pub fn advance(&mut self, others: usize, elapsed: Duration) -> impl Iterator<Item = usize> {
        let all = others as f64;
        if self.others == others {
            let share = elapsed.as_secs_f64() / period(others).as_secs_f64();
            self.due = (self.due + all * share).min(all);
        } else {
            *self = Rotation {
                due: all,
                cursor: 0,
                others,
            };
        }
        let n = self.due as usize;
        self.due -= n as f64;
        let first = self.cursor;
        self.cursor = (first + n) % others.max(1);
        (first..first + n).map(move |i| i % others)
    }
}

/// Fetches one digest per period from a random entry VM of each other domain.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    let mut rotation = Rotation::default();
    let mut last = Duration::ZERO;
    while let Ok(now) = ticks.recv().await {
        let Some(cfg) = node.in_force() else { continue };
        let mut rng = fastrand::Rng::new();
        let others: Vec<_> = cfg
            .domains()
            .iter()
            .filter(|d| d.id != node.settings.domain)
            .collect();
        let elapsed = now.saturating_sub(std::mem::replace(&mut last, now));
        for i in rotation.advance(others.len(), elapsed) {
            let vms: Vec<_> = cfg.entry_vms_of(&others[i].id).collect();
            if let Some(vm) = rng.choice(&vms) {
                runtime::spawn(fetch(node.clone(), vm.peer_address)).detach();
            }
        }
    }
}

async fn fetch(node: Arc<Node>, address: std::net::SocketAddr) {
    let answer: http::Result<DigestWire> = node
        .call(address, PATH, &DigestRequest {}, &short_exchange_options())
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

/// Builds the digest of this failure domain from the free slots of this VM and those that its peers
/// reported.
pub fn own_digest(node: &Node) -> DigestWire {
    let digest = Digest {
        domain: node.settings.domain.clone(),
        vm: node.identity.vm.clone(),
        generation: node.generation(),
        free_slots: node.domain_free_slots(),
        age: Duration::ZERO,
    };
    DigestWire::from(&digest)
}
