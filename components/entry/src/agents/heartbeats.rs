//! Heartbeats between the entry VMs of a failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::{EntryVmId, Generation, ServiceId};
use membership::{Heartbeat, HeartbeatOutcome, HeartbeatWire};
use serde::{Deserialize, Serialize};

use super::{configuration, short_exchange_options};
use crate::node::Node;

/// URL path of heartbeats.
pub const PATH: &str = "/peer/heartbeat";

/// Heartbeat with the state of the slot split at the sender. It is encoded as a `Wire`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Message {
    /// Heartbeat. Its `members` are empty, because only their hash is sent.
    pub heartbeat: HeartbeatWire,
    /// Hash of the members of the slot split that the sender announces.
    pub members_hash: MembersHash,
    /// Generation in force at the sender if all slots in use there fit its quotas, 0 otherwise.
    pub settled_generation: Generation,
    /// Free slots per service at the sender.
    pub service_free_slots: BTreeMap<ServiceId, u32>,
}

/// First 16 bytes of a hash of VM ids, as two big-endian numbers.
pub type MembersHash = (u64, u64);

/// Encoding of a `Message` without field names and member ids, which keeps heartbeats small in
/// domains with many VMs.
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
            m.members_hash,
            hb.ages,
            m.settled_generation,
            m.service_free_slots,
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
            members_hash,
            ages,
            settled_generation,
            service_free_slots,
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
            members_hash,
            settled_generation,
            service_free_slots,
        }
    }
}

/// Returns the hash of a sorted set of VM ids.
pub fn members_hash(members: &[EntryVmId]) -> MembersHash {
    let mut hasher = blake3::Hasher::new();
    for id in members {
        // The length prefixes make the hashed bytes of different sets differ.
        hasher.update(&(id.len() as u64).to_be_bytes());
        hasher.update(id.as_bytes());
    }
    let hash = *hasher.finalize().as_bytes();
    let half = |i: usize| hash[i..i + 8].iter().fold(0, |n, b| n << 8 | u64::from(*b));
    (half(0), half(8))
}

/// Runs a heartbeat round at each tick.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let now = node.now();
        if node.admission.is_settled() {
            node.lock_membership().announce_split();
        }
        for peer in due_peers(&node, now) {
            runtime::spawn(exchange(node.clone(), peer)).detach();
        }
        node.update_quotas();
        node.admission.tick();
        node.steering.update(&node);
    }
}

/// Returns the peers to contact in this round.
///
/// An exchange carries heartbeats in both directions, so peers whose last heartbeat arrived within
/// half a rotation period are skipped. This leaves one exchange per pair and rotation instead of
/// two. If it fails, the other VM starts one at its own turn.
fn due_peers(node: &Node, now: Duration) -> Vec<EntryVmId> {
    let mut membership = node.lock_membership();
    let contacts = membership.peers_to_contact(now, &mut fastrand::Rng::new());
    let min_age = membership.rotation_period() / 2;
    let is_due = |peer: &EntryVmId| {
        let last = membership.last_heartbeat(peer);
        last.is_none_or(|(at, _)| now.saturating_sub(at) >= min_age)
    };
    contacts.into_iter().filter(is_due).collect()
}

/// Sends a heartbeat to a peer and processes the heartbeat in its answer.
async fn exchange(node: Arc<Node>, peer: EntryVmId) {
    let Some(address) = node
        .in_force()
        .and_then(|c| c.entry_vm(&peer).map(|v| v.peer_address))
    else {
        return;
    };
    let message = own_message(&node);
    let answer: http::Result<Message> = node
        .call(address, PATH, &message, &short_exchange_options())
        .await;
    match answer {
        Ok(message) => {
            on_message(&node, message).await;
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

/// Builds the heartbeat of this VM.
pub fn own_message(node: &Node) -> Message {
    let generation = node.generation();
    let service_free_slots = node.admission.free_slots();
    let heartbeat =
        node.lock_membership()
            .heartbeat(generation, service_free_slots.values().sum(), node.now());
    let settled_generation = if node.admission.is_settled() {
        generation
    } else {
        0
    };
    Message {
        members_hash: members_hash(&heartbeat.members),
        heartbeat: HeartbeatWire {
            members: Vec::new(),
            ..HeartbeatWire::from(&heartbeat)
        },
        settled_generation,
        service_free_slots,
    }
}

/// Restores the member ids of a heartbeat from their hash.
///
/// The hash is compared with the member sets that this VM targets or announces. If none matches,
/// the members stay empty, which means that the peer counts other VMs, and the ages are dropped
/// because they cannot be assigned to VMs.
fn restore_members(node: &Node, message: &mut Message) {
    let membership = node.lock_membership();
    let wire = &mut message.heartbeat;
    let candidates = [membership.target_members(), membership.announced_members()];
    match candidates
        .into_iter()
        .find(|set| members_hash(set) == message.members_hash)
    {
        Some(set) if set.len() == wire.ages.len() => wire.members = set.to_vec(),
        _ => wire.ages.clear(),
    }
}

/// Processes a heartbeat of a peer.
pub async fn on_message(node: &Arc<Node>, mut message: Message) {
    restore_members(node, &mut message);
    let Ok(heartbeat) = Heartbeat::try_from(message.heartbeat) else {
        metrics::counter!("heartbeats_invalid_total").increment(1);
        return;
    };
    let outcome = node.lock_membership().on_heartbeat(&heartbeat, node.now());
    match outcome {
        HeartbeatOutcome::Accepted | HeartbeatOutcome::NewIncarnation => {
            node.set_peer_settled(&heartbeat.vm, message.settled_generation);
            node.set_peer_free_slots(&heartbeat.vm, message.service_free_slots);
            node.update_quotas();
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
