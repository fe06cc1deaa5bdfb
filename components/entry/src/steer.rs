//! Choice of the failure domain that serves a request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::{DomainId, RegionId, ServiceId, ShiftReason};
use http::Response;
use http::codes::{self, Code};
use routing::domain::{DomainView, Load, Settings, State, Steering};
use routing::failover::BaseShares;
use routing::shift::home_shares;
use smallvec::SmallVec;

use crate::agents::digests;
use crate::in_force::InForce;
use crate::node::Node;
use crate::peer;
use crate::relay;
use crate::request::{Meta, Outgoing};

/// Most domains tried for one request.
const MAX_DOMAINS: usize = 3;
/// Weight of a new sample in the moving average of bytes per second.
const BYTE_RATE_WEIGHT: f64 = 0.2;

/// Place that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The servers of this domain.
    Own,
    /// Another domain, through its entry VM with this peer address.
    Other(DomainId, SocketAddr),
}

/// Targets of one request, in the order in which they are tried.
pub type Route = SmallVec<[Target; MAX_DOMAINS]>;

/// Steering of all services between failure domains.
#[derive(Default)]
pub struct TrafficSteering {
    services: Mutex<BTreeMap<ServiceId, ServiceSteering>>,
}

/// Steering of one service.
struct ServiceSteering {
    /// Base shares, which move towards the prescribed shares within the caps of shift and failover.
    base_shares: BaseShares,
    /// Moves load away from overloaded domains.
    steering: Steering,
    /// Requests in progress from callers of this entry VM.
    in_flight: u32,
    /// Bytes of request and response bodies since the last update.
    bytes: u64,
    /// Moving average of bytes per second.
    byte_rate: f64,
    /// Uptime of the last update.
    updated: Duration,
}

impl ServiceSteering {
    fn new(home: &DomainId, now: Duration) -> Self {
        let shares = routing::Shares::from([(home.clone(), 1.0)]);
        ServiceSteering {
            base_shares: BaseShares::new(shares, now),
            steering: Steering::new(Settings::default()),
            in_flight: 0,
            bytes: 0,
            byte_rate: 0.0,
            updated: now,
        }
    }

