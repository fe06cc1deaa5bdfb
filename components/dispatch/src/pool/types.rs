//! Requests for slots and the decisions about them, as entry VMs exchange them.

use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, Incarnation, RegionId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Incarnation of the entry VM that asks, and its number for the request.
pub type AskId = (Incarnation, u64);

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identifies the request and the entry VM.
    pub id: AskId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Failure domain of the entry VM.
    pub domain: DomainId,
    /// Time that is left of the target latency.
    pub target_left: Duration,
    /// Time until the caller or the route gives up.
    pub deadline_left: Duration,
    /// Time for which the caller has already waited.
    pub waited: Duration,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Whether the request was sent to a server before.
    pub repeat: bool,
    /// Whether it takes only a slot that nothing else waits for, and does not wait itself.
    pub spare: bool,
    /// Whether it is asked of a pool that another entry VM should keep. Other pools may admit
    /// requests to the same cold servers, so this one does not.
    pub stopgap: bool,
    /// Hash of the object that it concerns, if servers answer faster for known objects.
    pub object: Option<u64>,
    /// Servers that it must not be sent to.
    pub avoid: SmallVec<[ServerId; 2]>,
    /// Regions to which it may be forwarded.
    pub regions: SmallVec<[RegionId; 2]>,
}

/// A slot of a server, granted to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The server.
    pub server: ServerId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether the server is cold, as far as the keeper knows.
    pub cold: bool,
    /// Time after which the attempt counts as slow.
    pub slow_after: Duration,
}

/// Why a request is refused; none of these requests has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// No slot came free in time.
    Overloaded,
    /// The service has no usable server.
    NoServers,
    /// The retry budget is spent.
    RetryBudget,
}

impl RefuseReason {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            RefuseReason::Overloaded => "overloaded",
            RefuseReason::NoServers => "no_servers",
            RefuseReason::RetryBudget => "retry_budget",
        }
    }
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Send it to this server.
    Grant(Grant),
    /// Pass it on to the keeper of the pool of this region.
    Forward(RegionId),
    /// Refuse it.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// State of a pool, for the pools of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Slots that are free.
    pub free: u32,
    /// Slots of all usable servers.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests of the region's own callers, in a thousand seconds.
    pub demand: u32,
    /// Requests that the servers can run, in a thousand seconds.
    pub capacity: u32,
}
