//! Selection of the entry VMs that the answer to a look-up names.
//!
//! Entry VMs are preferred in an order instead of being filtered: the answer is empty only if no
//! entry VM may take requests of the host.

use std::time::Duration;

use config::{DomainId, RegionId};
use smallvec::SmallVec;

use crate::members::{Member, MemberState};

/// Shortest lifetime of an answer that names leaving entry VMs; callers would look up again at once.
const MIN_LIFETIME: Duration = Duration::from_millis(100);

/// A question for entry VMs.
#[derive(Clone, Copy, Debug)]
pub struct LookUp<'a> {
    /// Region of the caller.
    pub region: &'a str,
    /// Failure domain of the caller.
    pub domain: &'a str,
    /// Routes of the host; none if the host is not known.
    pub routes: &'a [HostRoute<'a>],
    /// Failure domains whose entry VMs must not be named.
    pub evacuated: &'a [DomainId],
}

/// What the requests of a route need.
#[derive(Clone, Copy, Debug)]
pub struct HostRoute<'a> {
    /// Regions that may handle the requests; empty means all.
    pub allowed_regions: &'a [RegionId],
    /// Time that a request has until its deadline.
    pub time_limit: Duration,
}

impl HostRoute<'_> {
    fn allows(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|r| &**r == region)
    }
}

/// An entry VM that is alive, as a candidate for the answer.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub member: &'a Member,
    /// Whether it reaches the servers; otherwise it passes requests on.
    pub reaches_servers: bool,
    /// Time for which it takes requests; their deadlines must pass before. `None` if it is not
    /// leaving.
    pub time_left: Option<Duration>,
}

/// How well an entry VM serves requests of the host; the best comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quality {
    /// It is ready, and in the caller's region or in one that every route allows.
    Ready,
    /// The same, but it does not reach the servers and passes requests on.
    CutOff,
    /// It is leaving.
    Leaving,
    /// It is leaving, and passes requests on since it does not reach the servers.
    LeavingCutOff,
    /// In a region that some route does not allow: it passes requests on to one that is allowed.
    /// Entry VMs that are leaving come first, since bodies should stay in the allowed regions.
    OtherRegion,
    /// The same, and it is leaving.
    OtherRegionLeaving,
}

impl Quality {
    pub fn label(self) -> &'static str {
        match self {
            Quality::Ready => "ready",
            Quality::CutOff => "cut_off",
            Quality::Leaving | Quality::LeavingCutOff => "leaving",
            Quality::OtherRegion | Quality::OtherRegionLeaving => "other_region",
        }
    }
}

/// How far an entry VM is from the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// The entry VMs for an answer, all of the same quality and distance.
#[derive(Clone, Debug)]
pub struct Selection<'a> {
    pub quality: Quality,
    pub distance: Distance,
    /// Never empty.
    pub members: Vec<&'a Member>,
    /// Shortest time for which one of them goes on to take requests; `None` if they are not leaving.
    pub takes_requests_for: Option<Duration>,
}

impl Selection<'_> {
    /// Returns how long callers may keep the answer, `longest` at most: shorter if better entry VMs may
    /// be back soon, and not longer than the named ones take requests.
    pub fn lifetime(&self, longest: Duration) -> Duration {
        let fraction = match (self.quality, self.distance) {
            (Quality::Ready, Distance::SameDomain | Distance::SameRegion) => 1.0,
            (Quality::Ready, Distance::OtherRegion) | (Quality::CutOff, _) => 0.5,
            _ => 0.25,
        };
        let end = self.takes_requests_for.unwrap_or(Duration::MAX);
        longest.mul_f64(fraction).min(end.max(MIN_LIFETIME))
    }
}

/// What the entry VMs of a region can do for a host.
struct RegionAccess<'a> {
    region: &'a str,
    /// Whether all routes allow the region.
    all_routes_allowed: bool,
    /// Shortest time limit of the routes whose requests can be handled there or passed on from
    /// there; `None` if there is no such route.
    shortest_limit: Option<Duration>,
}

