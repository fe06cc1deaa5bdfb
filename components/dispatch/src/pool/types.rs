//! Admission requests and decisions, as exchanged between entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, Incarnation, RegionId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Incarnation of the requesting entry VM, and its number for the request.
pub type RequestId = (Incarnation, u64);

/// A request for a slot of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    pub id: RequestId,
    pub service: ServiceId,
    /// Failure domain of the requesting entry VM.
    pub domain: DomainId,
    /// Time left of the target latency.
    pub target_left: Duration,
    /// Time until the caller or the route's time-out gives up.
    pub deadline_left: Duration,
    /// Time for which the caller has already waited.
    pub waited: Duration,
    /// Queue priority; 0 is served first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Whether the request was sent to a server before.
    #[serde(rename = "repeat")]
    pub retry: bool,
    /// Whether this is a hedge, a second attempt in parallel: it only gets a slot that no other
    /// request waits for, and is not queued itself.
    #[serde(rename = "spare")]
    pub hedge: bool,
    /// Whether it was submitted to this pool although another entry VM owns the pool, because that
    /// one cannot be reached. Other pools may admit requests to the same cold servers, so this one
    /// does not.
    #[serde(rename = "stopgap")]
    pub owner_bypassed: bool,
    /// Hash of the object that it concerns, if servers answer faster for objects that they handled
    /// recently.
    pub object: Option<u64>,
    /// Servers that it must not be sent to.
    #[serde(rename = "avoid")]
    pub excluded_servers: SmallVec<[ServerId; 2]>,
    /// Regions to which it may be forwarded.
    #[serde(rename = "regions")]
    pub forward_regions: SmallVec<[RegionId; 2]>,
}

/// A slot of a server, granted to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub server: ServerId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether the server is cold, as far as the pool owner knows.
    pub cold: bool,
    /// Time after which the attempt counts as slow.
    pub slow_after: Duration,
}

/// Why a request is refused. A refused request has not run on any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// No slot became free in time.
    Overloaded,
    /// The service has no usable server.
    NoServers,
    /// The retry budget is used up.
    RetryBudget,
}

impl RefuseReason {
    pub fn label(self) -> &'static str {
        match self {
            RefuseReason::Overloaded => "overloaded",
            RefuseReason::NoServers => "no_servers",
            RefuseReason::RetryBudget => "retry_budget",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Send it to this server.
    Grant(Grant),
    /// Forward it to the pool owner of this region.
    Forward(RegionId),
    Refuse {
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Summary of a pool's state, for the pools of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSnapshot {
    /// Free slots.
    pub free: u32,
    /// Slots of all usable servers.
    pub slots: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests from the region's own callers, per 1000 seconds.
    pub demand: u32,
    /// Requests that the servers can complete, per 1000 seconds.
    pub capacity: u32,
}
