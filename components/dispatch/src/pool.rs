//! The pool of one service in one region: its servers' slots and the requests that wait for them.
//!
//! One entry VM of the region keeps the pool and decides for all of them, so that limits hold
//! exactly. When another takes over, the entry VMs register what they have in flight.

mod grant;
mod handover;
mod remote;
mod types;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use config::{DomainId, Incarnation, RegionId, ServerId};

use crate::balance::Balance;
use crate::health::Outcome;
use crate::queue::Queue;
use crate::server::{Load, Server, Tracked};
use crate::settings::PoolSettings;
use crate::shift::ShiftLimiter;
use crate::warmth::Warmth;
use crate::window::Window;
pub use handover::Placement;
use remote::Remote;
pub use types::{Ask, AskId, Decision, Grant, RefuseReason, Snapshot};

/// Time without requests after which a pool counts as taken over anew.
const DORMANT: Duration = Duration::from_secs(1);
/// Time after its deadline at which a grant counts as ended although no report came.
const GRANT_SLACK: Duration = Duration::from_millis(500);
/// Window in which requests of the region's own callers are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Ended requests that are remembered, to ignore repeated messages about them.
const REMEMBERED: usize = 1024;

/// Which servers a request may run at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Data {
    /// Those that have warm data of its object, if it has one.
    Warm,
    /// All.
    Any,
}

/// A slot in use.
#[derive(Clone, Debug)]
struct Held {
    grant: Grant,
    /// When the grant counts as ended.
    expires: Duration,
    /// Whether the request concerns an object.
    sticky: bool,
    /// Objects that the server handled since the last request for this one.
    depth: Option<usize>,
}

