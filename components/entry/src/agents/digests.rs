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

/// Shortest time between two digests of one domain.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Added to the period for each other domain beyond `CHEAP_DOMAINS`. At 13 other domains the
/// digests of one node, asked and answered, are 2.4 KB/s instead of 11 KB/s.
const PERIOD_STEP: Duration = Duration::from_millis(500);
/// Other domains up to which the shortest period is kept.
const CHEAP_DOMAINS: usize = 5;
/// Periods without a digest after which a domain counts as dead.
const DEAD_PERIODS: u32 = 5;

/// Returns the time between two digests of one of `others` other domains.
pub fn period(others: usize) -> Duration {
    let steps = others.saturating_sub(CHEAP_DOMAINS) as u32;
    MIN_PERIOD + PERIOD_STEP * steps
}

/// Returns the age of a digest from which its domain counts as dead.
pub fn dead_after(others: usize) -> Duration {
    period(others) * DEAD_PERIODS
}

/// Spreads the digests of a period evenly over its ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// Digests due, with the fraction left over from earlier ticks.
    due: f64,
    /// Next domain.
    cursor: usize,
    /// Other domains at the last tick.
    others: usize,
}

impl Rotation {
    /// Returns which of `others` other domains are due after `elapsed`; all of them at first and
    /// when their number has changed.
    pub fn take(&mut self, others: usize, elapsed: Duration) -> impl Iterator<Item = usize> {
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

/// Fetches one digest per other domain and period, from a random entry VM of it.
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
        for i in rotation.take(others.len(), elapsed) {
            let vms: Vec<_> = cfg.entry_vms_of(&others[i].id).collect();
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
