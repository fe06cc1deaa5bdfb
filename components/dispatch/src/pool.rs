//! The pool of one service in one region: its servers' slots and the requests that wait for them.
//!
//! One entry VM of the region keeps the pool and decides for all of them, so that limits hold
//! exactly. When another takes over, the entry VMs register what they have in flight.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, Incarnation, RegionId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::balance::Balance;
use crate::health::Outcome;
use crate::queue::{Queue, Waiting};
use crate::server::{Load, Server, Tracked};
use crate::settings::PoolSettings;
use crate::shift::ShiftLimiter;
use crate::warmth::Warmth;
use crate::window::Window;

/// Time without requests after which a pool counts as taken over anew.
const DORMANT: Duration = Duration::from_secs(1);
/// Time after a takeover without requests to cold servers: the window of their limit, in which the
/// former keeper may have used it up.
const TAKEOVER: Duration = Duration::from_millis(1100);
/// Time after its deadline at which a grant counts as ended although no report came.
const GRANT_SLACK: Duration = Duration::from_millis(500);
/// Age at which a report about another region is not used.
const REMOTE_LIFETIME: Duration = Duration::from_millis(900);
/// Time for which forwarded requests are counted against the last report of free slots.
const FORWARD_WINDOW: Duration = Duration::from_millis(250);
/// Window in which requests of the region's own callers are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Share of the round trip to another region that a request may wait here before it is forwarded.
const FORWARD_WAIT: f64 = 0.5;
/// Ended requests that are remembered, to ignore repeated messages about them.
const REMEMBERED: usize = 1024;
/// Weight of an object's order of servers against their speed.
const ORDER_WEIGHT: f64 = 0.5;
/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// Incarnation of the entry VM that asks, and its number for the request.
pub type AskId = (Incarnation, u64);

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Identifies the request and the entry VM.
    pub id: AskId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Failure domain of the entry VM.
    pub domain: DomainId,
    /// Time that is left of the target latency.
    pub target_left: Duration,
    /// Time until the caller or the route gives up.
    pub deadline_left: Duration,
    /// Time for which the caller has already waited.
    pub waited: Duration,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Whether the request was sent to a server before.
    pub repeat: bool,
    /// Whether it takes only a slot that nothing else waits for, and does not wait itself.
    pub spare: bool,
    /// Whether it is asked of a pool that another entry VM should keep. Other pools may admit
    /// requests to the same cold servers, so this one does not.
    pub stopgap: bool,
    /// Hash of the object that it concerns, if servers answer faster for known objects.
    pub object: Option<u64>,
    /// Servers that it must not be sent to.
    pub avoid: SmallVec<[ServerId; 2]>,
    /// Regions to which it may be forwarded.
    pub regions: SmallVec<[RegionId; 2]>,
}

/// A slot of a server, granted to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The server.
    pub server: ServerId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Whether the server is cold, as far as the keeper knows.
    pub cold: bool,
}

/// Why a request is refused; none of these requests has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// No slot came free in time.
    Overloaded,
    /// The service has no usable server.
    NoServers,
    /// The retry budget is spent.
    RetryBudget,
}

impl RefuseReason {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            RefuseReason::Overloaded => "overloaded",
            RefuseReason::NoServers => "no_servers",
            RefuseReason::RetryBudget => "retry_budget",
        }
    }
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Send it to this server.
    Grant(Grant),
    /// Pass it on to the keeper of the pool of this region.
    Forward(RegionId),
    /// Refuse it.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// State of a pool, for the pools of other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Slots that are free.
    pub free: u32,
    /// Slots of all usable servers.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests of the region's own callers, in a thousand seconds.
    pub demand: u32,
    /// Requests that the servers can run, in a thousand seconds.
    pub capacity: u32,
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

/// What is known of the pool of another region.
#[derive(Clone, Debug)]
struct Remote {
    snapshot: Snapshot,
    /// When it was reported.
    at: Duration,
    /// Round trip to that region.
    round_trip: Duration,
    /// Requests forwarded since.
    forwarded: Window,
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

