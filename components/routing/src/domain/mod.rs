//! Choice of the failure domain for a request.
//!
//! An entry VM keeps one [`Steering`] per service. It starts from base shares (all on its own
//! domain, or the shares of a shift), moves part of a domain's work away before the domain is
//! overloaded, first within the region, and brings it back slowly.
//!
//! A measurement counts only if it was taken after the previous decision had taken effect, so
//! late measurements delay a correction but do not repeat it.

mod allot;
mod control;

use std::collections::BTreeMap;
use std::time::Duration;

use config::{DomainId, Drains, RegionId};
use smallvec::SmallVec;

use crate::Shares;
use allot::Allotment;
use control::{Grant, Kept};

/// Whether a domain takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Serving,
    /// Drained by an operator, itself or with its region: takes no new work.
    Drained,
    /// No entry VM of it is heard.
    Dead,
}

impl State {
    /// State of a domain from the drains in force and whether any of its entry VMs is heard.
    pub fn of(domain: &str, region: &str, drains: &Drains, heard: bool) -> Self {
        let listed = |ids: &[Box<str>], id: &str| ids.iter().any(|x| &**x == id);
        if listed(&drains.domains, domain) || listed(&drains.regions, region) {
            State::Drained
        } else if heard {
            State::Serving
        } else {
            State::Dead
        }
    }
}

/// What an entry VM knows of a domain for one service.
#[derive(Clone, Debug)]
pub struct DomainView {
    /// Name.
    pub id: DomainId,
    /// Region that it belongs to.
    pub region: RegionId,
    /// Whether it takes new work.
    pub state: State,
    /// Slots of its servers.
    pub slots: f64,
    /// Free slots when it was measured.
    pub free: f64,
    /// When it was measured, by the clock of this process.
    pub measured: Duration,
    /// One-way delay from this entry VM.
    pub delay: Duration,
    /// Bytes per second that this VM's domain may use on the link to the domain's region,
    /// in the tighter direction; not used within the region.
    pub link_bytes: f64,
}

impl DomainView {
    /// Slots in use as a share of all.
    pub fn utilisation(&self) -> f64 {
        if self.slots > 0.0 {
            (1.0 - self.free / self.slots).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

/// Work that the entry VMs of this VM's domain steer together for the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots that it occupies.
    pub slots: f64,
    /// Bytes per second of its requests and responses, whichever are more.
    pub bytes: f64,
}

/// Thresholds and rates.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Utilisation at which work starts to go elsewhere.
    pub spill_at: f64,
    /// Utilisation below which work comes back.
    pub return_below: f64,
    /// Share of a domain's work that comes back per minute.
    pub return_per_minute: f64,
    /// Time that a decision needs to show in a measurement taken after it.
    pub settle: Duration,
    /// Age up to which a measurement counts in full.
    pub fresh: Duration,
    /// Age beyond `fresh` that halves the slots counted as free. With 2 s and measurements 5 s
    /// old, grants grew more slowly than a ramp of 1.3% of the slots a second.
    pub half_life: Duration,
    /// Part of a domain's spare slots that all others together may take per measurement.
    pub step: f64,
    /// Delay that halves the weight of a domain in another region.
    pub delay_scale: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            spill_at: 0.85,
            return_below: 0.7,
            return_per_minute: 0.1,
            settle: Duration::from_secs(2),
            fresh: Duration::from_secs(2),
            half_life: Duration::from_secs(4),
            step: 0.5,
            delay_scale: Duration::from_millis(50),
        }
    }
}

impl Settings {
    /// Utilisation in the middle of the band in which nothing changes.
    fn goal(&self) -> f64 {
        f64::midpoint(self.spill_at, self.return_below)
    }

    /// Free slots of a domain above the reserve at which it would spill itself, reduced by the
    /// age of the measurement.
    fn spare(&self, view: &DomainView, now: Duration) -> f64 {
        let late = now.saturating_sub(view.measured).saturating_sub(self.fresh);
        let discount = (-late.as_secs_f64() / self.half_life.as_secs_f64()).exp2();
        (view.free - (1.0 - self.spill_at) * view.slots) * discount
    }
}

/// Share of the work that each domain receives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    /// Domains with a share above 0, in the order of their names.
    pub shares: SmallVec<[(DomainId, f64); 4]>,
    /// Share for which no domain has room; it is refused as not run.
    pub refused: f64,
}

impl Split {
    /// Share of a domain.
    pub fn share(&self, domain: &DomainId) -> f64 {
        let found = self.shares.iter().find(|(d, _)| d == domain);
        found.map_or(0.0, |(_, s)| *s)
    }

