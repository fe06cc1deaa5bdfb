//! Shares of a service's traffic per failure domain, and how shifts move them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use error_stack::Report;

use crate::Configuration;
use crate::edit::is_drained;
use crate::ids::DomainId;
use crate::near::use_one_of;
use crate::rules::{Rules, Shift, ShiftReason};

/// Shares may miss a sum of 1 by this much, to allow decimal fractions such as 0.333333.
pub(crate) const SHARE_TOLERANCE: f64 = 1e-5;

/// Share of a service's traffic per failure domain.
pub type Shares = BTreeMap<DomainId, f64>;

/// Result of building a shift.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a shift is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The inventory has no such service.
    UnknownService {
        /// Name asked for.
        service: Box<str>,
        /// Text that lists the nearest names.
        fix: Box<str>,
    },
    /// The failure domain has no servers of the service.
    UnknownDomain {
        /// Name asked for.
        domain: Box<str>,
        /// Text that lists the nearest names.
        fix: Box<str>,
    },
    /// Shares are outside 0 to 1 or do not add up to 1.
    Shares {
        /// What they add up to.
        sum: f64,
    },
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
                    "shares add up to {sum}; give each from 0 to 1 with a sum of 1"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// Share of the traffic that differs between two distributions: half the L1 distance.
pub fn moved_share(a: &Shares, b: &Shares) -> f64 {
    let domains: BTreeSet<&DomainId> = a.keys().chain(b.keys()).collect();
    let get = |shares: &Shares, d| shares.get(d).copied().unwrap_or(0.0);
    domains
        .into_iter()
        .map(|d| (get(a, d) - get(b, d)).abs())
        .sum::<f64>()
        / 2.0
}

/// Largest share that a shift for this reason moves per minute.
pub fn cap_per_minute(rules: &Rules, reason: ShiftReason) -> f64 {
    match reason {
        ShiftReason::Planned => rules.shift_cap_per_minute,
        ShiftReason::Failover => rules.failover_cap_per_minute,
    }
}

/// Shares that a shift puts in force at a platform time. They move on a straight line from `from`
/// to `to` at `cap_per_minute` and stay at `to`.
pub fn share_at(shift: &Shift, cap_per_minute: f64, now_ms: u64) -> Shares {
    let distance = moved_share(&shift.from, &shift.to);
    let elapsed_ms = now_ms.saturating_sub(shift.start_ms);
    let moved = valid_cap(cap_per_minute) * (elapsed_ms as f64 / 60_000.0);
    if moved >= distance {
        return shift.to.clone();
    }
    let part = moved / distance;
    let domains: BTreeSet<&DomainId> = shift.from.keys().chain(shift.to.keys()).collect();
    let at = |domain: &DomainId| {
        let from = shift.from.get(domain).copied().unwrap_or(0.0);
        let to = shift.to.get(domain).copied().unwrap_or(0.0);
        (from + (to - from) * part).clamp(0.0, 1.0)
    };
    domains.into_iter().map(|d| (d.clone(), at(d))).collect()
}

/// Platform time at which a shift is complete; `None` if its cap is 0 and it never is.
pub fn shift_end_ms(shift: &Shift, cap_per_minute: f64) -> Option<u64> {
    let distance = moved_share(&shift.from, &shift.to);
    if distance == 0.0 {
        return Some(shift.start_ms);
    }
    let minutes = distance / valid_cap(cap_per_minute);
    minutes.is_finite().then(|| {
        shift
            .start_ms
            .saturating_add((minutes * 60_000.0).ceil() as u64)
    })
}

/// A cap inside its limits; a cap that is no number moves nothing.
fn valid_cap(cap_per_minute: f64) -> f64 {
    if cap_per_minute.is_nan() {
        0.0
    } else {
        cap_per_minute.clamp(0.0, 1.0)
    }
}

/// Slots in use of a service per failure domain. Drained servers count 0.
pub fn slots(configuration: &Configuration, service: &str) -> BTreeMap<DomainId, u64> {
    let mut slots = BTreeMap::new();
    for server in configuration
        .inventory
        .servers
        .iter()
        .filter(|s| *s.service == *service)
    {
        let in_use = if is_drained(configuration, server) {
            0
        } else {
            u64::from(server.slots)
        };
        *slots.entry(server.domain.clone()).or_insert(0) += in_use;
    }
    slots
}

/// Shares in proportion to the slots in use. All are 0 if no slot is in use.
pub fn slot_shares(configuration: &Configuration, service: &str) -> Shares {
    let slots = slots(configuration, service);
    let total: u64 = slots.values().sum();
    slots
        .into_iter()
        .map(|(d, n)| (d, n as f64 / total.max(1) as f64))
        .collect()
}

/// Shares in force for a service at a platform time: those of its shift, else in proportion to the
/// slots in use.
pub fn shares(configuration: &Configuration, service: &str, now_ms: u64) -> Shares {
    let rules = &configuration.rules;
    match rules.shifts.get(service) {
        Some(shift) => share_at(shift, cap_per_minute(rules, shift.reason), now_ms),
        None => slot_shares(configuration, service),
    }
}

/// Builds the shift of a service to new shares. It starts from the shares in force at `now_ms`, so
/// a reversal in the middle of a shift continues from there.
pub fn shift_to(
    configuration: &Configuration,
    service: &str,
    to: &Shares,
    now_ms: u64,
    reason: ShiftReason,
) -> Result<Shift> {
    let services = configuration.inventory.services.iter().map(|s| &*s.id);
    if !services.clone().any(|s| s == service) {
        let fix = use_one_of(service, services).into();
        return Err(Report::new(Error::UnknownService {
            service: service.into(),
            fix,
        }));
    }
    let known = slots(configuration, service);
    if let Some(domain) = to.keys().find(|d| !known.contains_key(*d)) {
        let fix = use_one_of(domain, known.keys().map(|d| &**d)).into();
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
    // With every server drained no share is in force, so there is nothing to start from.
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