    /// Checks a grant of another entry VM by what this one knows; returns what is wrong with it. Servers that are not
    /// known yet may: another entry VM can have heard of them first.
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
        let ids: Vec<AskId> = self.held.keys().copied().filter(|id| id.0 == incarnation).collect();
        for id in ids {
            self.release(id);
        }
    }

    /// Records the state of the pool of another region.
    pub fn note_remote(
        &mut self,
        region: RegionId,
        snapshot: Snapshot,
        round_trip: Duration,
        now: Duration,
    ) {
        let remote = self.remotes.entry(region).or_insert_with(|| Remote {
            snapshot,
            at: now,
            round_trip,
            forwarded: Window::new(FORWARD_WINDOW),
        });
        remote.snapshot = snapshot;
        remote.round_trip = round_trip;
        remote.at = now;
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
        if capacity != self.last_capacity {
            self.last_capacity = capacity;
            self.shift.lift(now);
        }
        self.update_balance(now);
        let mut decisions = queue.take(|_, w| {
            self.keep_away(w, now)
                .or_else(|| self.send_away(w, now))
                .or_else(|| self.grant(w, now))
        });
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

    fn grant(&mut self, waiting: &Waiting, now: Duration) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        if ask.repeat && !self.may_repeat(now) {
            let retry_after = SHORTEST_RETRY;
            let reason = RefuseReason::RetryBudget;
            return Some((ask.id, Decision::Refuse { reason, retry_after }));
        }
        let no_cold = ask.stopgap || self.isolated || now < self.kept_since + TAKEOVER;
        let cfg = &self.cfg;
        let warmth = &self.warmth;
        let best = self
            .servers
            .values_mut()
            .filter(|s| !ask.avoid.contains(&s.server.id))
            .filter_map(|s| {
                let free = s.usable(now, cfg) && !(no_cold && s.cold(now));
                free.then(|| {
                    let warm = ask.object.is_some_and(|o| warmth.is_warm(s.recent.depth(o)));
                    let factor = s.slowness(now, cfg) * (1.0 + ORDER_WEIGHT * s.order(ask.object));
                    let mut time = warmth.expected(warm).mul_f64(factor);
                    if s.server.domain != ask.domain {
                        time += cfg.cross_domain_cost;
                    }
                    (time, warm, s.server.id.clone())
                })
            })
            .min_by_key(|(time, ..)| *time);
        let (_, warm, id) = best?;
        if ask.object.is_some() && !warm && self.worth_waiting(waiting, now) {
            return None;
        }
        let best = self.servers.get_mut(&id)?;
        let depth = best.admit(now, ask.object);
        if !ask.regions.is_empty() {
            self.shift.record(waiting.wanted.as_ref(), None, now);
        }
        let grant = Grant {
            server: best.server.id.clone(),
            address: best.server.address,
            cold: best.cold(now),
        };
        let sends = if ask.repeat {
            &mut self.repeats
        } else {
            &mut self.first_sends
        };
        sends.record(now);
        let expires = waiting.deadline_at().max(now) + GRANT_SLACK;
        let held = Held {
            grant: grant.clone(),
            expires,
            sticky: ask.object.is_some(),
            depth,
        };
        self.held.insert(ask.id, held);
        Some((ask.id, Decision::Grant(grant)))
    }

    /// Tells whether a request is better off waiting for a busy server that holds its object warm
    /// than running without warm data.
    fn worth_waiting(&self, waiting: &Waiting, now: Duration) -> bool {
        let ask = &waiting.ask;
        let saved = self.warmth.expected(false).saturating_sub(self.warmth.expected(true));
        if now.saturating_sub(waiting.since) >= saved.mul_f64(self.cfg.warm_wait) {
            return false;
        }
        self.servers.values().any(|s| {
            let warm = ask.object.is_some_and(|o| self.warmth.is_warm(s.recent.depth(o)));
            warm && s.in_use(now)
                && s.in_flight >= s.server.slots
                && !ask.avoid.contains(&s.server.id)
        })
    }

    fn may_repeat(&mut self, now: Duration) -> bool {
        let allowed = self.cfg.retry_ratio * self.first_sends.count(now) as f64
            + self.cfg.retry_allowance;
        (self.repeats.count(now) as f64) + 1.0 <= allowed
    }

    /// Passes a request on although it could run here, where too many would come back at once.
    fn keep_away(&mut self, waiting: &Waiting, now: Duration) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        let shift = &mut self.shift;
        let (region, remote) = self.remotes.iter_mut().find(|(region, r)| {
            ask.regions.contains(region)
                && r.at + REMOTE_LIFETIME > now
                && r.snapshot.free > 0
                && shift.must_leave(region, now)
        })?;
        remote.forwarded.record(now);
        self.shift.record(waiting.wanted.as_ref(), Some(region), now);
        Some((ask.id, Decision::Forward(region.clone())))
    }

    fn update_balance(&mut self, now: Duration) {
        if !self.balance.is_due(now) || self.remotes.is_empty() {
            return;
        }
        let own = self.snapshot(now);
        let others: Vec<(RegionId, Snapshot)> = self
            .remotes
            .iter()
            .filter(|(_, r)| r.at + REMOTE_LIFETIME > now)
            .map(|(region, r)| (region.clone(), r.snapshot))
            .collect();
        self.balance.update(own, &others, now);
    }

    /// Passes on the requests that other regions run to balance the load.
    fn send_away(&mut self, waiting: &mut Waiting, now: Duration) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        if ask.regions.is_empty() {
            return None;
        }
        let region = self.balance.region(place(ask))?.clone();
        let remote = self.remotes.get_mut(&region)?;
        let fresh = remote.at + REMOTE_LIFETIME > now;
        if !fresh || !ask.regions.contains(&region) {
            return None;
        }
        waiting.wanted = Some(region.clone());
        if !self.shift.may_leave(&region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift.record(Some(&region), Some(&region), now);
        Some((ask.id, Decision::Forward(region)))
    }

    fn forward(
        &mut self,
        waiting: &mut Waiting,
        position: usize,
        capacity: u32,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let usual = self.usual_or_first();
        let wait = if capacity == 0 {
            Duration::MAX
        } else {
            usual.mul_f64((position + 1) as f64 / f64::from(capacity))
        };
        let wait = wait.max(now.saturating_sub(waiting.since));
        let (region, remote) = self
            .remotes
            .iter_mut()
            .filter(|(region, _)| waiting.ask.regions.contains(region))
            .filter_map(|(region, r)| {
                let sent = r.forwarded.count(now) as u32;
                let left = r.snapshot.free.saturating_sub(sent);
                let fresh = r.at + REMOTE_LIFETIME > now;
                let worth_it = wait >= r.round_trip.mul_f64(FORWARD_WAIT);
                (fresh && left > 0 && worth_it).then_some((left, region, r))
            })
            .max_by_key(|(left, ..)| *left)
            .map(|(_, region, r)| (region, r))?;
        waiting.wanted = Some(region.clone());
        if !self.shift.may_leave(region, now) {
            return None;
        }
        remote.forwarded.record(now);
        self.shift.record(Some(region), Some(region), now);
        Some((waiting.ask.id, Decision::Forward(region.clone())))
    }

    fn refuse(
        &self,
        waiting: &Waiting,
        overloaded: bool,
        length: usize,
        capacity: u32,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        let total = ask.deadline_left + ask.waited;
        let patience = if ask.spare {
            Duration::ZERO
        } else if overloaded {
            let target = ask.target_left + ask.waited;
            target.mul_f64(self.cfg.overload_wait).max(total.mul_f64(0.03))
        } else {
            total.mul_f64(self.cfg.normal_wait)
        };
        if waiting.waited(now) < patience {
            return None;
        }
        let usual = self.usual_or_first();
        let drain = usual.mul_f64(length as f64 / f64::from(capacity.max(1)));
        let retry_after = drain.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        let reason = if capacity == 0 {
            RefuseReason::NoServers
        } else {
            RefuseReason::Overloaded
        };
        Some((ask.id, Decision::Refuse { reason, retry_after }))
    }
}

/// Place of a request between 0 and 1, the same for all requests for an object.
fn place(ask: &Ask) -> f64 {
    let mixed = ask.object.unwrap_or(ask.id.1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
