//! Routes: which service runs a request, and under which terms.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Generation, RegionId, ServiceId};
use smallvec::SmallVec;

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Connections that a server accepts from all entry VMs.
    pub connection_limit: u32,
    /// Time for which a server is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold server tolerates.
    pub cold_per_s: f64,
}

/// A weighted part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Service that runs this part.
    pub service: ServiceId,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// A route of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Start of the paths of this route; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run at most once.
    pub binding: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Latency within which an answer has its full value.
    pub target: Duration,
    /// Servers to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// Rank in the queue; 0 is served first.
    pub rank: u8,
    /// Services and their weights; never empty.
    pub parts: SmallVec<[Part; 2]>,
    /// Regions that may see the requests; empty: all.
    pub homes: SmallVec<[RegionId; 2]>,
    /// Whether servers answer faster for objects that they handled recently.
    pub sticky: bool,
}

impl Route {
    /// Chooses the part for a request; the same `hash` always gets the same part.
    pub fn part(&self, hash: u64) -> &ServiceId {
        let total: u64 = self.parts.iter().map(|p| u64::from(p.weight)).sum();
        let mut rest = if total == 0 { 0 } else { hash % total };
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if rest < weight {
                return &part.service;
            }
            rest -= weight;
        }
        &self.parts[0].service
    }

    /// Tells whether requests may be handled in `region`.
    pub fn allows_region(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.iter().any(|h| &**h == region)
    }
}

/// Limits on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
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
pub type Host = Vec<Route>;

/// Routes and services of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Number of the configuration.
    pub generation: Generation,
    /// Routes by host name in lower case.
    pub hosts: BTreeMap<Box<str>, Host>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits for callers.
    pub limits: ClientLimits,
}

/// Result of a route look-up.
#[derive(Debug, PartialEq)]
pub enum Choice<'a> {
    /// The route with the longest matching prefix.
    Found(&'a Route),
    /// The host is not configured.
    UnknownHost,
    /// No prefix of the host matches.
    UnknownPath,
}

impl RouteTable {
    /// Sorts the routes of each host by the length of the prefix.
    pub fn sort(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Finds the route for a host header and a request target.
    pub fn find(&self, host: &str, target: &str) -> Choice<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let Some(routes) = self.hosts.get(name.as_str()) else {
            return Choice::UnknownHost;
        };
        let path = target.split('?').next().unwrap_or(target);
        routes
            .iter()
            .find(|r| path.starts_with(&*r.prefix))
            .map_or(Choice::UnknownPath, Choice::Found)
    }
}
