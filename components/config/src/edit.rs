//! Edits of the rules as made by operator commands.

use std::fmt;

use error_stack::Report;

use crate::Configuration;
use crate::inventory::{BackendServer, Inventory};
use crate::near::near;
use crate::rules::Rules;

/// Result of an edit.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why an edit is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The inventory has no such object.
    Unknown {
        /// The object asked for.
        target: Target,
        /// Names of the same kind, nearest first.
        near: Vec<Box<str>>,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Error::Unknown { target, near } = self;
        write!(f, "{target} does not exist")?;
        if near.is_empty() {
            return f.write_str("; the inventory lists none of this kind");
        }
        write!(f, "; use one of: {}", near.join(", "))
    }
}

impl std::error::Error for Error {}

/// An object that can be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A backend server.
    Server(Box<str>),
    /// An entry VM.
    EntryVm(Box<str>),
    /// A failure domain.
    Domain(Box<str>),
    /// A region.
    Region(Box<str>),
}

impl Target {
    /// Name of the object.
    pub fn name(&self) -> &str {
        match self {
            Target::Server(n) | Target::EntryVm(n) | Target::Domain(n) | Target::Region(n) => n,
        }
    }

    /// Names of the same kind in the inventory.
    fn known<'a>(&self, inventory: &'a Inventory) -> Vec<&'a str> {
        match self {
            Target::Server(_) => inventory.servers.iter().map(|s| &*s.id).collect(),
            Target::EntryVm(_) => inventory.entry_vms.iter().map(|v| &*v.id).collect(),
            Target::Domain(_) => inventory.domains.iter().map(|d| &*d.id).collect(),
            Target::Region(_) => inventory.regions.iter().map(|r| &*r.id).collect(),
        }
    }

    /// The list of drains that it belongs to.
    fn list<'a>(&self, rules: &'a mut Rules) -> &'a mut Vec<Box<str>> {
        match self {
            Target::Server(_) => &mut rules.drains.servers,
            Target::EntryVm(_) => &mut rules.drains.entry_vms,
            Target::Domain(_) => &mut rules.drains.domains,
            Target::Region(_) => &mut rules.drains.regions,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Target::Server(_) => "server",
            Target::EntryVm(_) => "entry VM",
            Target::Domain(_) => "failure domain",
            Target::Region(_) => "region",
        };
        write!(f, "{kind} {:?}", self.name())
    }
}

/// Starts the drain of an object. Returns false if it is drained already.
pub fn drain(rules: &mut Rules, inventory: &Inventory, target: &Target) -> Result<bool> {
    let known = target.known(inventory);
    if !known.contains(&target.name()) {
        let near = near(target.name(), known)
            .into_iter()
            .map(Into::into)
            .collect();
        return Err(Report::new(Error::Unknown {
            target: target.clone(),
            near,
        }));
    }
    let list = target.list(rules);
    if list.iter().any(|name| **name == *target.name()) {
        return Ok(false);
    }
    list.push(target.name().into());
    list.sort_unstable();
    Ok(true)
}

/// Ends the drain of an object. Returns false if it is not drained. An object that has left the
/// inventory can still be removed from the drains.
pub fn undrain(rules: &mut Rules, inventory: &Inventory, target: &Target) -> Result<bool> {
    let list = target.list(rules);
    if let Some(at) = list.iter().position(|name| **name == *target.name()) {
        list.remove(at);
        return Ok(true);
    }
    let known = target.known(inventory);
    if known.contains(&target.name()) {
        return Ok(false);
    }
    let near = near(target.name(), known)
        .into_iter()
        .map(Into::into)
        .collect();
    Err(Report::new(Error::Unknown {
        target: target.clone(),
        near,
    }))
}

/// True if the server, its failure domain or its region is drained.
pub fn is_drained(configuration: &Configuration, server: &BackendServer) -> bool {
    configuration.rules.drains.servers.contains(&server.id)
        || domain_is_drained(configuration, &server.domain)
}

/// True if the failure domain or its region is drained.
pub fn domain_is_drained(configuration: &Configuration, domain: &str) -> bool {
    let drains = &configuration.rules.drains;
    let mut domains = configuration.inventory.domains.iter();
    drains.domains.iter().any(|d| **d == *domain)
        || domains.any(|d| *d.id == *domain && drains.regions.contains(&d.region))
}
