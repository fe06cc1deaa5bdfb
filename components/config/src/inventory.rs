//! The inventory: regions, failure domains, entry VMs, services, backend servers, links and
//! client blocks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId, RegionId, ServerId, ServiceId};
use crate::rules::Class;

/// Everything the asset register knows about a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// Regions.
    pub regions: Vec<Region>,
    /// Failure domains, each in one region.
    pub domains: Vec<FailureDomain>,
    /// Entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// Services.
    pub services: Vec<Service>,
    /// Backend servers.
    pub servers: Vec<BackendServer>,
    /// Directed links between regions.
    pub links: Vec<Link>,
    /// Blocks of client addresses and the failure domain that they prefer.
    pub client_blocks: Vec<ClientBlock>,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name.
    pub id: RegionId,
    /// One-way delay between its failure domains, in milliseconds.
    #[serde(default)]
    pub domain_delay_ms: f64,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name.
    pub id: DomainId,
    /// Region that it belongs to.
    pub region: RegionId,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    /// Name.
    pub id: EntryVmId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entry VMs.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// Class of its operations.
    pub class: Class,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name.
    pub id: ServerId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// A directed link between two regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region where it starts.
    pub from: RegionId,
    /// Region where it ends.
    pub to: RegionId,
    /// Limit in bytes per second.
    pub bytes_per_second: u64,
    /// One-way delay in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
}

/// A block of client addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// Prefix in CIDR notation.
    pub prefix: Box<str>,
    /// Failure domain that its callers prefer.
    pub domain: DomainId,
}
