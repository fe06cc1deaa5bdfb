//! Rate limit for changes of traffic shares.

use std::time::Duration;

use config::{DomainId, moved_share};

use crate::Shares;

/// Window in which the moved share must not exceed the cap.
const CAP_WINDOW: Duration = Duration::from_mins(1);
/// Upper bound for the elapsed time that one call takes into account. Without it, a node paused
/// for a minute would move the whole cap at once and again in the minute that follows.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Interpolates linearly from `a` (fraction 0) to `b` (fraction 1).
pub fn interpolate(a: &Shares, b: &Shares, fraction: f64) -> Shares {
    if fraction >= 1.0 {
        return b.clone();
    }
    let mut out: Shares = b.iter().map(|(d, s)| (d.clone(), s * fraction)).collect();
    for (d, s) in a {
        *out.entry(d.clone()).or_default() += s * (1.0 - fraction);
    }
    out
}

/// Limits how fast the shares of one service change on one node.
///
/// The share moved in any minute of the node's own clock is at most the cap, however the target
/// changes. By the triangle inequality the same holds for the weighted sum over nodes.
#[derive(Clone, Debug)]
pub struct ShiftLimiter {
    shares: Shares,
    last_advance: Duration,
}

impl ShiftLimiter {
    /// Starts with the given shares in force. `now` is the time since process start.
    pub fn new(shares: Shares, now: Duration) -> Self {
        ShiftLimiter {
            shares,
            last_advance: now,
        }
    }

    /// Shares in force.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Moves towards `target` as far as the cap allows for the time since the last call, and
    /// returns the shares in force. Must be called at least once a second: longer gaps
    /// count as one second.
    pub fn advance(&mut self, target: &Shares, cap_per_minute: f64, now: Duration) -> &Shares {
        let step = now.saturating_sub(self.last_advance).min(MAX_STEP);
        self.last_advance = self.last_advance.max(now);
        // A window of one minute contains steps of at most one minute in total plus the end of a
        // step that began before it, so the cap is spread over the window plus one step.
        let rate = cap_per_minute.max(0.0) / (CAP_WINDOW + MAX_STEP).as_secs_f64();
        let allowed = rate * step.as_secs_f64();
        let total = moved_share(&self.shares, target);
        if total <= allowed {
            self.shares.clone_from(target);
        } else if allowed > 0.0 {
            self.shares = interpolate(&self.shares, target, allowed / total);
        }
        &self.shares
    }
}

/// Returns the shares for requests from callers of the domain `home`, given the shares of all
/// requests.
///
/// Callers prefer their own domain, so requests originate in the domains in proportion to `nominal`
/// and stay there without a shift. The share that `home` loses in `current` relative to `nominal`
/// goes to the domains that gain, in proportion to their gains. Summed over all home domains the
/// result is `current`.
pub fn home_shares(nominal: &Shares, current: &Shares, home: &DomainId) -> Shares {
    let share = |shares: &Shares, domain| shares.get(domain).copied().unwrap_or(0.0);
    let gain = |domain| (share(current, domain) - share(nominal, domain)).max(0.0);
    let nominal_home = share(nominal, home);
    let total_gain: f64 = current.keys().map(gain).sum();
    let retained = if nominal_home > 0.0 {
        (share(current, home) / nominal_home).min(1.0)
    } else {
        1.0
    };
    if retained >= 1.0 || total_gain <= 0.0 {
        return Shares::from([(home.clone(), 1.0)]);
    }
    let mut shares: Shares = current
        .keys()
        .map(|domain| (domain.clone(), (1.0 - retained) * gain(domain) / total_gain))
        .filter(|(_, share)| *share > 0.0)
        .collect();
    if retained > 0.0 {
        shares.insert(home.clone(), retained);
    }
    shares
}
