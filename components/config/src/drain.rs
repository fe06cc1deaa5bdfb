//! Drains: rule changes made by the `drain` and `undrain` commands, and queries of their effect.

use std::fmt;

use error_stack::Report;

use crate::Configuration;
use crate::inventory::{BackendServer, Inventory};
use crate::rules::Rules;
use crate::suggest::closest_names;

pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a drain cannot be started or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The inventory has no such resource.
    Unknown {
        /// The requested resource.
        resource: Resource,
        /// Existing names of the same kind, closest first.
        suggestions: Vec<Box<str>>,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Error::Unknown {
            resource,
            suggestions,
        } = self;
        write!(f, "{resource} does not exist")?;
        if suggestions.is_empty() {
            return f.write_str("; the inventory lists none of this kind");
        }
        write!(f, "; use one of: {}", suggestions.join(", "))
    }
}

impl std::error::Error for Error {}

/// A named resource of the inventory that can be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    Server(Box<str>),
    EntryVm(Box<str>),
    Domain(Box<str>),
    Region(Box<str>),
}

impl Resource {
    pub fn name(&self) -> &str {
        match self {
            Resource::Server(n)
            | Resource::EntryVm(n)
            | Resource::Domain(n)
            | Resource::Region(n) => n,
        }
    }

    /// Names of all resources of the same kind in the inventory.
    fn existing_names<'a>(&self, inventory: &'a Inventory) -> Vec<&'a str> {
        match self {
            Resource::Server(_) => inventory.servers.iter().map(|s| &*s.id).collect(),
            Resource::EntryVm(_) => inventory.entry_vms.iter().map(|v| &*v.id).collect(),
            Resource::Domain(_) => inventory.domains.iter().map(|d| &*d.id).collect(),
            Resource::Region(_) => inventory.regions.iter().map(|r| &*r.id).collect(),
        }
    }

    /// Names of the drained resources of the same kind.
    fn drained_names<'a>(&self, rules: &'a mut Rules) -> &'a mut Vec<Box<str>> {
        match self {
            Resource::Server(_) => &mut rules.drains.servers,
            Resource::EntryVm(_) => &mut rules.drains.entry_vms,
            Resource::Domain(_) => &mut rules.drains.domains,
            Resource::Region(_) => &mut rules.drains.regions,
        }
    }
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Resource::Server(_) => "server",
            Resource::EntryVm(_) => "entry VM",
            Resource::Domain(_) => "failure domain",
            Resource::Region(_) => "region",
        };
        write!(f, "{kind} {:?}", self.name())
    }
}

/// Starts the drain of a resource. Returns false if it is already drained.
pub fn drain(rules: &mut Rules, inventory: &Inventory, resource: &Resource) -> Result<bool> {
    let known = resource.existing_names(inventory);
    if !known.contains(&resource.name()) {
        let suggestions = closest_names(resource.name(), known)
            .into_iter()
            .map(Into::into)
            .collect();
        return Err(Report::new(Error::Unknown {
            resource: resource.clone(),
            suggestions,
        }));
    }
    let list = resource.drained_names(rules);
    if list.iter().any(|name| **name == *resource.name()) {
        return Ok(false);
    }
    list.push(resource.name().into());
    list.sort_unstable();
    Ok(true)
}

/// Ends the drain of a resource. Returns false if it is not drained. A resource that has been
/// removed from the inventory can still be removed from the drains.
pub fn undrain(rules: &mut Rules, inventory: &Inventory, resource: &Resource) -> Result<bool> {
    let list = resource.drained_names(rules);
    if let Some(at) = list.iter().position(|name| **name == *resource.name()) {
        list.remove(at);
        return Ok(true);
    }
    let known = resource.existing_names(inventory);
    if known.contains(&resource.name()) {
        return Ok(false);
    }
    let suggestions = closest_names(resource.name(), known)
        .into_iter()
        .map(Into::into)
        .collect();
    Err(Report::new(Error::Unknown {
        resource: resource.clone(),
        suggestions,
    }))
}

/// Returns true if the server, its failure domain or its region is drained.
pub fn is_drained(configuration: &Configuration, server: &BackendServer) -> bool {
    configuration.rules.drains.servers.contains(&server.id)
        || domain_is_drained(configuration, &server.domain)
}

/// Returns true if the failure domain or its region is drained.
pub fn domain_is_drained(configuration: &Configuration, domain: &str) -> bool {
    let drains = &configuration.rules.drains;
    let mut domains = configuration.inventory.domains.iter();
    drains.domains.iter().any(|d| **d == *domain)
        || domains.any(|d| *d.id == *domain && drains.regions.contains(&d.region))
}