/// The pool of one service in one region.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolSettings,
    servers: BTreeMap<ServerId, Tracked>,
    queue: Queue,
    held: HashMap<AskId, Held>,
    /// Ended requests, oldest first.
    ended: VecDeque<AskId>,
    /// Servers that were removed, oldest first.
    removed: VecDeque<ServerId>,
    /// Sends of requests that were not sent before.
    first_sends: Window,
    /// Sends of requests that were sent before.
    repeats: Window,
    /// Service times, and what servers hold warm.
    warmth: Warmth,
    remotes: BTreeMap<RegionId, Remote>,
    /// Limits how fast requests move between regions.
    shift: ShiftLimiter,
    /// Shares of the requests that run in other regions.
    balance: Balance,
    /// Requests of the region's own callers.
    demand: Window,
    /// Slots of the servers in use at the last decision.
    last_capacity: u32,
    /// When the pool was taken over.
    kept_since: Duration,
    /// Last request.
    last_ask: Option<Duration>,
    /// Whether no other entry VM of the region can be heard.
    isolated: bool,
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new(cfg: PoolSettings) -> Self {
        Pool {
            first_sends: Window::new(cfg.retry_window),
            repeats: Window::new(cfg.retry_window),
            shift: ShiftLimiter::new(cfg.max_shift),
            cfg,
            servers: BTreeMap::new(),
            queue: Queue::default(),
            held: HashMap::new(),
            ended: VecDeque::new(),
            removed: VecDeque::new(),
            warmth: Warmth::default(),
            balance: Balance::default(),
            demand: Window::new(DEMAND_WINDOW),
            last_capacity: 0,
            remotes: BTreeMap::new(),
            kept_since: Duration::ZERO,
            last_ask: None,
            isolated: false,
        }
    }

    /// Changes the settings.
    pub fn configure(&mut self, cfg: PoolSettings) {
        self.shift.set_limit(cfg.max_shift);
        self.cfg = cfg;
    }

    /// Sets whether no other entry VM of the region can be heard. Others may keep a pool of the
    /// same servers then, so cold servers get nothing from here.
    pub fn set_isolated(&mut self, isolated: bool) {
        self.isolated = isolated;
    }

    /// Adds a server or takes over its newer description.
    pub fn put_server(&mut self, server: Server, now: Duration) {
        self.removed.retain(|r| *r != server.id);
        match self.servers.get_mut(&server.id) {
            Some(known) => known.update(server, now, &self.cfg),
            None => {
                self.servers.insert(server.id.clone(), Tracked::new(server));
            }
        }
    }

    /// Removes a server.
    pub fn remove_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            if self.removed.len() >= REMEMBERED {
                self.removed.pop_front();
            }
            self.removed.push_back(id.into());
        }
    }

    /// Checks a grant of another entry VM by what this one knows; returns what is wrong with it.
    /// Servers that are not known yet are right: another entry VM can have heard of them first.
    pub fn permits(&self, grant: &Grant, now: Duration) -> Result<(), Outcome> {
        let id = &grant.server;
        match self.servers.get(id) {
            None if self.removed.contains(id) => Err(Outcome::Leaving),
            Some(s) if !s.server.ready || s.evacuated => Err(Outcome::Leaving),
            Some(s) if s.cold(now) && !grant.cold => Err(Outcome::Cold),
            _ => Ok(()),
        }
    }

    /// Sets the failure domains whose servers get nothing. Their servers count as cold afterwards.
    pub fn evacuate(&mut self, domains: &[DomainId], now: Duration) {
        for server in self.servers.values_mut() {
            let evacuated = domains.contains(&server.server.domain);
            if server.evacuated && !evacuated {
                server.become_cold(now, &self.cfg);
            }
            server.evacuated = evacuated;
        }
    }

    /// Takes a request; the decision comes from [`Pool::schedule`].
    pub fn ask(&mut self, ask: Ask, now: Duration) {
        if self.last_ask.is_none_or(|at| at + DORMANT < now) {
            self.kept_since = now;
            self.shift.lift(now);
        }
        self.last_ask = Some(now);
        let known = self.queue.contains(ask.id)
            || self.held.contains_key(&ask.id)
            || self.ended.contains(&ask.id);
        if !known {
            if !ask.regions.is_empty() {
                self.demand.record(now);
            }
            self.queue.push(ask, now);
        }
    }

    /// Registers a slot that was granted by a former keeper of the pool.
    pub fn register(&mut self, id: AskId, grant: Grant, left: Duration, now: Duration) {
        if self.held.contains_key(&id) || self.ended.contains(&id) {
            return;
        }
        self.queue.remove(id);
        if let Some(server) = self.servers.get_mut(&grant.server) {
            server.in_flight += 1;
        }
        let expires = now + left + GRANT_SLACK;
        let held = Held {
            grant,
            expires,
            sticky: false,
            depth: None,
        };
        self.held.insert(id, held);
    }

    /// Ends a request, whether it waits or runs.
    pub fn end(&mut self, id: AskId, outcome: Outcome, load: Option<Load>, now: Duration) {
        self.queue.remove(id);
        let Some(held) = self.release(id) else {
            return;
        };
        let warm = held.sticky && self.warmth.is_warm(held.depth);
        let expected = self.warmth.expected(warm);
        if let Some(server) = self.servers.get_mut(&held.grant.server) {
            if outcome == Outcome::Cold {
                server.become_cold(now, &self.cfg);
            }
            let was_missing = server.health.missing();
            server.health.record(outcome, expected, now);
            if let Some(load) = load {
                server.report(load, now);
            }
            // A server that comes back after it could not be reached has probably restarted.
            if was_missing && !server.health.missing() {
                server.become_cold(now, &self.cfg);
            }
        }
        if matches!(outcome, Outcome::Leaving | Outcome::Cold) {
            // The request comes again under the same id.
            self.forget_end(id);
        }
        if let Outcome::Answered(latency) = outcome {
            self.warmth.learn(held.sticky, held.depth, latency);
        }
    }

    /// Ends all requests of an entry VM that has stopped.
    pub fn drop_incarnation(&mut self, incarnation: Incarnation) {
        self.queue.remove_incarnation(incarnation);
        let ids: Vec<AskId> = self
            .held
            .keys()
            .copied()
            .filter(|id| id.0 == incarnation)
            .collect();
        for id in ids {
            self.release(id);
        }
    }

    /// Describes the pool for other regions.
    pub fn snapshot(&mut self, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            waiting: self.queue.len() as u32,
            ..Snapshot::default()
        };
        for server in self.servers.values_mut() {
            if !server.server.ready || server.evacuated || !server.health.admits(now, 0) {
                continue;
            }
            snapshot.slots += server.server.slots;
            if server.usable(now, &self.cfg) && !server.cold(now) {
                snapshot.free += server.server.slots - server.in_flight;
            }
        }
        snapshot.free = snapshot.free.saturating_sub(snapshot.waiting);
        let demand = self.demand.count(now) as f64 / DEMAND_WINDOW.as_secs_f64();
        snapshot.demand = (demand * 1000.0) as u32;
        if let Some(usual) = self.warmth.usual() {
            let rate = f64::from(snapshot.slots) / usual.as_secs_f64().max(0.001);
            snapshot.capacity = (rate * 1000.0) as u32;
        }
        snapshot
    }

    /// Tells whether requests wait.
    pub fn waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Tells whether a request waits.
    pub fn waits(&self, id: AskId) -> bool {
        self.queue.contains(id)
    }

    /// Tells whether a server belongs to the pool.
    pub fn knows(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Allows a request that was withdrawn here to come back.
    pub fn forget_end(&mut self, id: AskId) {
        self.ended.retain(|&e| e != id);
    }

    /// Requests in flight at a server, as far as this pool knows.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |s| s.in_flight)
    }

    /// Usual service time, once known.
    pub fn usual(&self) -> Option<Duration> {
        self.warmth.usual()
    }

    /// Returns the grant of a request that runs, for a repeated ask.
    pub fn granted(&self, id: AskId) -> Option<&Grant> {
        self.held.get(&id).map(|h| &h.grant)
    }

    /// Decides what can be decided now.
    pub fn schedule(&mut self, now: Duration) -> Vec<(AskId, Decision)> {
        self.expire_grants(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let usual = self.usual_or_first();
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort(usual, now);
        let capacity = self.capacity(now);
        // A region without servers has nothing to keep its requests for.
        if capacity != self.last_capacity || capacity == 0 {
            self.last_capacity = capacity;
            self.shift.lift(now);
        }
        self.update_balance(now);
        let mut decisions = queue.take(|_, w| {
            self.keep_away(w, now)
                .or_else(|| self.send_away(w, now))
                .or_else(|| self.grant(w, Data::Warm, now))
        });
        decisions.extend(queue.take(|_, w| self.grant(w, Data::Any, now)));
        decisions.extend(queue.take(|position, w| self.forward(w, position, capacity, now)));
        let overloaded = queue.standing(now) > self.cfg.standing_queue;
        let length = queue.len();
        decisions.extend(queue.take(|_, w| self.refuse(w, overloaded, length, capacity, now)));
        self.queue = queue;
        decisions
    }

    fn usual_or_first(&self) -> Duration {
        self.warmth.usual().unwrap_or(self.warmth.expected(false))
    }

    fn release(&mut self, id: AskId) -> Option<Held> {
        if self.ended.len() >= REMEMBERED {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
        let held = self.held.remove(&id)?;
        if let Some(server) = self.servers.get_mut(&held.grant.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        Some(held)
    }

    fn expire_grants(&mut self, now: Duration) {
        let expired: Vec<AskId> = self
            .held
            .iter()
            .filter(|(_, h)| h.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.release(id);
        }
    }

    /// Slots of the servers that are in use.
    fn capacity(&self, now: Duration) -> u32 {
        self.servers
            .values()
            .filter(|s| s.server.ready && !s.evacuated && s.health.admits(now, 0))
            .map(|s| s.server.slots)
            .sum()
    }
}
