//! Per-domain control state: what a domain keeps of its work and what it grants to others.

use std::time::Duration;

use super::{DomainView, Settings, State};

/// Part of a domain's work kept when no slot is free: the excess is unknown then.
const FULL_FACTOR: f64 = 0.6;
/// Part of a grant left after a measurement without spare slots.
const GRANT_FACTOR: f64 = 0.8;

/// Part of the work meant for a domain that stays there.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    /// Part kept, 0 to 1.
    pub share: f64,
    reduced: Option<Duration>,
    updated: Duration,
}

impl Default for Kept {
    fn default() -> Self {
        Kept {
            share: 1.0,
            reduced: None,
            updated: Duration::ZERO,
        }
    }
}

impl Kept {
    /// Reduces the part kept if overload is near, raises it at the return rate if there is room.
    ///
    /// `used` are the slots that this VM's domain itself takes by the split in force. It is known
    /// at once, unlike a measurement, which counts only if it was taken after the last reduction
    /// had taken effect.
    pub fn update(&mut self, settings: &Settings, view: &DomainView, used: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).min(settings.settle);
        self.updated = now;
        let settled = self
            .reduced
            .is_none_or(|at| view.measured >= at + settings.settle);
        let known = if view.slots > 0.0 {
            used / view.slots
        } else {
            0.0
        };
        if view.state != State::Serving || (!settled && known <= settings.spill_at) {
            return;
        }
        let measured = if settled { view.utilisation() } else { 0.0 };
        let utilisation = measured.max(known);
        if measured >= 1.0 {
            self.reduce(FULL_FACTOR, now);
        } else if utilisation > settings.spill_at {
            self.reduce(settings.goal() / utilisation, now);
        } else if utilisation < settings.return_below {
            let back = settings.return_per_minute * elapsed.as_secs_f64() / 60.0;
            self.share = (self.share + back).min(1.0);
        }
    }

    fn reduce(&mut self, factor: f64, now: Duration) {
        self.share *= factor;
        self.reduced = Some(now);
    }
}

/// Slots of a domain that this VM's domain may use for work moved there.
///
/// Spare slots already exclude what is in use, so a grant grows from the use in force by a part of
/// the spare slots that is divided among all domains: together they cannot exceed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Grant {
    /// Slots granted.
    pub slots: f64,
    changed: Option<Duration>,
}

impl Grant {
    /// Takes a measurement into account if it shows the use that the last grant led to.
    pub fn update(
        &mut self,
        settings: &Settings,
        view: &DomainView,
        used: f64,
        others: f64,
        now: Duration,
    ) {
        let settled = self
            .changed
            .is_none_or(|at| view.measured >= at + settings.settle);
        if !settled {
            return;
        }
        let spare = settings.spare(view, now);
        self.slots = if spare > 0.0 {
            used + spare * settings.step / others
        } else {
            used * GRANT_FACTOR
        };
        self.changed = Some(now);
    }
}
