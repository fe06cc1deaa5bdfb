//! The configuration in force, with indexes for the request path.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use config::{
    BackendServer, Class, Configuration, DomainId, EntryVm, EntryVmId, FailureDomain, Generation,
    RegionId, Rules, ServiceId,
};
use routing::blocks::BlockMap;

/// An accepted configuration and what the request path needs of it.
#[derive(Debug)]
pub struct InForce {
    /// Generation.
    pub generation: Generation,
    /// Name of the object that holds the configuration.
    pub object: Box<str>,
    /// Encoded configuration, kept for peers that ask for it.
    pub bytes: Arc<[u8]>,
    /// The configuration.
    pub configuration: Configuration,
    /// Class per service.
    classes: BTreeMap<ServiceId, Class>,
    /// Client blocks.
    blocks: BlockMap,
    /// Failure domain per site of the client blocks.
    sites: Vec<DomainId>,
    /// Region per failure domain.
    regions: BTreeMap<DomainId, RegionId>,
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
        // The checks of the configuration have already refused invalid blocks.
        let (blocks, sites) =
            BlockMap::from_inventory(&inventory.client_blocks).unwrap_or_default();
        InForce {
            generation,
            object,
            bytes,
            configuration,
            classes,
            blocks,
            sites,
            regions,
        }
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Rules {
        &self.configuration.rules
    }

    /// Returns the class of a service.
    pub fn class(&self, service: &str) -> Option<Class> {
        self.classes.get(service).copied()
    }

    /// Returns the region of a failure domain.
    pub fn region(&self, domain: &str) -> Option<&RegionId> {
        self.regions.get(domain)
    }

    /// Returns the failure domain that the block of a client names.
    pub fn domain_of_client(&self, client: IpAddr) -> Option<&DomainId> {
        let site = self.blocks.look_up(client)?;
        self.sites.get(usize::from(site))
    }

    /// Returns the entry VM with this id.
    pub fn entry_vm(&self, id: &str) -> Option<&EntryVm> {
        self.configuration
            .inventory
            .entry_vms
            .iter()
            .find(|v| &*v.id == id)
    }

    /// Returns all entry VMs of a failure domain.
    pub fn entry_vms_of(&self, domain: &str) -> impl Iterator<Item = &EntryVm> {
        self.configuration
            .inventory
            .entry_vms
            .iter()
            .filter(move |v| &*v.domain == domain)
    }

    /// Returns all backend servers of a service in a failure domain.
    pub fn servers_of(&self, service: &str, domain: &str) -> impl Iterator<Item = &BackendServer> {
        self.configuration
            .inventory
            .servers
            .iter()
            .filter(move |s| &*s.service == service && &*s.domain == domain)
    }

    /// Returns all failure domains.
    pub fn domains(&self) -> &[FailureDomain] {
        &self.configuration.inventory.domains
    }

    /// Tells whether a failure domain, or its region, takes no new work.
    pub fn is_domain_drained(&self, domain: &str) -> bool {
        let drains = &self.rules().drains;
        drains.domains.iter().any(|d| &**d == domain)
            || self
                .region(domain)
                .is_some_and(|r| drains.regions.contains(r))
    }

    /// Tells whether a backend server takes no new work.
    pub fn is_server_drained(&self, server: &str) -> bool {
        self.rules().drains.servers.iter().any(|s| &**s == server)
    }

    /// Tells whether an entry VM is to be named in look-ups only when no other is there.
    pub fn is_entry_vm_drained(&self, id: &EntryVmId) -> bool {
        self.rules().drains.entry_vms.contains(id)
    }
}
