//! Routing table: which service runs a request, and with which limits.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Generation, RegionId, ServiceId};
use smallvec::SmallVec;

/// A configured service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: Box<str>,
    /// Connections that a server accepts from all entry VMs together.
    pub connection_limit: u32,
    /// Time for which a server counts as cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold server tolerates.
    pub cold_per_s: f64,
}

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    pub service: ServiceId,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// A route of a host, matched by path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run at most once.
    pub binding: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Latency within which a response has its full value.
    pub target_latency: Duration,
    /// Number of servers that one request of a caller may be sent to.
    pub max_attempts: u32,
    /// Queue priority; 0 is served first.
    pub priority: u8,
    /// Traffic split; never empty.
    pub weighted_services: SmallVec<[WeightedService; 2]>,
    /// Regions that may handle the requests; empty means all.
    pub allowed_regions: SmallVec<[RegionId; 2]>,
    /// Whether servers answer faster for objects that they handled recently.
    pub object_affinity: bool,
}

impl Route {
    /// Chooses a service by weight; the same `hash` always gives the same service.
    pub fn select_service(&self, hash: u64) -> &ServiceId {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|s| u64::from(s.weight))
            .sum();
        let mut remaining = if total == 0 { 0 } else { hash % total };
        for split in &self.weighted_services {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return &split.service;
            }
            remaining -= weight;
        }
        &self.weighted_services[0].service
    }

    /// Whether requests may be handled in `region`.
    pub fn allows_region(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|r| &**r == region)
    }
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes of a host, longest prefix first.
pub type HostRoutes = Vec<Route>;

/// Routes and services of one configuration generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    pub generation: Generation,
    /// Routes by lower-case host name.
    pub hosts: BTreeMap<Box<str>, HostRoutes>,
    pub services: BTreeMap<ServiceId, Service>,
    pub limits: ClientLimits,
}

/// Result of a route lookup.
#[derive(Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route with the longest matching prefix.
    Found(&'a Route),
    UnknownHost,
    /// No path prefix of the host matches.
    UnknownPath,
}

impl RouteTable {
    /// Sorts the routes of each host by decreasing length of the prefix.
    pub fn sort(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Finds the route for a `Host` header and a request target.
    pub fn find(&self, host: &str, target: &str) -> RouteMatch<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let Some(routes) = self.hosts.get(name.as_str()) else {
            return RouteMatch::UnknownHost;
        };
        let path = target.split('?').next().unwrap_or(target);
        routes
            .iter()
            .find(|r| path.starts_with(&*r.prefix))
            .map_or(RouteMatch::UnknownPath, RouteMatch::Found)
    }
}
