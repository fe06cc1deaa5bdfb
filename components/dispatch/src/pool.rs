//! The server pool of one service in one region: the slots of its servers, and the queue of
//! requests that wait for them.
//!
//! One entry VM of the region owns the pool and decides for all of them, so that limits hold
//! exactly. After a change of owner, the entry VMs register their requests in flight with the new
//! one.

mod grant;
mod handover;
mod remote;
mod types;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, Incarnation, RegionId, ServerId};

use crate::balance::RegionBalancer;
use crate::cache_model::CacheModel;
use crate::health::Outcome;
use crate::queue::Queue;
use crate::server::{LoadReport, Server, TrackedServer};
use crate::settings::PoolSettings;
use crate::shift::ShiftLimiter;
use crate::window::SlidingWindow;
pub use handover::Placement;
use remote::RemotePool;
pub use types::{AdmissionRequest, Decision, Grant, PoolSnapshot, RefuseReason, RequestId};

/// Time without requests after which the next request counts as the start of a new ownership.
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time past the deadline of its request after which a grant expires if its end was not reported.
const GRANT_GRACE: Duration = Duration::from_millis(500);
/// Window over which requests from the region's own callers are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Number of ended requests, and of removed servers, that are remembered in order to ignore late
/// and repeated messages about them.
const MAX_REMEMBERED: usize = 1024;

/// Which servers a request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerFilter {
    /// Only servers that have its object in their cache, if it has one.
    Cached,
    Any,
}

/// A granted slot whose request has not ended.
#[derive(Clone, Debug)]
struct ActiveGrant {
    grant: Grant,
    /// When the slot is released although no end was reported.
    expires: Duration,
    has_object: bool,
    /// Reuse distance of the object at the server: the number of other objects handled since its
    /// last request.
    reuse_distance: Option<usize>,
}

/// The server pool of one service in one region.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolSettings,
    servers: BTreeMap<ServerId, TrackedServer>,
    queue: Queue,
    active_grants: HashMap<RequestId, ActiveGrant>,
    /// Ended requests, oldest first.
    ended: VecDeque<RequestId>,
    /// Removed servers, oldest first.
    removed: VecDeque<ServerId>,
    /// First attempts within the window of the retry budget.
    first_attempts: SlidingWindow,
    /// Retries within the window of the retry budget.
    retries: SlidingWindow,
    /// Model of service times and of the servers' caches.
    cache_model: CacheModel,
    remotes: BTreeMap<RegionId, RemotePool>,
    /// Limits how fast traffic shifts between regions.
    shift_limiter: ShiftLimiter,
    /// Shares of the requests that run in other regions, for load balancing.
    balancer: RegionBalancer,
    /// Requests from the region's own callers.
    demand: SlidingWindow,
    /// Slots of the servers in use at the last call of `schedule`.
    last_usable_slots: u32,
    /// Since when this entry VM has owned the pool.
    owned_since: Duration,
    /// Time of the last request.
    last_request: Option<Duration>,
    /// Whether no other entry VM of the region is reachable.
    isolated: bool,
}

impl Pool {
    pub fn new(cfg: PoolSettings) -> Self {
        Pool {
            first_attempts: SlidingWindow::new(cfg.retry_window),
            retries: SlidingWindow::new(cfg.retry_window),
            shift_limiter: ShiftLimiter::new(cfg.max_shift),
            cfg,
            servers: BTreeMap::new(),
            queue: Queue::default(),
            active_grants: HashMap::new(),
            ended: VecDeque::new(),
            removed: VecDeque::new(),
            cache_model: CacheModel::default(),
            balancer: RegionBalancer::default(),
            demand: SlidingWindow::new(DEMAND_WINDOW),
            last_usable_slots: 0,
            remotes: BTreeMap::new(),
            owned_since: Duration::ZERO,
            last_request: None,
            isolated: false,
        }
    }

    pub fn configure(&mut self, cfg: PoolSettings) {
        self.shift_limiter.set_max_change(cfg.max_shift);
        self.cfg = cfg;
    }

    /// Sets whether no other entry VM of the region is reachable. Another one may then own a pool
    /// of the same servers, so this pool grants no slots of cold servers.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Adds a server or updates its description.
    pub fn upsert_server(&mut self, server: Server, now: Duration) {
        self.removed.retain(|r| *r != server.id);
        match self.servers.get_mut(&server.id) {
            Some(known) => known.update(server, now, &self.cfg),
            None => {
                self.servers
                    .insert(server.id.clone(), TrackedServer::new(server));
            }
        }
    }

