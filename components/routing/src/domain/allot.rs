//! Allotment of shares to domains within their rooms and the links' limits.

use config::{DomainId, RegionId};

use super::{DomainView, Load, Settings, Split, State};

/// Shares below this are rounding errors.
const EPSILON: f64 = 1e-9;

/// Shares placed so far.
pub struct Allotment<'a> {
    settings: &'a Settings,
    views: &'a [DomainView],
    region: &'a RegionId,
    load: Load,
    /// Share placed in each domain.
    placed: Vec<f64>,
    /// Share that may still be moved to each domain.
    rooms: Vec<f64>,
}

impl<'a> Allotment<'a> {
    /// Nothing placed.
    pub fn new(
        settings: &'a Settings,
        views: &'a [DomainView],
        region: &'a RegionId,
        load: Load,
    ) -> Self {
        Allotment {
            settings,
            views,
            region,
            load,
            placed: vec![0.0; views.len()],
            rooms: vec![0.0; views.len()],
        }
    }

    /// Places as much of a share as the link allows and returns that part.
    pub fn place(&mut self, domain: usize, share: f64) -> f64 {
        let part = share.min(self.link_room(domain)).max(0.0);
        self.placed[domain] += part;
        part
    }

    /// Sets how many slots the work in each domain may occupy, by index of the domain. Work placed
    /// there earlier counts, so a domain of the base shares offers only what is left.
    pub fn set_rooms(&mut self, slots: impl Fn(usize) -> f64) {
        for i in 0..self.views.len() {
            let total = if self.load.slots > 0.0 {
                slots(i) / self.load.slots
            } else {
                1.0
            };
            let open = self.views[i].state == State::Serving;
            self.rooms[i] = if open {
                (total - self.placed[i]).max(0.0)
            } else {
                0.0
            };
        }
    }

    /// Moves a share away from a domain, first within its region, and returns the part for which
    /// there is no room.
    pub fn spread(&mut self, from: usize, share: f64) -> f64 {
        let views = self.views;
        let near = |i: usize| i != from && views[i].region == views[from].region;
        let far = |i: usize| views[i].region != views[from].region;
        let rest = self.fill(share, near);
        self.fill(rest, far)
    }

    /// The split with everything that was placed.
    pub fn finish(self, refused: f64) -> Split {
        let placed = self.views.iter().zip(&self.placed);
        let mut shares: smallvec::SmallVec<[(DomainId, f64); 4]> = placed
            .filter(|(_, s)| **s > EPSILON)
            .map(|(v, s)| (v.id.clone(), *s))
            .collect();
        shares.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        Split {
            shares,
            refused: if refused > EPSILON { refused } else { 0.0 },
        }
    }

    /// Divides a share among domains in proportion to their weights, each up to its room.
    fn fill(&mut self, mut share: f64, among: impl Fn(usize) -> bool) -> f64 {
        // Each round exhausts a domain or the share.
        for _ in 0..self.views.len() {
            let weights: Vec<f64> = (0..self.views.len())
                .map(|i| if among(i) { self.weight(i) } else { 0.0 })
                .collect();
            let total: f64 = weights.iter().sum();
            if share <= EPSILON || total <= EPSILON {
                break;
            }
            let wanted = share;
            for (i, weight) in weights.into_iter().enumerate() {
                let part = self.place(i, (wanted * weight / total).min(self.rooms[i]));
                self.rooms[i] -= part;
                share -= part;
            }
        }
        share.max(0.0)
    }

    fn weight(&self, domain: usize) -> f64 {
        let view = &self.views[domain];
        let room = self.rooms[domain].min(self.link_room(domain));
        if view.region == *self.region {
            room
        } else {
            room / (1.0 + view.delay.as_secs_f64() / self.settings.delay_scale.as_secs_f64())
        }
    }

    /// Share that the link to a domain's region still carries.
    fn link_room(&self, domain: usize) -> f64 {
        let view = &self.views[domain];
        if view.region == *self.region || self.load.bytes <= 0.0 {
            return f64::INFINITY;
        }
        let same = |v: &DomainView| v.region == view.region;
        let placed = self.views.iter().zip(&self.placed);
        let used: f64 = placed.filter(|(v, _)| same(v)).map(|(_, s)| s).sum();
        (view.link_bytes / self.load.bytes - used).max(0.0)
    }
}