impl<'a> RegionAccess<'a> {
    /// `in_use` are the regions with entry VMs that requests can be forwarded to.
    fn new(region: &'a str, routes: &[HostRoute], in_use: &[&str]) -> Self {
        let can_forward = |route: &HostRoute| in_use.iter().any(|r| route.allows(r));
        let takes = |route: &&HostRoute| route.allows(region) || can_forward(route);
        let limits = routes.iter().filter(takes).map(|r| r.time_limit);
        let any_limit = routes.is_empty().then_some(Duration::ZERO);
        RegionAccess {
            region,
            all_routes_allowed: routes.iter().all(|r| r.allows(region)),
            shortest_limit: limits.min().or(any_limit),
        }
    }

    /// Whether an entry VM of the region takes requests of at least one route.
    fn takes_requests(&self, candidate: &Candidate) -> bool {
        let Some(limit) = self.shortest_limit else {
            return false;
        };
        match (candidate.member.state, candidate.time_left) {
            (MemberState::Starting, _) => false,
            (MemberState::Ready, None) => true,
            (_, left) => left.is_some_and(|left| !left.is_zero() && left >= limit),
        }
    }
}

/// Selects the best entry VMs among `candidates`; `None` if none of them may take requests of the
/// host.
pub fn select<'a>(look_up: &LookUp, candidates: &[Candidate<'a>]) -> Option<Selection<'a>> {
    let regions = region_access(look_up, candidates);
    let rank = |c: &Candidate| {
        let access = regions.iter().find(|r| *r.region == *c.member.region)?;
        let named = access.takes_requests(c) && !look_up.evacuated.contains(&c.member.domain);
        let takes_requests_for = c.time_left.zip(access.shortest_limit);
        let takes_requests_for = takes_requests_for.map(|(left, limit)| left.saturating_sub(limit));
        named.then(|| (look_up.rank(c, access), takes_requests_for))
    };
    let mut best: Option<Selection> = None;
    for candidate in candidates {
        let Some(((quality, distance), takes_requests_for)) = rank(candidate) else {
            continue;
        };
        let order = best
            .as_ref()
            .map(|b| (quality, distance).cmp(&(b.quality, b.distance)));
        match order {
            Some(std::cmp::Ordering::Greater) => {}
            Some(std::cmp::Ordering::Equal) => {
                if let Some(best) = &mut best {
                    best.members.push(candidate.member);
                    best.takes_requests_for = best.takes_requests_for.min(takes_requests_for);
                }
            }
            Some(std::cmp::Ordering::Less) | None => {
                best = Some(Selection {
                    quality,
                    distance,
                    members: vec![candidate.member],
                    takes_requests_for,
                });
            }
        }
    }
    best
}

fn region_access<'a>(
    look_up: &LookUp,
    candidates: &[Candidate<'a>],
) -> SmallVec<[RegionAccess<'a>; 8]> {
    let mut all: SmallVec<[&str; 8]> = SmallVec::new();
    let mut in_use: SmallVec<[&str; 8]> = SmallVec::new();
    for candidate in candidates {
        let region: &str = &candidate.member.region;
        if !all.contains(&region) {
            all.push(region);
        }
        // One that is cut off passes no requests of another region on.
        let takes_forwarded =
            candidate.member.state == MemberState::Ready && candidate.reaches_servers;
        if takes_forwarded && !in_use.contains(&region) {
            in_use.push(region);
        }
    }
    let access = |region| RegionAccess::new(region, look_up.routes, &in_use);
    all.into_iter().map(access).collect()
}

impl LookUp<'_> {
    fn rank(&self, candidate: &Candidate, access: &RegionAccess) -> (Quality, Distance) {
        let member = candidate.member;
        let distance = if *member.domain == *self.domain {
            Distance::SameDomain
        } else if *member.region == *self.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        };
        let allowed = distance != Distance::OtherRegion || access.all_routes_allowed;
        let quality = match (allowed, candidate.time_left.is_some()) {
            (true, false) if candidate.reaches_servers => Quality::Ready,
            (true, false) => Quality::CutOff,
            (true, true) if candidate.reaches_servers => Quality::Leaving,
            (true, true) => Quality::LeavingCutOff,
            (false, false) => Quality::OtherRegion,
            (false, true) => Quality::OtherRegionLeaving,
        };
        (quality, distance)
    }
}