    /// Domain for a point in 0..1 (random, or a hash to keep a caller on its domain), or `None`
    /// if the request is to be refused. Domains in `tried` are left out.
    pub fn pick(&self, point: f64, tried: &[DomainId]) -> Option<&DomainId> {
        let open = || self.shares.iter().filter(|(d, _)| !tried.contains(d));
        let total: f64 = open().map(|(_, s)| s).sum::<f64>() + self.refused;
        let mut at = point * total;
        for (d, s) in open() {
            if at < *s {
                return Some(d);
            }
            at -= s;
        }
        // Without a refused share only rounding leads here.
        (self.refused <= 0.0).then(|| open().next_back().map(|(d, _)| d))?
    }
}

/// Steering of one service on one entry VM.
#[derive(Clone, Debug)]
pub struct Steering {
    settings: Settings,
    kept: BTreeMap<DomainId, Kept>,
    grants: BTreeMap<DomainId, Grant>,
    split: Split,
}

impl Steering {
    /// Steering that has no measurement yet.
    pub fn new(settings: Settings) -> Self {
        Steering {
            settings,
            kept: BTreeMap::new(),
            grants: BTreeMap::new(),
            split: Split::default(),
        }
    }

    /// Split in force.
    pub fn split(&self) -> &Split {
        &self.split
    }

    /// Part of the work for a domain that is not moved away because of its load.
    pub fn kept(&self, domain: &DomainId) -> f64 {
        self.kept.get(domain).map_or(1.0, |k| k.share)
    }

    /// Takes new measurements into account and computes the split. `region` is the region of
    /// this VM. Call it at each new digest and at least once a second.
    pub fn update(
        &mut self,
        base: &Shares,
        region: &RegionId,
        views: &[DomainView],
        load: Load,
        now: Duration,
    ) -> &Split {
        let serving = views.iter().filter(|v| v.state == State::Serving).count();
        let others = serving.saturating_sub(1).max(1) as f64;
        for view in views {
            let used = self.split.share(&view.id) * load.slots;
            let kept = self.kept.entry(view.id.clone()).or_default();
            kept.update(&self.settings, view, used, now);
            let grant = self.grants.entry(view.id.clone()).or_default();
            grant.update(&self.settings, view, used, others, now);
        }
        self.kept.retain(|d, _| views.iter().any(|v| v.id == *d));
        self.grants.retain(|d, _| views.iter().any(|v| v.id == *d));
        self.split = self.compute(base, region, views, load, now);
        &self.split
    }

    /// Places the base shares. Work that a domain would give away but nobody has room for stays
    /// there, and the part kept is corrected to that: otherwise it would fall further at each
    /// measurement and all of it would move at once when room appears.
    fn compute(
        &mut self,
        base: &Shares,
        region: &RegionId,
        views: &[DomainView],
        load: Load,
        now: Duration,
    ) -> Split {
        let mut a = Allotment::new(&self.settings, views, region, load);
        let mut refused = 0.0;
        let mut overflow: SmallVec<[(usize, f64); 4]> = SmallVec::new();
        for (domain, &share) in base {
            let Some(i) = views.iter().position(|v| v.id == *domain) else {
                refused += share;
                continue;
            };
            match views[i].state {
                State::Serving => {
                    let placed = a.place(i, share * self.kept(domain));
                    overflow.push((i, share - placed));
                }
                State::Drained => overflow.push((i, share)),
                // A dead domain's share moves under the cap of a fail-over, not here.
                State::Dead => refused += share,
            }
        }
        a.set_rooms(|i| self.grants.get(&views[i].id).map_or(0.0, |g| g.slots));
        for (i, rest) in &mut overflow {
            if views[*i].state == State::Serving {
                *rest = a.spread(*i, *rest);
            }
        }
        // Work of a drained domain cannot stay, so it may use all spare slots.
        let used = |i: usize| self.split.share(&views[i].id) * load.slots;
        a.set_rooms(|i| used(i) + self.settings.spare(&views[i], now).max(0.0));
        for (i, rest) in overflow {
            if views[i].state == State::Drained {
                refused += a.spread(i, rest);
                continue;
            }
            // The domain's own admission refuses what its servers cannot take.
            let back = a.place(i, rest);
            refused += rest - back;
            let share = base[&views[i].id];
            if let Some(kept) = self.kept.get_mut(&views[i].id)
                && share > 0.0
            {
                kept.share = (kept.share + back / share).min(1.0);
            }
        }
        a.finish(refused)
    }
}
