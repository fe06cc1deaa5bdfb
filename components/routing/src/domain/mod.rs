//! Selection of the failure domain for a request.
//!
//! An entry VM has one [`Steering`] per service. It starts from base shares (all on its own
//! domain, or the shares of a shift). Before a domain is overloaded, part of its work moves to
//! other domains, first within the region. The work returns at a limited rate.
//!
//! A measurement counts only if it was taken after the previous decision had taken effect, so
//! late measurements delay a correction but do not cause it to be applied twice.

mod allocation;
mod control;

use std::collections::BTreeMap;
use std::time::Duration;

use config::{DomainId, Drains, RegionId};
use smallvec::SmallVec;

use crate::Shares;
use allocation::Allocation;
use control::{Grant, RetainedShare};

/// Whether a domain accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Serving,
    /// The domain or its region is drained by an operator, so it accepts no new requests.
    Drained,
    /// None of its entry VMs is reachable.
    Dead,
}

impl State {
    /// Returns the state of a domain from the drains in force and whether any of its entry VMs is
    /// reachable.
    pub fn of(domain: &str, region: &str, drains: &Drains, reachable: bool) -> Self {
        let listed = |ids: &[Box<str>], id: &str| ids.iter().any(|x| &**x == id);
        if listed(&drains.domains, domain) || listed(&drains.regions, region) {
            State::Drained
        } else if reachable {
            State::Serving
        } else {
            State::Dead
        }
    }
}

/// State of a domain for one service as known to an entry VM.
#[derive(Clone, Debug)]
pub struct DomainView {
    pub id: DomainId,
    pub region: RegionId,
    pub state: State,
    /// Total slots of its servers.
    pub slots: f64,
    /// Free slots at the time of the measurement.
    pub free_slots: f64,
    /// Time of the measurement by the clock of this process.
    pub measured_at: Duration,
    /// One-way delay from this entry VM.
    pub delay: Duration,
    /// Bytes per second that this VM's domain may use on the link to the domain's region, in the
    /// direction with the lower limit. Ignored for domains of the same region.
    pub link_bytes_per_second: f64,
}

impl DomainView {
    /// Returns the fraction of slots in use, 0 to 1.
    pub fn utilisation(&self) -> f64 {
        if self.slots > 0.0 {
            (1.0 - self.free_slots / self.slots).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

/// Load of one service that all entry VMs of this VM's domain steer together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots occupied by its requests.
    pub slots: f64,
    /// Bytes per second of its requests or of its responses, whichever is higher.
    pub bytes_per_second: f64,
}

/// Thresholds and rates of the steering.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Utilisation above which work moves to other domains.
    pub spill_threshold: f64,
    /// Utilisation below which work returns to its domain.
    pub return_threshold: f64,
    /// Fraction of a domain's work that returns per minute.
    pub return_rate_per_minute: f64,
    /// Time after which the effect of a decision is visible in new measurements.
    pub settling_time: Duration,
    /// Age up to which a measurement has its full weight.
    pub max_fresh_age: Duration,
    /// Age beyond `max_fresh_age` at which the spare slots count by half. With a half-life of 2 s
    /// and measurements 5 s old, grants grew more slowly than a load ramp of 1.3% of the slots per
    /// second.
    pub staleness_half_life: Duration,
    /// Fraction of a domain's spare slots that all other domains together may take per measurement.
    pub grant_step: f64,
    /// Delay at which the weight of a domain in another region is halved.
    pub delay_scale: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            spill_threshold: 0.85,
            return_threshold: 0.7,
            return_rate_per_minute: 0.1,
            settling_time: Duration::from_secs(2),
            max_fresh_age: Duration::from_secs(2),
            staleness_half_life: Duration::from_secs(4),
            grant_step: 0.5,
            delay_scale: Duration::from_millis(50),
        }
    }
}

impl Settings {
    /// Returns the middle of the range of utilisation in which shares stay unchanged.
    fn target_utilisation(&self) -> f64 {
        f64::midpoint(self.spill_threshold, self.return_threshold)
    }

    /// Returns the free slots of a domain beyond those that keep it below the spill threshold,
    /// reduced by the age of the measurement.
    fn spare_slots(&self, view: &DomainView, now: Duration) -> f64 {
        let excess_age = now
            .saturating_sub(view.measured_at)
            .saturating_sub(self.max_fresh_age);
        let discount = (-excess_age.as_secs_f64() / self.staleness_half_life.as_secs_f64()).exp2();
        (view.free_slots - (1.0 - self.spill_threshold) * view.slots) * discount
    }
}

/// Share of the work that each domain receives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    /// Domains with a share above 0, sorted by name.
    pub shares: SmallVec<[(DomainId, f64); 4]>,
    /// Share that no domain can take. Its requests are refused without being run.
    pub refused: f64,
}

impl Split {
    /// Returns the share of a domain, 0 if it has none.
    pub fn share(&self, domain: &DomainId) -> f64 {
        let found = self.shares.iter().find(|(d, _)| d == domain);
        found.map_or(0.0, |(_, s)| *s)
    }

