//! The inventory: regions, failure domains, entry VMs, services, backend servers, links and
//! client blocks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId, RegionId, ServerId, ServiceId};
use crate::rules::Class;

/// Regions, machines, services, links and client blocks of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    pub regions: Vec<Region>,
    pub domains: Vec<FailureDomain>,
    pub entry_vms: Vec<EntryVm>,
    pub services: Vec<Service>,
    pub servers: Vec<BackendServer>,
    pub links: Vec<Link>,
    /// Client address blocks with their preferred failure domains.
    pub client_blocks: Vec<ClientBlock>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub id: RegionId,
    /// One-way network delay between failure domains of the region, in milliseconds.
    #[serde(default)]
    pub domain_delay_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    pub id: DomainId,
    pub region: RegionId,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVm {
    pub id: EntryVmId,
    pub domain: DomainId,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address on which other entry VMs connect.
    pub peer_address: SocketAddr,
    /// Address of the operator interface.
    pub operator_address: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub id: ServiceId,
    pub class: Class,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    pub id: ServerId,
    pub service: ServiceId,
    pub domain: DomainId,
    pub address: SocketAddr,
    /// Maximum number of requests that it serves at once.
    pub slots: u32,
    /// Maximum number of open connections that it accepts.
    pub connections: u32,
}

/// A directed link between two regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    pub from: RegionId,
    pub to: RegionId,
    /// Bandwidth limit.
    pub bytes_per_second: u64,
    /// One-way network delay.
    #[serde(default)]
    pub delay_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// Prefix in CIDR notation.
    pub prefix: Box<str>,
    /// Failure domain preferred for callers in this block.
    pub domain: DomainId,
}
