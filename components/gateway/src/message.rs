//! Datagrams between entry VMs, encoded with `rmp-serde`.

use config::{EntryVmId, Incarnation, RegionId, ServiceId};
use dispatch::{
    AdmissionRequest, Capacity, Decision, Grant, LoadReport, Member, MemberState, Outcome,
    Placement, PoolSnapshot, RequestId,
};
use replica::{Era, Position, Version};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest datagram that is received, in bytes.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Full heartbeat: the member list entry of the sender.
    Heartbeat(Member),
    /// Short heartbeat, with the fields that change; the receiver already has the rest.
    Alive {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Lifecycle state of the sender.
        state: MemberState,
        /// Whether the sender receives updates from the platform.
        #[serde(rename = "informed")]
        platform_connected: bool,
    },
    /// Asks the receiver for a full heartbeat; sent in answer to a short one of an unknown member.
    #[serde(rename = "Describe")]
    RequestHeartbeat,
    /// Asks for an echo, to measure the round-trip time.
    Ping {
        /// Uptime of the sender in microseconds; the echo returns it.
        sent_us: u64,
    },
    /// Answer to a ping.
    Echo {
        /// Entry VM that answers.
        from: EntryVmId,
        /// Value from the ping.
        sent_us: u64,
    },
    /// Digest of the sender's member list. A receiver with another digest answers with its members.
    #[serde(rename = "Compare")]
    MemberDigest(u64),
    /// Members that the receiver may be missing.
    #[serde(rename = "Introduce")]
    Members(Vec<Member>),
    /// Asks the pool owner for a slot.
    #[serde(rename = "Ask")]
    Admit(AdmissionRequest),
    /// The pool owner has queued the request.
    #[serde(rename = "Waiting")]
    Queued(RequestId),
    /// The pool owner has decided about the request.
    Decided(RequestId, Decision),
    /// The request has ended or was cancelled; its slot, if it has one, is free.
    End {
        id: RequestId,
        /// Service of the pool.
        service: ServiceId,
        outcome: Outcome,
        /// Load that the server reported.
        load: Option<LoadReport>,
    },
    /// The pool owner has received the end of the request.
    #[serde(rename = "Ended")]
    EndConfirmed(RequestId),
    /// Tells a new pool owner about a slot in use that a former owner granted.
    Register {
        /// Request that uses the slot.
        id: RequestId,
        /// Service of the pool.
        service: ServiceId,
        grant: Grant,
        /// Time until the deadline of the request.
        #[serde(rename = "left")]
        remaining: Duration,
    },
    /// Passes the cache state of a pool from a former owner to the new one.
    Placement {
        /// Service of the pool.
        service: ServiceId,
        /// Cached objects of some of its servers, and the learned service times.
        placement: Placement,
    },
    /// Snapshots of the pools that the sender owns, for the owners in other regions.
    #[serde(rename = "Pools")]
    PoolSnapshots {
        /// Region of the pools.
        region: RegionId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Snapshots by service.
        pools: Vec<(ServiceId, PoolSnapshot)>,
    },
    /// Capacities of members, sent after their member list entries. Versions without it ignore the
    /// message.
    Capacities(Vec<(Incarnation, Capacity)>),
    /// The last change of each table of the platform that the sender has applied. Versions without
    /// it ignore the message.
    #[serde(rename = "LastChangesOfEras")]
    LastChanges(Vec<LastChange>),
    /// The sender reaches no server at the moment; sent with its heartbeats. Versions without it
    /// ignore the message.
    CutOff {
        /// Incarnation of the sender.
        incarnation: Incarnation,
    },
    /// The sender is leaving; sent with its heartbeats. Versions without it ignore the message and
    /// do not name the sender in answers to look-ups.
    Leaving {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Time for which it takes requests; their deadlines must pass before.
        #[serde(rename = "left")]
        remaining: Duration,
    },
}

/// Change of a table of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastChange {
    table: Box<str>,
    /// Era of the platform's store, if it states one.
    era: Option<Era>,
    /// Transaction of the change in its era.
    version: Version,
}

impl From<(&str, Position)> for LastChange {
    fn from((table, position): (&str, Position)) -> Self {
        LastChange {
            table: table.into(),
            era: position.era,
            version: position.version,
        }
    }
}

impl From<LastChange> for (Box<str>, Position) {
    fn from(change: LastChange) -> Self {
        let LastChange {
            table,
            era,
            version,
        } = change;
        (table, Position { era, version })
    }
}

/// Encodes a message. Logs a failure and returns `None`.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::warn!("event=encode_failed error=\"{e}\"");
            None
        }
    }
}

pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
