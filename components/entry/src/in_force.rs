//! Configuration in force, with indexes for the request path.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{
    BackendServer, Class, Configuration, DomainId, EntryVm, EntryVmId, FailureDomain, Generation,
    Link, RegionId, Rules, ServiceId,
};
use routing::Shares;
use routing::blocks::BlockMap;

/// An accepted configuration and the indexes that the request path uses.
#[derive(Debug)]
pub struct InForce {
    pub generation: Generation,
    /// Name of the object that holds the configuration.
    pub object: Box<str>,
    /// Encoded configuration, kept for peers that ask for it.
    pub bytes: Arc<[u8]>,
    pub configuration: Configuration,
    classes: BTreeMap<ServiceId, Class>,
    /// Domain index per client address block.
    blocks: BlockMap,
    /// Failure domain per domain index of `blocks`.
    block_domains: Vec<DomainId>,
    regions: BTreeMap<DomainId, RegionId>,
    /// Shares per service in proportion to slots, as if no domain were drained.
    nominal: BTreeMap<ServiceId, Shares>,
    /// Shares per service in proportion to undrained slots, used without a shift.
    unshifted: BTreeMap<ServiceId, Shares>,
}

impl InForce {
    /// Builds the indexes.
    pub fn new(
        generation: Generation,
        object: Box<str>,
        bytes: Arc<[u8]>,
        configuration: Configuration,
    ) -> Self {
        let inventory = &configuration.inventory;
        let classes = inventory
            .services
            .iter()
            .map(|s| (s.id.clone(), s.class))
            .collect();
        let regions = inventory
            .domains
            .iter()
            .map(|d| (d.id.clone(), d.region.clone()))
            .collect();
        // Validation has already rejected configurations with invalid blocks.
        let (blocks, block_domains) =
            BlockMap::from_inventory(&inventory.client_blocks).unwrap_or_default();
        let services = || inventory.services.iter().map(|s| s.id.clone());
        let unshifted = services()
            .map(|s| (s.clone(), config::slot_shares(&configuration, &s)))
            .collect();
        let mut undrained = Configuration {
            rules: configuration.rules.clone(),
            inventory: inventory.clone(),
        };
        undrained.rules.drains.domains.clear();
        undrained.rules.drains.regions.clear();
        let nominal = services()
            .map(|s| (s.clone(), config::slot_shares(&undrained, &s)))
            .collect();
        InForce {
            generation,
            object,
            bytes,
            configuration,
            classes,
            blocks,
            block_domains,
            regions,
            nominal,
            unshifted,
        }
    }

    pub fn rules(&self) -> &Rules {
        &self.configuration.rules
    }

    pub fn class(&self, service: &str) -> Option<Class> {
        self.classes.get(service).copied()
    }

    pub fn region(&self, domain: &str) -> Option<&RegionId> {
        self.regions.get(domain)
    }

    /// Returns the failure domain of the client address block that contains an address.
    pub fn domain_of_client(&self, client: IpAddr) -> Option<&DomainId> {
        let index = self.blocks.look_up(client)?;
        self.block_domains.get(usize::from(index))
    }

    pub fn entry_vm(&self, id: &str) -> Option<&EntryVm> {
        self.configuration
            .inventory
            .entry_vms
            .iter()
            .find(|v| &*v.id == id)
    }

    pub fn entry_vms_of(&self, domain: &str) -> impl Iterator<Item = &EntryVm> {
        self.configuration
            .inventory
            .entry_vms
            .iter()
            .filter(move |v| &*v.domain == domain)
    }

    /// Returns the backend servers of a service in a failure domain, including drained ones.
    pub fn servers_of(&self, service: &str, domain: &str) -> impl Iterator<Item = &BackendServer> {
        self.configuration
            .inventory
            .servers
            .iter()
            .filter(move |s| &*s.service == service && &*s.domain == domain)
    }

    /// Returns the shares of a service in proportion to slots, as if no domain were drained.
    pub fn nominal_shares(&self, service: &str) -> &Shares {
        static NONE: Shares = Shares::new();
        self.nominal.get(service).unwrap_or(&NONE)
    }

    /// Returns the shares that the configuration prescribes for a service at platform time
    /// `now_ms`.
    pub fn shares(&self, service: &str, now_ms: u64) -> Shares {
        match self.rules().shifts.get(service) {
            Some(shift) => {
                let cap = config::cap_per_minute(self.rules(), shift.reason);
                config::share_at(shift, cap, now_ms)
            }
            None => self.unshifted.get(service).cloned().unwrap_or_default(),
        }
    }

    /// Returns whether all work of a drained domain has moved to other domains by platform time
    /// `now_ms`.
    ///
    /// An entry VM moves at most the fraction `cap` of its work per minute, so all of it has moved
    /// after `1 / cap` minutes.
    pub fn is_drain_complete(&self, domain: &str, now_ms: u64) -> bool {
        let is_complete = |shift: &config::Shift| {
            let cap = config::cap_per_minute(self.rules(), shift.reason);
            let minutes = now_ms.saturating_sub(shift.start_ms) as f64 / 60_000.0;
            minutes * cap >= 1.0
        };
        self.is_domain_drained(domain) && self.rules().shifts.values().all(is_complete)
    }

    /// Returns the slots of a service on the undrained servers of a failure domain.
    pub fn domain_slots(&self, service: &str, domain: &str) -> u32 {
        let servers = self.servers_of(service, domain);
        servers
            .filter(|s| !self.is_server_drained(&s.id))
            .map(|s| s.slots)
            .sum()
    }

    /// Returns the directed link between two regions.
    pub fn link(&self, from: &str, to: &str) -> Option<&Link> {
        let links = &self.configuration.inventory.links;
        links.iter().find(|l| &*l.from == from && &*l.to == to)
    }

    /// Returns the one-way delay between failure domains of two regions; 0 if it is not configured.
    pub fn delay(&self, from: &RegionId, to: &RegionId) -> Duration {
        let ms = if from == to {
            let regions = &self.configuration.inventory.regions;
            regions
                .iter()
                .find(|r| r.id == *from)
                .map_or(0.0, |r| r.domain_delay_ms)
        } else {
            self.link(from, to).map_or(0.0, |l| l.delay_ms)
        };
        Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
    }

    pub fn domains(&self) -> &[FailureDomain] {
        &self.configuration.inventory.domains
    }

    /// Returns whether a failure domain or its region is drained and gets no new work.
    pub fn is_domain_drained(&self, domain: &str) -> bool {
        let drains = &self.rules().drains;
        drains.domains.iter().any(|d| &**d == domain)
            || self
                .region(domain)
                .is_some_and(|r| drains.regions.contains(r))
    }

    /// Returns whether a backend server is drained and gets no new work.
    pub fn is_server_drained(&self, server: &str) -> bool {
        self.rules().drains.servers.iter().any(|s| &**s == server)
    }

    /// Returns whether an entry VM is drained: look-ups name it only if no other is available.
    pub fn is_entry_vm_drained(&self, id: &EntryVmId) -> bool {
        self.rules().drains.entry_vms.contains(id)
    }
}