    /// Selects a domain by a point in 0..1 (random, or a hash that keeps a caller on one domain).
    /// Returns `None` if the request is to be refused. Domains in `tried` are excluded.
    pub fn pick(&self, point: f64, tried: &[DomainId]) -> Option<&DomainId> {
        let candidates = || self.shares.iter().filter(|(d, _)| !tried.contains(d));
        let total: f64 = candidates().map(|(_, s)| s).sum::<f64>() + self.refused;
        let mut remaining = point * total;
        for (d, s) in candidates() {
            if remaining < *s {
                return Some(d);
            }
            remaining -= s;
        }
        // If no share is refused, this is reached only through rounding errors.
        (self.refused <= 0.0).then(|| candidates().next_back().map(|(d, _)| d))?
    }
}

/// Steering of one service on one entry VM.
#[derive(Clone, Debug)]
pub struct Steering {
    settings: Settings,
    retained: BTreeMap<DomainId, RetainedShare>,
    grants: BTreeMap<DomainId, Grant>,
    split: Split,
}

impl Steering {
    /// Creates a steering without measurements.
    pub fn new(settings: Settings) -> Self {
        Steering {
            settings,
            retained: BTreeMap::new(),
            grants: BTreeMap::new(),
            split: Split::default(),
        }
    }

    /// Returns the split in force.
    pub fn split(&self) -> &Split {
        &self.split
    }

    /// Returns the fraction of a domain's work that is not moved to other domains because of load.
    pub fn retained_share(&self, domain: &DomainId) -> f64 {
        self.retained.get(domain).map_or(1.0, |r| r.fraction)
    }

    /// Updates the control state from new measurements and computes the split. `region` is the
    /// region of this VM. Must be called at each new digest and at least once a second.
    pub fn update(
        &mut self,
        base: &Shares,
        region: &RegionId,
        views: &[DomainView],
        load: Load,
        now: Duration,
    ) -> &Split {
        let serving = views.iter().filter(|v| v.state == State::Serving).count();
        let other_domains = serving.saturating_sub(1).max(1) as f64;
        for view in views {
            let used_slots = self.split.share(&view.id) * load.slots;
            let retained = self.retained.entry(view.id.clone()).or_default();
            retained.update(&self.settings, view, used_slots, now);
            let grant = self.grants.entry(view.id.clone()).or_default();
            grant.update(&self.settings, view, used_slots, other_domains, now);
        }
        self.retained
            .retain(|d, _| views.iter().any(|v| v.id == *d));
        self.grants.retain(|d, _| views.iter().any(|v| v.id == *d));
        self.split = self.compute(base, region, views, load, now);
        &self.split
    }

    /// Computes the split from the base shares.
    ///
    /// Work that exceeds the headroom of the other domains stays in its domain, and the retained
    /// fraction is raised accordingly. Otherwise the fraction would decrease further at each
    /// measurement, and all of that work would move at once as soon as headroom appears.
    fn compute(
        &mut self,
        base: &Shares,
        region: &RegionId,
        views: &[DomainView],
        load: Load,
        now: Duration,
    ) -> Split {
        let mut allocation = Allocation::new(&self.settings, views, region, load);
        let mut refused = 0.0;
        let mut overflow: SmallVec<[(usize, f64); 4]> = SmallVec::new();
        for (domain, &share) in base {
            let Some(i) = views.iter().position(|v| v.id == *domain) else {
                refused += share;
                continue;
            };
            match views[i].state {
                State::Serving => {
                    let allocated = allocation.allocate(i, share * self.retained_share(domain));
                    overflow.push((i, share - allocated));
                }
                State::Drained => overflow.push((i, share)),
                // The base shares move away from a dead domain under the failover cap.
                State::Dead => refused += share,
            }
        }
        allocation.set_headroom(|i| self.grants.get(&views[i].id).map_or(0.0, |g| g.slots));
        for (i, rest) in &mut overflow {
            if views[*i].state == State::Serving {
                *rest = allocation.redistribute(*i, *rest);
            }
        }
        // Work of a drained domain cannot stay there, so it may use all spare slots.
        let used_slots = |i: usize| self.split.share(&views[i].id) * load.slots;
        allocation
            .set_headroom(|i| used_slots(i) + self.settings.spare_slots(&views[i], now).max(0.0));
        for (i, rest) in overflow {
            if views[i].state == State::Drained {
                refused += allocation.redistribute(i, rest);
                continue;
            }
            // Admission control in the domain refuses requests that exceed its servers' capacity.
            let unmoved = allocation.allocate(i, rest);
            refused += rest - unmoved;
            let share = base[&views[i].id];
            if let Some(retained) = self.retained.get_mut(&views[i].id)
                && share > 0.0
            {
                retained.fraction = (retained.fraction + unmoved / share).min(1.0);
            }
        }
        allocation.into_split(refused)
    }
}
