//! Datagrams between entry VMs, encoded with `rmp-serde`.

use config::{EntryVmId, Incarnation, RegionId, ServiceId};
use dispatch::{
    AdmissionRequest, Decision, Grant, LoadReport, Member, MemberState, Outcome, Placement,
    PoolSnapshot, RequestId,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest datagram.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// A message between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Describes the sender, which is alive.
    Heartbeat(Member),
    /// The sender is alive; the receiver knows the rest.
    Alive {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// What it does.
        state: MemberState,
        /// Whether it hears of changes from the platform.
        #[serde(rename = "informed")]
        platform_connected: bool,
    },
    /// Asks for the description of the receiver.
    #[serde(rename = "Describe")]
    RequestHeartbeat,
    /// Asks for an echo, to measure the round trip.
    Ping {
        /// Uptime of the sender in microseconds; comes back in the echo.
        sent_us: u64,
    },
    /// Answer to a ping.
    Echo {
        /// Who answers.
        from: EntryVmId,
        /// As in the ping.
        sent_us: u64,
    },
    /// Digest of the members that the sender knows; one that knows others introduces them.
    #[serde(rename = "Compare")]
    MemberDigest(u64),
    /// Members that the receiver may not know.
    #[serde(rename = "Introduce")]
    Members(Vec<Member>),
    /// Asks the keeper of a pool for a slot.
    #[serde(rename = "Ask")]
    Admit(AdmissionRequest),
    /// The request waits.
    #[serde(rename = "Waiting")]
    Queued(RequestId),
    /// The keeper has decided.
    Decided(RequestId, Decision),
    /// A request has ended, or is not wanted any more.
    End {
        /// Which.
        id: RequestId,
        /// Service of the pool.
        service: ServiceId,
        /// How.
        outcome: Outcome,
        /// Load that the server reported.
        load: Option<LoadReport>,
    },
    /// An end has been recorded.
    #[serde(rename = "Ended")]
    EndConfirmed(RequestId),
    /// A slot granted by a former keeper is in use.
    Register {
        /// By which request.
        id: RequestId,
        /// Service of the pool.
        service: ServiceId,
        /// The slot.
        grant: Grant,
        /// Time until the request ends at the latest.
        #[serde(rename = "left")]
        remaining: Duration,
    },
    /// Where a former keeper has placed objects.
    Placement {
        /// Service of the pool.
        service: ServiceId,
        /// Some of its servers.
        placement: Placement,
    },
    /// State of pools that the sender keeps.
    #[serde(rename = "Pools")]
    PoolSnapshots {
        /// Region of the pools.
        region: RegionId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// State by service.
        pools: Vec<(ServiceId, PoolSnapshot)>,
    },
}

/// Encodes a message.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::warn!("event=encode_failed error=\"{e}\"");
            None
        }
    }
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