    /// Estimates the load of the whole domain from the load of this VM, times the number of VMs.
    fn load(&mut self, vms: f64, now: Duration) -> Load {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        if elapsed > 0.0 {
            let rate = self.bytes as f64 / elapsed;
            self.byte_rate += (rate - self.byte_rate) * BYTE_RATE_WEIGHT;
            self.bytes = 0;
            self.updated = now;
        }
        Load {
            slots: f64::from(self.in_flight) * vms,
            bytes_per_second: self.byte_rate * vms,
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InFlight<'a> {
    steering: &'a TrafficSteering,
    service: ServiceId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.steering.lock().get_mut(&self.service) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

impl TrafficSteering {
    /// Counts a request as in progress until the return value is dropped.
    pub fn begin(&self, service: &ServiceId, bytes: usize) -> InFlight<'_> {
        if let Some(state) = self.lock().get_mut(service) {
            state.in_flight += 1;
            state.bytes += bytes as u64;
        }
        InFlight {
            steering: self,
            service: service.clone(),
        }
    }

    /// Counts the bytes of a response body.
    pub fn add_bytes(&self, service: &ServiceId, bytes: usize) {
        if let Some(state) = self.lock().get_mut(service) {
            state.bytes += bytes as u64;
        }
    }

    /// Updates the shares from the newest measurements; to be called at least once a second.
    pub fn update(&self, node: &Node) {
        let Some(cfg) = node.in_force() else { return };
        let now = node.now();
        let home = &node.settings.domain;
        let region = cfg.region(home).cloned().unwrap_or_default();
        let platform_ms = node.platform_ms();
        let vms = node.lock_membership().look_up_candidates(now).len().max(1) as f64;
        let mut services = self.lock();
        services.retain(|id, _| cfg.class(id).is_some());
        for service in &cfg.configuration.inventory.services {
            let views = views(node, &cfg, &service.id, now);
            let state = services
                .entry(service.id.clone())
                .or_insert_with(|| ServiceSteering::new(home, now));
            let current = cfg.shares(&service.id, platform_ms);
            let prescribed = home_shares(cfg.nominal_shares(&service.id), &current, home);
            let shift = cfg.rules().shifts.get(&service.id);
            let is_failover = shift.is_some_and(|s| s.reason == ShiftReason::Failover);
            let base = state
                .base_shares
                .advance(&prescribed, is_failover, &views, cfg.rules(), now)
                .clone();
            let load = state.load(vms, now);
            state.steering.update(&base, &region, &views, load, now);
        }
    }

    /// Picks the domain for a request by a point in 0..1; `None` if no domain has capacity for it.
    fn pick(&self, service: &ServiceId, point: f64) -> Option<DomainId> {
        let services = self.lock();
        services
            .get(service)?
            .steering
            .split()
            .pick(point, &[])
            .cloned()
    }

    /// Returns the current base shares for the requests of this domain's callers.
    pub fn shares(&self) -> BTreeMap<ServiceId, routing::Shares> {
        let services = self.lock();
        services
            .iter()
            .map(|(id, s)| (id.clone(), s.base_shares.shares().clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ServiceSteering>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the state and capacity of each domain for a service.
fn views(node: &Node, cfg: &InForce, service: &ServiceId, now: Duration) -> Vec<DomainView> {
    let home = &node.settings.domain;
    let home_region = cfg.region(home).cloned().unwrap_or_default();
    let own_free = node.domain_free_slots().get(service).copied().unwrap_or(0);
    let dead_after = dead_after(cfg);
    let membership = node.lock_membership();
    let view = |domain: &config::FailureDomain| {
        let (state, free, measured) = if domain.id == *home {
            (State::Serving, own_free, now)
        } else {
            match membership.digests.get(&domain.id, now) {
                Some((age, digest)) if age < dead_after => {
                    let free = digest.free_slots.get(service).copied().unwrap_or(0);
                    (State::Serving, free, now.saturating_sub(age))
                }
                _ => (State::Dead, 0, Duration::ZERO),
            }
        };
        // This domain, if drained, keeps its shrinking share until the shift away from it is over.
        let drained = cfg.is_domain_drained(&domain.id) && domain.id != *home;
        DomainView {
            id: domain.id.clone(),
            region: domain.region.clone(),
            state: if drained { State::Drained } else { state },
            slots: f64::from(cfg.domain_slots(service, &domain.id)),
            free_slots: f64::from(free),
            measured_at: measured,
            delay: cfg.delay(&home_region, &domain.region),
            link_bytes_per_second: link_bytes(cfg, &home_region, &domain.region),
        }
    };
    cfg.domains().iter().map(view).collect()
}

/// Returns the age of a digest at which its domain counts as dead.
fn dead_after(cfg: &InForce) -> Duration {
    digests::dead_after(cfg.domains().len().saturating_sub(1))
}

/// Returns the bytes per second that one domain of the first region may use on the links between
/// two regions, from the lower limit of both directions.
fn link_bytes(cfg: &InForce, from: &RegionId, to: &RegionId) -> f64 {
    let domains = cfg
        .domains()
        .iter()
        .filter(|d| d.region == *from)
        .count()
        .max(1);
    let limit = |a: &RegionId, b: &RegionId| cfg.link(a, b).map_or(0, |l| l.bytes_per_second);
    limit(from, to).min(limit(to, from)) as f64 / domains as f64
}

/// Returns the targets of a request: the picked domain, then this one unless it is drained, then
/// others with free slots.
pub fn route(node: &Node, meta: &Meta) -> Route {
    let mut route = Route::new();
    let home = &node.settings.domain;
    let picked = node.steering.pick(&meta.service, fastrand::f64());
    let others = other_domains(node, meta);
    if let Some(domain) = &picked {
        if domain == home {
            route.push(Target::Own);
        } else if let Some(address) = entry_vm_of(node, domain) {
            route.push(Target::Other(domain.clone(), address));
        }
    }
    let is_own_drained = node.in_force().is_some_and(|c| c.is_domain_drained(home));
    if !is_own_drained && !route.contains(&Target::Own) {
        route.push(Target::Own);
    }
    for (domain, address) in others {
        let known = route
            .iter()
            .any(|t| matches!(t, Target::Other(d, _) if *d == domain));
        if route.len() < MAX_DOMAINS && !known {
            route.push(Target::Other(domain, address));
        }
    }
    route
}

fn entry_vm_of(node: &Node, domain: &str) -> Option<SocketAddr> {
    let cfg = node.in_force()?;
    let vms: Vec<SocketAddr> = cfg.entry_vms_of(domain).map(|v| v.peer_address).collect();
    fastrand::Rng::new().choice(&vms).copied()
}

/// Returns other domains with free slots, those of the own region first, then by free slots.
fn other_domains(node: &Node, meta: &Meta) -> Vec<(DomainId, SocketAddr)> {
    let Some(cfg) = node.in_force() else {
        return Vec::new();
    };
    let now = node.now();
    let home_region = cfg.region(&node.settings.domain).cloned();
    let mut ranked: Vec<(bool, u32, &DomainId)> = Vec::new();
    let dead_after = dead_after(&cfg);
    let membership = node.lock_membership();
    for domain in cfg
        .domains()
        .iter()
        .filter(|d| d.id != node.settings.domain)
    {
        let digest = membership.digests.get(&domain.id, now);
        let free = digest
            .filter(|(age, _)| *age < dead_after)
            .and_then(|(_, digest)| digest.free_slots.get(&meta.service).copied())
            .unwrap_or(0);
        if free > 0 && !cfg.is_domain_drained(&domain.id) {
            let is_other_region = Some(&domain.region) != home_region.as_ref();
            ranked.push((is_other_region, u32::MAX - free, &domain.id));
        }
    }
    drop(membership);
    ranked.sort_unstable();
    ranked
        .into_iter()
        .filter_map(|(_, _, domain)| Some((domain.clone(), entry_vm_of(node, domain)?)))
        .collect()
}

/// Serves an idempotent or deferrable request, trying its targets in order.
pub async fn serve(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Response {
    let _in_flight = node.steering.begin(&meta.service, outgoing.body().len());
    let mut code = Code::NoServer;
    for (i, target) in route(node, meta).into_iter().enumerate() {
        if i > 0 {
            count_spill(meta);
        }
        let result = match target {
            Target::Own => relay::serve(node, meta, outgoing).await,
            Target::Other(_, address) => peer::relay_to(node, address, meta, outgoing).await,
        };
        match result {
            Ok(res) => {
                node.steering
                    .add_bytes(&meta.service, res.len().unwrap_or(0));
                return res;
            }
            Err(refused) => code = refused,
        }
        if !other_domain_may_serve(code) {
            break;
        }
    }
    codes::refusal(code, "no failure domain takes the request")
}

/// Counts a request that goes to another target after a refusal.
pub fn count_spill(meta: &Meta) {
    metrics::counter!("spills_total", "service" => meta.service.to_string()).increment(1);
}

/// Returns whether another failure domain may serve a request that was refused with this code.
pub fn other_domain_may_serve(code: Code) -> bool {
    matches!(
        code,
        Code::NoServer
            | Code::QueueFull
            | Code::ServersShed
            | Code::ShareExhausted
            | Code::Stopping
    )
}
