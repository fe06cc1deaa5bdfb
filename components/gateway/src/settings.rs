//! Settings of an entry VM.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::{DomainId, EntryVmId, RegionId};

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the entry VM.
    pub id: EntryVmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Regions of all failure domains.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// Where callers ask for entry VMs.
    pub look_ups: SocketAddr,
    /// Where other entry VMs send datagrams and requests.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Peer addresses of some entry VMs, for a start without the platform.
    pub seeds: Vec<SocketAddr>,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Longest time for which callers may keep the answer to a look-up.
    pub look_up_lifetime: Duration,
    /// Largest change of another region's share of the requests within two seconds.
    pub max_shift: f64,
    /// Sends beyond the first that all regions together may make in a window, as a share of first
    /// sends.
    pub retry_ratio: f64,
    /// Sends beyond the first that all regions together may make without traffic.
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
    /// Returns the settings that are in force after a change to `new`: names and addresses stay
    /// until the next start.
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
            ..new.clone()
        }
    }

    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &str) -> Option<&RegionId> {
        self.domains.get(domain)
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        let mut regions: Vec<&RegionId> = self.domains.values().collect();
        regions.sort();
        regions.dedup();
        regions.len().max(1)
    }
}
