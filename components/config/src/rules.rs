//! Operator rules: drains, shifts, caps, budgets and time limits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId, RegionId, ServerId, ServiceId};

/// Class of a service's operations; decides whether they may be repeated or delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Must run at most once.
    Binding,
    /// May run again.
    Idempotent,
    /// May run again and may wait until all other work is done.
    Deferrable,
}

/// Rules that operators set for the inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Maximum share of a service's traffic that a planned shift moves per minute (0 to 1).
    pub shift_cap_per_minute: f64,
    /// Maximum share of a service's traffic that a fail-over moves per minute (0 to 1).
    pub failover_cap_per_minute: f64,
    /// Maximum share of retries and hedges in all requests (0 to 1).
    pub retry_budget: f64,
    /// Deadline of a request without `x-deadline-ms`, in milliseconds.
    pub default_deadline_ms: u64,
    /// Lifetime of tickets, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Maximum lifetime of look-up answers, in milliseconds. Callers use the addresses of a failed
    /// region for up to this time.
    pub look_up_lifetime_ms: u64,
    /// Maximum share of each server's slots that deferrable work may occupy (0 to 1).
    pub deferrable_slot_share: f64,
    pub drains: Drains,
    /// Shifts in progress or complete, by service.
    pub shifts: BTreeMap<ServiceId, Shift>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            shift_cap_per_minute: 0.1,
            failover_cap_per_minute: 1.0,
            retry_budget: 0.05,
            default_deadline_ms: 5_000,
            ticket_lifetime_ms: 10_000,
            look_up_lifetime_ms: 5_000,
            deferrable_slot_share: 0.5,
            drains: Drains::default(),
            shifts: BTreeMap::new(),
        }
    }
}

/// Resources that receive no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drains {
    pub servers: Vec<ServerId>,
    pub entry_vms: Vec<EntryVmId>,
    pub domains: Vec<DomainId>,
    pub regions: Vec<RegionId>,
}

/// Reason for a shift; selects the cap on its speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftReason {
    Planned,
    /// Moves traffic away from failed machines.
    Failover,
}

/// A gradual move of a service's traffic between failure domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Share per failure domain in force at `start_ms`; shares add up to 1.
    pub from: BTreeMap<DomainId, f64>,
    /// Share per failure domain when the shift is complete; shares add up to 1.
    pub to: BTreeMap<DomainId, f64>,
    /// Platform time of the start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    pub reason: ShiftReason,
}
