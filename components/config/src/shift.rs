//! Traffic shares per failure domain and their change over time during shifts.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use error_stack::Report;

use crate::Configuration;
use crate::drain::is_drained;
use crate::ids::DomainId;
use crate::rules::{Rules, Shift, ShiftReason};
use crate::suggest::suggest_names;

/// Tolerance for the sum of shares, to allow decimal fractions such as 0.333333.
pub(crate) const SHARE_TOLERANCE: f64 = 1e-5;

/// Share of a service's traffic per failure domain.
pub type Shares = BTreeMap<DomainId, f64>;

pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a shift cannot be built.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The inventory has no such service.
    UnknownService {
        /// Requested name.
        service: Box<str>,
        /// Text that lists the closest existing names.
        fix: Box<str>,
    },
    /// The failure domain has no servers of the service.
    UnknownDomain {
        /// Requested name.
        domain: Box<str>,
        /// Text that lists the closest existing names.
        fix: Box<str>,
    },
    /// Shares are outside 0 to 1 or do not add up to 1.
    Shares { sum: f64 },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownService { service, fix } => {
                write!(f, "service {service:?} does not exist; {fix}")
            }
            Error::UnknownDomain { domain, fix } => {
                write!(
                    f,
                    "failure domain {domain:?} has no servers of the service; {fix}"
                )
            }
            Error::Shares { sum } => {
                write!(
                    f,
                    "shares add up to {sum}; give each a value from 0 to 1 with a sum of 1"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// Share of the traffic that moves between two distributions: half of their L1 distance.
pub fn moved_share(a: &Shares, b: &Shares) -> f64 {
    let domains: BTreeSet<&DomainId> = a.keys().chain(b.keys()).collect();
    let get = |shares: &Shares, d| shares.get(d).copied().unwrap_or(0.0);
    domains
        .into_iter()
        .map(|d| (get(a, d) - get(b, d)).abs())
        .sum::<f64>()
        / 2.0
}

/// Maximum share that a shift for the given reason moves per minute.
pub fn cap_per_minute(rules: &Rules, reason: ShiftReason) -> f64 {
    match reason {
        ShiftReason::Planned => rules.shift_cap_per_minute,
        ShiftReason::Failover => rules.failover_cap_per_minute,
    }
}

/// Shares of a shift at a platform time: linear interpolation from `from` to `to` at
/// `cap_per_minute`, then constant at `to`.
pub fn share_at(shift: &Shift, cap_per_minute: f64, now_ms: u64) -> Shares {
    let distance = moved_share(&shift.from, &shift.to);
    let elapsed_ms = now_ms.saturating_sub(shift.start_ms);
    let moved = clamp_cap(cap_per_minute) * (elapsed_ms as f64 / 60_000.0);
    if moved >= distance {
        return shift.to.clone();
    }
    let fraction = moved / distance;
    let domains: BTreeSet<&DomainId> = shift.from.keys().chain(shift.to.keys()).collect();
    let at = |domain: &DomainId| {
        let from = shift.from.get(domain).copied().unwrap_or(0.0);
        let to = shift.to.get(domain).copied().unwrap_or(0.0);
        (from + (to - from) * fraction).clamp(0.0, 1.0)
    };
    domains.into_iter().map(|d| (d.clone(), at(d))).collect()
}

/// Platform time at which a shift is complete; `None` if its cap is 0 and it never completes.
pub fn shift_end_ms(shift: &Shift, cap_per_minute: f64) -> Option<u64> {
    let distance = moved_share(&shift.from, &shift.to);
    if distance == 0.0 {
        return Some(shift.start_ms);
    }
    let minutes = distance / clamp_cap(cap_per_minute);
    minutes.is_finite().then(|| {
        shift
            .start_ms
            .saturating_add((minutes * 60_000.0).ceil() as u64)
    })
}

/// Clamps a cap to 0 to 1; NaN becomes 0, so that nothing moves.
fn clamp_cap(cap_per_minute: f64) -> f64 {
    if cap_per_minute.is_nan() {
        0.0
    } else {
        cap_per_minute.clamp(0.0, 1.0)
    }
}

/// Slots of a service per failure domain. Drained servers contribute 0.
pub fn slots(configuration: &Configuration, service: &str) -> BTreeMap<DomainId, u64> {
    let mut slots = BTreeMap::new();
    for server in configuration
        .inventory
        .servers
        .iter()
        .filter(|s| *s.service == *service)
    {
        let available = if is_drained(configuration, server) {
            0
        } else {
            u64::from(server.slots)
        };
        *slots.entry(server.domain.clone()).or_insert(0) += available;
    }
    slots
}

/// Shares in proportion to the slots of undrained servers. All are 0 if there are no such slots.
pub fn slot_shares(configuration: &Configuration, service: &str) -> Shares {
    let slots = slots(configuration, service);
    let total: u64 = slots.values().sum();
    slots
        .into_iter()
        .map(|(d, n)| (d, n as f64 / total.max(1) as f64))
        .collect()
}

/// Shares in force for a service at a platform time: those of its shift, or without a shift those
/// in proportion to the slots of undrained servers.
pub fn shares(configuration: &Configuration, service: &str, now_ms: u64) -> Shares {
    let rules = &configuration.rules;
    match rules.shifts.get(service) {
        Some(shift) => share_at(shift, cap_per_minute(rules, shift.reason), now_ms),
        None => slot_shares(configuration, service),
    }
}

/// Builds a shift of a service to new shares. It starts from the shares in force at `now_ms`, so a
/// shift that replaces an incomplete one causes no jump.
pub fn shift_to(
    configuration: &Configuration,
    service: &str,
    to: &Shares,
    now_ms: u64,
    reason: ShiftReason,
) -> Result<Shift> {
    let services = configuration.inventory.services.iter().map(|s| &*s.id);
    if !services.clone().any(|s| s == service) {
        let fix = suggest_names(service, services).into();
        return Err(Report::new(Error::UnknownService {
            service: service.into(),
            fix,
        }));
    }
    let known = slots(configuration, service);
    if let Some(domain) = to.keys().find(|d| !known.contains_key(*d)) {
        let fix = suggest_names(domain, known.keys().map(|d| &**d)).into();
        return Err(Report::new(Error::UnknownDomain {
            domain: domain.clone(),
            fix,
        }));
    }
    let sum = to.values().sum::<f64>() + 0.0;
    let valid = to.values().all(|s| (0.0..=1.0).contains(s));
    if !valid || (sum - 1.0).abs() > SHARE_TOLERANCE {
        return Err(Report::new(Error::Shares { sum }));
    }
    let to: Shares = to.iter().map(|(d, s)| (d.clone(), s / sum)).collect();
    let in_force = shares(configuration, service, now_ms);
    // If all servers are drained, all shares are 0 and cannot be the start of a shift.
    let from = if in_force.values().sum::<f64>() > 0.0 {
        in_force
    } else {
        to.clone()
    };
    Ok(Shift {
        from,
        to,
        start_ms: now_ms,
        reason,
    })
}
