//! Inventory, rules and process settings: parsing, checks, plans and shift paths.

mod ids;
mod inventory;
mod rules;
mod settings;

pub use ids::{
    DomainId, EntryVmId, Generation, HouseId, Incarnation, RegionId, ServerId, ServiceId,
};
pub use inventory::{
    BackendServer, ClientBlock, EntryVm, FailureDomain, Inventory, Link, Region, Service,
};
pub use rules::{Class, Drains, Rules, Shift, ShiftReason};
pub use settings::{KeySettings, Settings};

use serde::{Deserialize, Serialize};

/// One complete configuration, as stored in the object store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Machines, zones, services and links.
    pub inventory: Inventory,
    /// Operator rules on top of the inventory.
    pub rules: Rules,
}
