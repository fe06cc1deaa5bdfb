//! Allocation of shares to domains within their headroom and the limits of the links.

use config::{DomainId, RegionId};

use super::{DomainView, Load, Settings, Split, State};

/// Shares below this are rounding errors.
const EPSILON: f64 = 1e-9;

/// Shares allocated so far.
pub struct Allocation<'a> {
    settings: &'a Settings,
    views: &'a [DomainView],
    region: &'a RegionId,
    load: Load,
    /// Share allocated to each domain.
    allocated: Vec<f64>,
    /// Share that each domain can still accept from other domains.
    headroom: Vec<f64>,
}

impl<'a> Allocation<'a> {
    /// Creates an empty allocation.
    pub fn new(
        settings: &'a Settings,
        views: &'a [DomainView],
        region: &'a RegionId,
        load: Load,
    ) -> Self {
        Allocation {
            settings,
            views,
            region,
            load,
            allocated: vec![0.0; views.len()],
            headroom: vec![0.0; views.len()],
        }
    }

    /// Allocates as much of a share to a domain as the link allows, and returns that part.
    pub fn allocate(&mut self, domain: usize, share: f64) -> f64 {
        let part = share.min(self.link_headroom(domain)).max(0.0);
        self.allocated[domain] += part;
        part
    }

    /// Sets the number of slots that work in each domain may occupy, by index of the domain. Shares
    /// already allocated to a domain reduce its headroom.
    pub fn set_headroom(&mut self, slots: impl Fn(usize) -> f64) {
        for i in 0..self.views.len() {
            let limit = if self.load.slots > 0.0 {
                slots(i) / self.load.slots
            } else {
                1.0
            };
            let serving = self.views[i].state == State::Serving;
            self.headroom[i] = if serving {
                (limit - self.allocated[i]).max(0.0)
            } else {
                0.0
            };
        }
    }

    /// Moves a share from a domain to others, first within its region, and returns the part that
    /// exceeds their headroom.
    pub fn redistribute(&mut self, from: usize, share: f64) -> f64 {
        let views = self.views;
        let same_region = |i: usize| i != from && views[i].region == views[from].region;
        let other_regions = |i: usize| views[i].region != views[from].region;
        let remaining = self.distribute(share, same_region);
        self.distribute(remaining, other_regions)
    }

    /// Returns the split of all allocated shares.
    pub fn into_split(self, refused: f64) -> Split {
        let allocated = self.views.iter().zip(&self.allocated);
        let mut shares: smallvec::SmallVec<[(DomainId, f64); 4]> = allocated
            .filter(|(_, s)| **s > EPSILON)
            .map(|(v, s)| (v.id.clone(), *s))
            .collect();
        shares.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        Split {
            shares,
            refused: if refused > EPSILON { refused } else { 0.0 },
        }
    }

    /// Distributes a share among eligible domains in proportion to their weights, each up to its
    /// headroom, and returns the rest.
    fn distribute(&mut self, mut share: f64, eligible: impl Fn(usize) -> bool) -> f64 {
        // Each round uses up the headroom of a domain or the share.
        for _ in 0..self.views.len() {
            let weights: Vec<f64> = (0..self.views.len())
                .map(|i| if eligible(i) { self.weight(i) } else { 0.0 })
                .collect();
            let total: f64 = weights.iter().sum();
            if share <= EPSILON || total <= EPSILON {
                break;
            }
            let requested = share;
            for (i, weight) in weights.into_iter().enumerate() {
                let part = self.allocate(i, (requested * weight / total).min(self.headroom[i]));
                self.headroom[i] -= part;
                share -= part;
            }
        }
        share.max(0.0)
    }

    /// Returns the headroom of a domain, reduced by delay for other regions.
    fn weight(&self, domain: usize) -> f64 {
        let view = &self.views[domain];
        let headroom = self.headroom[domain].min(self.link_headroom(domain));
        if view.region == *self.region {
            headroom
        } else {
            headroom / (1.0 + view.delay.as_secs_f64() / self.settings.delay_scale.as_secs_f64())
        }
    }

    /// Returns the share that the link to a domain's region can still carry.
    fn link_headroom(&self, domain: usize) -> f64 {
        let view = &self.views[domain];
        if view.region == *self.region || self.load.bytes_per_second <= 0.0 {
            return f64::INFINITY;
        }
        let in_same_region = |v: &DomainView| v.region == view.region;
        let allocated = self.views.iter().zip(&self.allocated);
        let used: f64 = allocated
            .filter(|(v, _)| in_same_region(v))
            .map(|(_, s)| s)
            .sum();
        (view.link_bytes_per_second / self.load.bytes_per_second - used).max(0.0)
    }
}
