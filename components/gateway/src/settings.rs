//! Settings of the gateway.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::{DomainId, EntryVmId, RegionId};
use dispatch::Capacity;

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub id: EntryVmId,
    /// Failure domain of this entry VM.
    pub domain: DomainId,
    /// Region of this entry VM.
    pub region: RegionId,
    /// All failure domains, with their regions.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for look-ups of entry VMs.
    pub look_ups: SocketAddr,
    /// Address for datagrams and requests from other entry VMs.
    pub peers: SocketAddr,
    /// Address for metrics in the Prometheus format.
    pub metrics: SocketAddr,
    /// Peer addresses of some entry VMs, to find the others when the platform is unreachable at the
    /// start.
    pub seeds: Vec<SocketAddr>,
    /// Processor and link of this entry VM; `None` if they are not known.
    pub capacity: Option<Capacity>,
    /// Memory limit of the process, in bytes.
    pub memory: usize,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time for which callers may cache the answer to a look-up.
    pub look_up_lifetime: Duration,
    /// Largest change of another region's share of the requests within two seconds.
    pub max_shift: f64,
    /// Retry budget of all regions together: retries as a share of the first attempts in
    /// `retry_window`.
    pub retry_ratio: f64,
    /// Retries that all regions together may make in each `retry_window` in addition to that share.
    pub retry_allowance: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            id: "entry".into(),
            domain: "domain".into(),
            region: "region".into(),
            domains: BTreeMap::new(),
            callers: unset,
            readiness: unset,
            look_ups: unset,
            peers: unset,
            metrics: unset,
            seeds: Vec::new(),
            capacity: None,
            memory: 160 << 20,
            grace_period: Duration::from_secs(6),
            look_up_lifetime: Duration::from_secs(2),
            max_shift: 0.15,
            retry_ratio: 0.2,
            retry_allowance: 0.0,
            retry_window: Duration::from_secs(10),
        }
    }
}

impl Settings {
    /// Returns the settings that apply after a reload of `new`. The id, the failure domain, the
    /// region, the listen addresses, the capacity and the memory only change at the next start.
    #[must_use]
    pub fn updated(&self, new: &Settings) -> Settings {
        Settings {
            id: self.id.clone(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            callers: self.callers,
            readiness: self.readiness,
            look_ups: self.look_ups,
            peers: self.peers,
            metrics: self.metrics,
            capacity: self.capacity,
            memory: self.memory,
            ..new.clone()
        }
    }

    pub fn region_of(&self, domain: &str) -> Option<&RegionId> {
        self.domains.get(domain)
    }

    pub fn region_count(&self) -> usize {
        let mut regions: Vec<&RegionId> = self.domains.values().collect();
        regions.sort();
        regions.dedup();
        regions.len().max(1)
    }
}
