//! Inventory, rules and process settings: parsing, checks, plans and shift paths.

mod check;
mod ease;
mod edit;
mod encode;
mod fault;
mod ids;
mod inventory;
mod near;
mod node;
pub mod parse;
mod plan;
mod prefix;
mod print;
mod rules;
mod settings;
mod shape;
pub mod shift;
mod walk;

pub use check::check;
pub use ease::{ease_shifts, rebase_shifts};
pub use edit::{Error as EditError, Target, domain_is_drained, drain, is_drained, undrain};
pub use encode::{canonical, encode, object_name};
pub use fault::{Fault, Severity};
pub use ids::{
    DomainId, EntryVmId, Generation, HouseId, Incarnation, RegionId, ServerId, ServiceId,
};
pub use inventory::{
    BackendServer, ClientBlock, EntryVm, FailureDomain, Inventory, Link, Region, Service,
};
pub use parse::{
    Kind, Source, check_file, detect_kind, parse_configuration, parse_inventory, parse_rules,
    parse_settings, read_configuration,
};
pub use plan::{DomainPlan, Plan, ServicePlan, plan};
pub use prefix::{Prefix, PrefixError};
pub use rules::{Class, Drains, Rules, Shift, ShiftReason};
pub use settings::{KeySettings, Settings};
pub use shift::{
    Shares, cap_per_minute, moved_share, share_at, shares, shift_end_ms, shift_to, slot_shares,
    slots,
};

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
