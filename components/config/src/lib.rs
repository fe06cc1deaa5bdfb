//! Inventory, rules and process settings: parsing, validation, change plans and traffic shifts.

mod check;
mod diagnostic;
mod drain;
mod encode;
mod ids;
mod inventory;
mod json;
pub mod parse;
mod plan;
mod prefix;
mod print;
mod rules;
mod schema;
mod settings;
pub mod shift;
mod shift_edits;
mod suggest;
mod validate;

pub use check::check;
pub use diagnostic::{Diagnostic, Severity};
pub use drain::{Error as DrainError, Resource, domain_is_drained, drain, is_drained, undrain};
pub use encode::{canonical, encode, object_name};
pub use ids::{
    DomainId, EntryVmId, Generation, HouseId, Incarnation, RegionId, ServerId, ServiceId,
};
pub use inventory::{
    BackendServer, ClientBlock, EntryVm, FailureDomain, Inventory, Link, Region, Service,
};
pub use parse::{
    FileKind, Source, check_file, detect_kind, parse_configuration, parse_inventory, parse_rules,
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
pub use shift_edits::{add_capped_shifts, rebase_shifts};

use serde::{Deserialize, Serialize};

/// Inventory and rules together, as stored in the object store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    pub inventory: Inventory,
    /// Operator rules on top of the inventory.
    pub rules: Rules,
}
