//! Heartbeats between the entry VMs of the domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::{EntryVmId, Generation, ServiceId};
use membership::{Heartbeat, HeartbeatOutcome, HeartbeatWire};
use serde::{Deserialize, Serialize};

use super::{configuration, short_exchange};
use crate::node::Node;

/// Path of heartbeats.
pub const PATH: &str = "/peer/heartbeat";

/// Heartbeat and the generation whose slot split its sender has settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Message {
    /// Heartbeat; `members` is sent as a hash only and empty here.
    pub heartbeat: HeartbeatWire,
    /// Hash of the VMs that the sender counts in its slot split.
    pub counted: MembersHash,
    /// Newest generation under which everything in use fits the sender's slots.
    pub settled: Generation,
    /// Free slots per service at the sender.
    pub free: BTreeMap<ServiceId, u32>,
}

/// Half of a hash of VM ids each.
pub type MembersHash = (u64, u64);

/// Message as sent: without field names and without the ids of all VMs of the domain, which would
/// make it grow with the domain.
#[derive(Clone, Serialize, Deserialize)]
struct Wire(
    Box<str>,
    u64,
    u64,
    u8,
    u64,
    u32,
    MembersHash,
    Vec<u8>,
    Generation,
    BTreeMap<ServiceId, u32>,
);

impl From<Message> for Wire {
    fn from(m: Message) -> Self {
        let hb = m.heartbeat;
        Wire(
            hb.vm,
            hb.incarnation,
            hb.uptime_ms,
            hb.state,
            hb.generation,
            hb.free_slots,
            m.counted,
            hb.ages,
            m.settled,
            m.free,
        )
    }
}

impl From<Wire> for Message {
    fn from(w: Wire) -> Self {
        let Wire(
            vm,
            incarnation,
            uptime_ms,
            state,
            generation,
            free_slots,
            counted,
            ages,
            settled,
            free,
        ) = w;
        Message {
            heartbeat: HeartbeatWire {
                vm,
                incarnation,
                uptime_ms,
                state,
                generation,
                free_slots,
                members: Vec::new(),
                ages,
            },
            counted,
            settled,
            free,
        }
    }
}

/// Returns the hash of a sorted set of VM ids.
pub fn members_hash(members: &[EntryVmId]) -> MembersHash {
    let mut hasher = blake3::Hasher::new();
    for id in members {
        // With the lengths, two sets never hash the same bytes.
        hasher.update(&(id.len() as u64).to_be_bytes());
        hasher.update(id.as_bytes());
    }
    let hash = *hasher.finalize().as_bytes();
    let half = |i: usize| hash[i..i + 8].iter().fold(0, |n, b| n << 8 | u64::from(*b));
    (half(0), half(8))
}

/// Sends heartbeats at each tick.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let now = node.now();
        if node.admission.is_settled() {
            node.lock_membership().announce_split();
        }
        for peer in due(&node, now) {
            runtime::spawn(exchange(node.clone(), peer)).detach();
        }
        node.refresh_split();
        node.admission.tick();
        node.steering.update(&node);
    }
}

/// Returns the peers to contact in this round.
///
/// An exchange carries heartbeats both ways, so a peer that was heard within the last half of a
/// rotation is left out. Of the two exchanges that each pair would have per rotation, one remains;
/// when it fails, the other end makes it up in its own turn.
fn due(node: &Node, now: Duration) -> Vec<EntryVmId> {
    let mut membership = node.lock_membership();
    let contacts = membership.peers_to_contact(now, &mut fastrand::Rng::new());
    let recent = membership.rotation_period() / 2;
    let is_due = |peer: &EntryVmId| {
        let heard = membership.last_heartbeat(peer);
        heard.is_none_or(|(at, _)| now.saturating_sub(at) >= recent)
    };
    contacts.into_iter().filter(is_due).collect()
}

/// Sends one heartbeat and takes the peer's own in return.
async fn exchange(node: Arc<Node>, peer: EntryVmId) {
    let Some(address) = node
        .in_force()
        .and_then(|c| c.entry_vm(&peer).map(|v| v.peer_address))
    else {
        return;
    };
    let message = own(&node);
    let answer: http::Result<Message> = node.call(address, PATH, &message, &short_exchange()).await;
    match answer {
        Ok(message) => {
            take(&node, message).await;
        }
        Err(report) => {
            metrics::counter!("heartbeats_failed_total").increment(1);
            log::debug!(
                "event=heartbeat_failed peer={peer} error=\"{}\"",
                report.current_context()
            );
        }
    }
}

/// Builds the own heartbeat.
pub fn own(node: &Node) -> Message {
    let generation = node.generation();
    let free = node.admission.free_slots();
    let heartbeat = node
        .lock_membership()
        .heartbeat(generation, free.values().sum(), node.now());
    let settled = if node.admission.is_settled() {
        generation
    } else {
        0
    };
    Message {
        counted: members_hash(&heartbeat.members),
        heartbeat: HeartbeatWire {
            members: Vec::new(),
            ..HeartbeatWire::from(&heartbeat)
        },
        settled,
        free,
    }
}

/// Restores the VMs that a peer counts from their hash.
///
/// A set that this VM does not announce itself only tells that the peer does not count the same
/// VMs, as an empty one does; its ages cannot be assigned to VMs then.
fn restore(node: &Node, message: &mut Message) {
    let membership = node.lock_membership();
    let wire = &mut message.heartbeat;
    let known = [membership.target_members(), membership.announced_members()];
    match known
        .into_iter()
        .find(|set| members_hash(set) == message.counted)
    {
        Some(set) if set.len() == wire.ages.len() => wire.members = set.to_vec(),
        _ => wire.ages.clear(),
    }
}

/// Takes a peer's heartbeat.
pub async fn take(node: &Arc<Node>, mut message: Message) {
    restore(node, &mut message);
    let Ok(heartbeat) = Heartbeat::try_from(message.heartbeat) else {
        metrics::counter!("heartbeats_invalid_total").increment(1);
        return;
    };
    let heard = node.lock_membership().on_heartbeat(&heartbeat, node.now());
    match heard {
        HeartbeatOutcome::Accepted | HeartbeatOutcome::NewIncarnation => {
            node.set_peer_settled(&heartbeat.vm, message.settled);
            node.set_peer_free(&heartbeat.vm, message.free);
            node.refresh_split();
        }
        HeartbeatOutcome::DuplicateVmId => {
            log::error!(
                "event=duplicate_vm_id vm={} fix=\"give each VM its own id\"",
                heartbeat.vm
            );
        }
        _ => {}
    }
    if heartbeat.generation > node.generation() {
        let address = node
            .in_force()
            .and_then(|c| c.entry_vm(&heartbeat.vm).map(|v| v.peer_address));
        if let Some(address) = address {
            configuration::pull(node, address).await;
        }
    }
}
