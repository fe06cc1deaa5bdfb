//! Movement of traffic shares under a cap.

use std::time::Duration;

use config::{DomainId, moved_share};

use crate::Shares;

/// Window that a cap applies to.
const MINUTE: Duration = Duration::from_mins(1);
/// Longest time between two calls that counts as time to move. Without this bound a node that
/// was paused for a minute would move the cap at once and again in the minute that follows.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Shares at `fraction` of the straight line from `a` to `b`.
pub fn between(a: &Shares, b: &Shares, fraction: f64) -> Shares {
    if fraction >= 1.0 {
        return b.clone();
    }
    let mut out: Shares = b.iter().map(|(d, s)| (d.clone(), s * fraction)).collect();
    for (d, s) in a {
        *out.entry(d.clone()).or_default() += s * (1.0 - fraction);
    }
    out
}

/// Shares in force on one node for one service.
///
/// However the target jumps, the share moved in any minute of the node's own clock is at most the
/// cap. By the triangle inequality the same holds for the weighted sum over nodes.
#[derive(Clone, Debug)]
pub struct ShiftLimiter {
    shares: Shares,
    last: Duration,
}

impl ShiftLimiter {
    /// Starts with the given shares in force at `now`, time since process start.
    pub fn new(shares: Shares, now: Duration) -> Self {
        ShiftLimiter { shares, last: now }
    }

    /// Shares in force.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Moves towards `target` as far as the cap allows since the last call and returns the shares
    /// in force. Call it at least once a second: time beyond that does not count.
    pub fn advance(&mut self, target: &Shares, cap_per_minute: f64, now: Duration) -> &Shares {
        let step = now.saturating_sub(self.last).min(MAX_STEP);
        self.last = self.last.max(now);
        // A window of a minute holds at most a minute of steps and the end of one that began
        // before it, so the rate is the cap over their sum.
        let rate = cap_per_minute.max(0.0) / (MINUTE + MAX_STEP).as_secs_f64();
        let allowed = rate * step.as_secs_f64();
        let total = moved_share(&self.shares, target);
        if total <= allowed {
            self.shares.clone_from(target);
        } else if allowed > 0.0 {
            self.shares = between(&self.shares, target, allowed / total);
        }
        &self.shares
    }
}

/// Shares for the work of one domain's callers while the shares of all work move.
///
/// Callers prefer their own domain, so their work follows `nominal`. What their domain loses
/// against it goes to the domains that gain, in proportion to the gains. Summed over all domains
/// the result is `current`.
pub fn home_shares(nominal: &Shares, current: &Shares, home: &DomainId) -> Shares {
    let share = |shares: &Shares, domain| shares.get(domain).copied().unwrap_or(0.0);
    let gain = |domain| (share(current, domain) - share(nominal, domain)).max(0.0);
    let own = share(nominal, home);
    let gained: f64 = current.keys().map(gain).sum();
    let kept = if own > 0.0 {
        (share(current, home) / own).min(1.0)
    } else {
        1.0
    };
    if kept >= 1.0 || gained <= 0.0 {
        return Shares::from([(home.clone(), 1.0)]);
    }
    let mut shares: Shares = current
        .keys()
        .map(|domain| (domain.clone(), (1.0 - kept) * gain(domain) / gained))
        .filter(|(_, share)| *share > 0.0)
        .collect();
    if kept > 0.0 {
        shares.insert(home.clone(), kept);
    }
    shares
}