    pub fn remove_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            if self.removed.len() >= MAX_REMEMBERED {
                self.removed.pop_front();
            }
            self.removed.push_back(id.into());
        }
    }

    /// Checks a grant of another entry VM against local knowledge and returns the reason to reject
    /// it. Grants for servers that are unknown here pass: the other entry VM may have discovered
    /// them first.
    pub fn check_grant(&self, grant: &Grant, now: Duration) -> Result<(), Outcome> {
        let id = &grant.server;
        match self.servers.get(id) {
            None if self.removed.contains(id) => Err(Outcome::Leaving),
            Some(s) if !s.server.ready || s.evacuated => Err(Outcome::Leaving),
            Some(s) if s.is_cold(now) && !grant.cold => Err(Outcome::Cold),
            _ => Ok(()),
        }
    }

    /// Sets the failure domains whose servers get no requests. Their servers count as cold when a
    /// domain is taken back into use.
    pub fn evacuate(&mut self, domains: &[DomainId], now: Duration) {
        for server in self.servers.values_mut() {
            let evacuated = domains.contains(&server.server.domain);
            if server.evacuated && !evacuated {
                server.mark_cold(now, &self.cfg);
            }
            server.evacuated = evacuated;
        }
    }

    /// Queues a request unless it is known already; [`Pool::schedule`] decides about it.
    pub fn submit(&mut self, request: AdmissionRequest, now: Duration) {
        if self
            .last_request
            .is_none_or(|at| at + INACTIVITY_TIMEOUT < now)
        {
            self.owned_since = now;
            self.shift_limiter.suspend(now);
        }
        self.last_request = Some(now);
        let known = self.queue.contains(request.id)
            || self.active_grants.contains_key(&request.id)
            || self.ended.contains(&request.id);
        if !known {
            if !request.forward_regions.is_empty() {
                self.demand.record(now);
            }
            self.queue.push(request, now);
        }
    }

    /// Registers a slot that a previous owner of the pool has granted.
    pub fn register(&mut self, id: RequestId, grant: Grant, left: Duration, now: Duration) {
        if self.active_grants.contains_key(&id) || self.ended.contains(&id) {
            return;
        }
        self.queue.remove(id);
        if let Some(server) = self.servers.get_mut(&grant.server) {
            server.in_flight += 1;
        }
        let expires = now + left + GRANT_GRACE;
        let active = ActiveGrant {
            grant,
            expires,
            has_object: false,
            reuse_distance: None,
        };
        self.active_grants.insert(id, active);
    }

    /// Ends a request, whether it is queued or running.
    pub fn end(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        load: Option<LoadReport>,
        now: Duration,
    ) {
        self.queue.remove(id);
        let Some(active) = self.release(id) else {
            return;
        };
        let cache_hit = active.has_object && self.cache_model.is_cached(active.reuse_distance);
        let expected = self.cache_model.expected_service_time(cache_hit);
        if let Some(server) = self.servers.get_mut(&active.grant.server) {
            if outcome == Outcome::Cold {
                server.mark_cold(now, &self.cfg);
            }
            let was_unreachable = server.health.is_unreachable();
            server.health.record(outcome, id.0, expected, now);
            if let Some(load) = load {
                server.record_load(load, now);
            }
            // A server that answers after it was unreachable has probably restarted.
            if was_unreachable && !server.health.is_unreachable() {
                server.mark_cold(now, &self.cfg);
            }
        }
        if matches!(outcome, Outcome::Leaving | Outcome::Cold) {
            // The request will be submitted again with the same id.
            self.forget_ended(id);
        }
        if let Outcome::Answered(latency) = outcome {
            self.cache_model
                .record_latency(active.has_object, active.reuse_distance, latency);
        }
    }

    /// Ends all requests of an entry VM process that has stopped.
    pub fn remove_incarnation(&mut self, incarnation: Incarnation) {
        self.queue.remove_incarnation(incarnation);
        let ids: Vec<RequestId> = self
            .active_grants
            .keys()
            .copied()
            .filter(|id| id.0 == incarnation)
            .collect();
        for id in ids {
            self.release(id);
        }
    }

    /// Summarizes the pool for other regions.
    pub fn snapshot(&mut self, now: Duration) -> PoolSnapshot {
        let mut snapshot = PoolSnapshot {
            waiting: self.queue.len() as u32,
            ..PoolSnapshot::default()
        };
        for server in self.servers.values_mut() {
            if !server.server.ready || server.evacuated || !server.health.admits(now, 0) {
                continue;
            }
            snapshot.slots += server.server.slots;
            if server.can_admit(now, &self.cfg) && !server.is_cold(now) {
                snapshot.free += server.server.slots - server.in_flight;
            }
        }
        snapshot.free = snapshot.free.saturating_sub(snapshot.waiting);
        let demand = self.demand.count(now) as f64 / DEMAND_WINDOW.as_secs_f64();
        snapshot.demand = (demand * 1000.0) as u32;
        if let Some(mean_service_time) = self.cache_model.mean_service_time() {
            let rate = f64::from(snapshot.slots) / mean_service_time.as_secs_f64().max(0.001);
            snapshot.capacity = (rate * 1000.0) as u32;
        }
        snapshot
    }

    /// Whether any request is queued.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Whether the request is queued.
    pub fn is_queued(&self, id: RequestId) -> bool {
        self.queue.contains(id)
    }

    pub fn contains_server(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the addresses of the servers that accept requests.
    pub fn server_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let servers = self
            .servers
            .values()
            .filter(|s| s.server.ready && !s.evacuated);
        servers.map(|s| s.server.address)
    }

    /// Allows a request that was withdrawn from this pool to be submitted again.
    pub fn forget_ended(&mut self, id: RequestId) {
        self.ended.retain(|&e| e != id);
    }

    /// Requests in flight at a server, as far as this pool knows.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |s| s.in_flight)
    }

    /// Returns the grant of a running request, for a repeated submission.
    pub fn active_grant(&self, id: RequestId) -> Option<&Grant> {
        self.active_grants.get(&id).map(|g| &g.grant)
    }

    /// Returns the decisions that can be made now.
    pub fn schedule(&mut self, now: Duration) -> Vec<(RequestId, Decision)> {
        self.expire_grants(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mean_service_time = self.mean_or_initial_service_time();
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(mean_service_time, now);
        let usable_slots = self.usable_slots(now);
        // Without usable servers there is no reason to limit how fast requests leave the region.
        if usable_slots != self.last_usable_slots || usable_slots == 0 {
            self.last_usable_slots = usable_slots;
            self.shift_limiter.suspend(now);
        }
        self.update_balance(now);
        let mut decisions = queue.take(|_, queued| {
            self.forward_to_hold_share(queued, now)
                .or_else(|| self.forward_to_balance(queued, now))
                .or_else(|| self.grant(queued, ServerFilter::Cached, now))
        });
        decisions.extend(queue.take(|_, queued| self.grant(queued, ServerFilter::Any, now)));
        decisions.extend(
            queue.take(|position, queued| {
                self.forward_overflow(queued, position, usable_slots, now)
            }),
        );
        let overloaded = queue.standing_time(now) > self.cfg.standing_queue;
        let length = queue.len();
        decisions.extend(
            queue.take(|_, queued| self.refuse(queued, overloaded, length, usable_slots, now)),
        );
        self.queue = queue;
        decisions
    }

    fn mean_or_initial_service_time(&self) -> Duration {
        self.cache_model
            .mean_service_time()
            .unwrap_or(self.cache_model.expected_service_time(false))
    }

    fn release(&mut self, id: RequestId) -> Option<ActiveGrant> {
        if self.ended.len() >= MAX_REMEMBERED {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
        let active = self.active_grants.remove(&id)?;
        if let Some(server) = self.servers.get_mut(&active.grant.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        Some(active)
    }

    fn expire_grants(&mut self, now: Duration) {
        let expired: Vec<RequestId> = self
            .active_grants
            .iter()
            .filter(|(_, g)| g.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.release(id);
        }
    }

    /// Slots of the servers that are in use.
    fn usable_slots(&self, now: Duration) -> u32 {
        self.servers
            .values()
            .filter(|s| s.server.ready && !s.evacuated && s.health.admits(now, 0))
            .map(|s| s.server.slots)
            .sum()
    }
}
