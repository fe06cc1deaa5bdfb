//! Operator rules: drains, shares, caps, timeouts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId, RegionId, ServerId, ServiceId};

/// Class of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Must run at most once.
    Binding,
    /// May run again.
    Idempotent,
    /// May run again and may wait behind all other work.
    Deferrable,
}

/// Rules on top of the inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Largest share of a service's traffic that a planned shift moves per minute (0 to 1).
    pub shift_cap_per_minute: f64,
    /// The same for a fail-over.
    pub failover_cap_per_minute: f64,
    /// Share of retries and hedges in all requests (0 to 1).
    pub retry_budget: f64,
    /// Deadline of a request without `x-deadline-ms`, in milliseconds.
    pub default_deadline_ms: u64,
    /// Lifetime of tickets, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Longest lifetime of look-up answers, in milliseconds. Callers keep the addresses of a lost
    /// region for that long.
    pub look_up_lifetime_ms: u64,
    /// Share of each server's slots that deferrable work may hold (0 to 1).
    pub deferrable_slot_share: f64,
    /// Objects that are being drained.
    pub drains: Drains,
    /// Shifts in progress or done, one per service.
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

/// Objects that receive no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drains {
    /// Drained backend servers.
    pub servers: Vec<ServerId>,
    /// Drained entry VMs.
    pub entry_vms: Vec<EntryVmId>,
    /// Drained failure domains.
    pub domains: Vec<DomainId>,
    /// Drained regions.
    pub regions: Vec<RegionId>,
}

/// Why a shift moves traffic; selects its cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShiftReason {
    /// Planned by an operator.
    Planned,
    /// Moves traffic away from failed machines.
    Failover,
}

/// A move of a service's traffic between failure domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Share per failure domain in force at `start_ms`; shares add up to 1.
    pub from: BTreeMap<DomainId, f64>,
    /// Share per failure domain at the end; shares add up to 1.
    pub to: BTreeMap<DomainId, f64>,
    /// Start in platform time, milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Why the traffic moves.
    pub reason: ShiftReason,
}
