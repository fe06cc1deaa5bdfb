//! Control state per domain: the share of its work that it retains, and the slots that it grants to
//! other domains.

use std::time::Duration;

use super::{DomainView, Settings, State};

/// Factor for the retained share when no slot is free, as the excess demand is then unknown.
const OVERLOAD_BACKOFF: f64 = 0.6;
/// Factor for the slots in use under a grant when a measurement shows no spare slots.
const GRANT_BACKOFF: f64 = 0.8;

/// Fraction of a domain's work that is not moved to other domains because of load.
#[derive(Clone, Copy, Debug)]
pub struct RetainedShare {
    /// Fraction retained, 0 to 1.
    pub fraction: f64,
    /// Time of the last reduction.
    reduced_at: Option<Duration>,
    updated_at: Duration,
}

impl Default for RetainedShare {
    fn default() -> Self {
        RetainedShare {
            fraction: 1.0,
            reduced_at: None,
            updated_at: Duration::ZERO,
        }
    }
}

impl RetainedShare {
    /// Reduces the fraction before the domain is overloaded and raises it at the return rate while
    /// utilisation is low.
    ///
    /// `used_slots` are the slots that this VM's domain itself uses under the split in force. They
    /// are known immediately, while a measurement counts only if it was taken after the last
    /// reduction had taken effect.
    pub fn update(
        &mut self,
        settings: &Settings,
        view: &DomainView,
        used_slots: f64,
        now: Duration,
    ) {
        let elapsed = now
            .saturating_sub(self.updated_at)
            .min(settings.settling_time);
        self.updated_at = now;
        let settled = self
            .reduced_at
            .is_none_or(|at| view.measured_at >= at + settings.settling_time);
        let own_utilisation = if view.slots > 0.0 {
            used_slots / view.slots
        } else {
            0.0
        };
        if view.state != State::Serving || (!settled && own_utilisation <= settings.spill_threshold)
        {
            return;
        }
        let measured_utilisation = if settled { view.utilisation() } else { 0.0 };
        let utilisation = measured_utilisation.max(own_utilisation);
        if measured_utilisation >= 1.0 {
            self.reduce(OVERLOAD_BACKOFF, now);
        } else if utilisation > settings.spill_threshold {
            self.reduce(settings.target_utilisation() / utilisation, now);
        } else if utilisation < settings.return_threshold {
            let returned = settings.return_rate_per_minute * elapsed.as_secs_f64() / 60.0;
            self.fraction = (self.fraction + returned).min(1.0);
        }
    }

    fn reduce(&mut self, factor: f64, now: Duration) {
        self.fraction *= factor;
        self.reduced_at = Some(now);
    }
}

/// Slots of a domain that this VM's domain may use for work moved there.
///
/// Spare slots exclude those already in use. A grant therefore grows from the slots in use by a
/// part of the spare slots that is divided among all other domains, so that all grants together
/// cannot exceed the spare slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct Grant {
    pub slots: f64,
    changed_at: Option<Duration>,
}

impl Grant {
    /// Updates the grant if the measurement was taken after the last change had taken effect.
    pub fn update(
        &mut self,
        settings: &Settings,
        view: &DomainView,
        used_slots: f64,
        other_domains: f64,
        now: Duration,
    ) {
        let settled = self
            .changed_at
            .is_none_or(|at| view.measured_at >= at + settings.settling_time);
        if !settled {
            return;
        }
        let spare = settings.spare_slots(view, now);
        self.slots = if spare > 0.0 {
            used_slots + spare * settings.grant_step / other_domains
        } else {
            used_slots * GRANT_BACKOFF
        };
        self.changed_at = Some(now);
    }
}
