//! State shared by all tasks of an entry VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{DomainId, Generation};
use dispatch::{ClientLimits, Member, MemberState, PoolSettings, Route, RouteTable, Server};
use replica::Position;

use crate::dialect::Dialect;
use crate::dispatcher::Dispatcher;
use crate::idle::IdleConnections;
use crate::memory::BodyMemory;
use crate::settings::Settings;

/// Part of the memory that bodies of requests and responses may take.
const BODY_MEMORY_FRACTION: f64 = 0.4;
/// Time before the end of the grace period by which the deadlines of requests must have passed; the
/// process exits a little later.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Fraction of the configured cold rate that a pool admits to a cold server. The platform tolerates
/// 1.5 times the configured rate plus a slack, so a short time with two pool owners stays within
/// the limit.
const COLD_RATE_FRACTION: f64 = 0.8;
/// Fraction of the platform's retry budget that the pools spend. The rest covers requests that the
/// platform counts in another window, and pools that two entry VMs own for a short time.
const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// An entry VM.
#[derive(Debug)]
pub struct Node {
    settings: Mutex<Arc<Settings>>,
    /// Header names and formats of the platform.
    pub dialect: Dialect,
    /// Pools, slots in use and the member list.
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// Idle connections to servers and other entry VMs.
    pub(crate) idle: IdleConnections,
    routes: Mutex<Option<Arc<RouteTable>>>,
    servers_listed: AtomicBool,
    members_known: AtomicBool,
    /// Longest deadline seen on each route, by route name. A caller's retries have less time
    /// left, so the longest deadline is that of first attempts.
    longest_deadlines: Mutex<HashMap<Box<str>, Duration>>,
    /// Budget for the bodies of requests and responses.
    pub(crate) body_memory: Arc<BodyMemory>,
    open_requests: AtomicUsize,
    /// Connections with requests that are not answered completely.
    busy_connections: AtomicUsize,
    /// Uptime by which the deadlines of requests must have passed; `None` if this entry VM is not
    /// leaving.
    leaving_until: Mutex<Option<Duration>>,
    /// Channel that is closed to make the callers' sessions close their idle connections.
    idle_close_signal: (Mutex<Option<Sender<()>>>, Receiver<()>),
}

impl Node {
    /// Creates the state of an entry VM without a configuration and without servers.
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        dispatcher: Arc<Dispatcher>,
    ) -> Arc<Self> {
        let (tx, rx) = async_channel::bounded(1);
        let body_memory = (settings.memory as f64 * BODY_MEMORY_FRACTION) as usize;
        Arc::new(Node {
            settings: Mutex::new(Arc::new(settings)),
            dialect,
            dispatcher,
            idle: IdleConnections::default(),
            routes: Mutex::new(None),
            servers_listed: AtomicBool::new(false),
            members_known: AtomicBool::new(false),
            longest_deadlines: Mutex::default(),
            body_memory: BodyMemory::new(body_memory),
            open_requests: AtomicUsize::new(0),
            busy_connections: AtomicUsize::new(0),
            leaving_until: Mutex::new(None),
            idle_close_signal: (Mutex::new(Some(tx)), rx),
        })
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.settings).clone()
    }

    /// Applies changed settings. Returns whether some of them only take effect after a restart.
    pub fn update_settings(&self, new: &Settings) -> bool {
        let updated = self.settings().updated(new);
        let needs_restart = updated != *new;
        self.dispatcher.update_settings(&updated);
        *lock(&self.settings) = Arc::new(updated);
        if let Some(table) = self.routes() {
            self.configure_pools(&table);
        }
        needs_restart
    }

    /// Returns the member list entry of this entry VM.
    pub fn own(&self) -> Member {
        self.dispatcher.own()
    }

    pub fn now(&self) -> Duration {
        self.dispatcher.now()
    }

    /// Returns the active route table, or `None` before the first configuration.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Returns the limits for callers from the active configuration, or the default ones.
    pub fn limits(&self) -> ClientLimits {
        self.routes()
            .map_or_else(ClientLimits::default, |r| r.limits)
    }

    /// Activates a configuration unless the active one is as new. Returns whether it was activated.
    pub fn set_routes(&self, table: RouteTable) -> bool {
        let generation = table.generation;
        {
            let mut routes = lock(&self.routes);
            if routes.as_ref().is_some_and(|r| r.generation >= generation) {
                return false;
            }
            self.configure_pools(&table);
            *routes = Some(Arc::new(table));
        }
        log::info!("event=configuration_in_force generation={generation}");
        metrics::gauge!("gateway_configuration_generation").set(generation as f64);
        self.update_state();
        true
    }

    fn configure_pools(&self, table: &RouteTable) {
        let settings = self.settings();
        let regions = settings.region_count() as f64;
        for (name, service) in &table.services {
            let cfg = PoolSettings {
                cold_per_s: (service.cold_per_s * COLD_RATE_FRACTION).max(1.0),
                cold_start: service.cold_start,
                max_shift: settings.max_shift,
                retry_ratio: settings.retry_ratio * RETRY_BUDGET_FRACTION,
                retry_allowance: settings.retry_allowance * RETRY_BUDGET_FRACTION / regions,
                retry_window: settings.retry_window,
                ..PoolSettings::default()
            };
            self.dispatcher.configure(name, cfg);
        }
    }

    /// Adds or updates a server.
    pub fn put_server(&self, server: Server) {
        self.dispatcher.put_server(server);
    }

    /// Records that the platform has answered a poll for changes of servers that started at
    /// `polled_at`, a time since boot. Requests wait for this after a pause of the process.
    pub fn confirm_servers(&self, polled_at: Duration) {
        self.dispatcher.confirm_servers(polled_at);
    }

    /// Records the transaction up to which a table of the platform has been replicated, and that of
    /// its last change, which other entry VMs are told.
    pub fn set_progress(&self, table: &str, position: Position, last_change: Position) {
        self.dispatcher.set_progress(table, position, last_change);
    }

    /// Returns the peer address of an entry VM that has been ahead of this one for some time. It is
    /// returned again after a while if this entry VM is still behind.
    pub fn take_peer_ahead(&self, table: &str) -> Option<SocketAddr> {
        self.dispatcher.take_peer_ahead(table)
    }

    /// Returns whether this process did not run for a while after a time since boot.
    pub fn paused_since(&self, at: Duration) -> bool {
        self.dispatcher.paused_since(at)
    }

    pub fn remove_server(&self, id: &str) {
        self.dispatcher.remove_server(id);
    }

    /// Sets whether this entry VM receives updates of servers and routes from the platform.
    pub fn set_platform_connected(&self, platform_connected: bool) {
        self.dispatcher.set_platform_connected(platform_connected);
    }

    /// Records that the platform has listed all servers; one of the conditions for readiness.
    pub fn mark_servers_listed(&self) {
        if !self.servers_listed.swap(true, Ordering::Relaxed) {
            log::info!("event=servers_listed");
            self.update_state();
        }
    }

    /// Records that the other entry VMs have had time to answer; one of the conditions for readiness.
    /// Without them, this one would take itself for the owner of all pools.
    pub fn mark_members_known(&self) {
        if !self.members_known.swap(true, Ordering::Relaxed) {
            log::info!("event=members_known");
            self.update_state();
        }
    }

    /// Whether the other entry VMs have had time to answer.
    pub fn knows_members(&self) -> bool {
        self.members_known.load(Ordering::Relaxed)
    }

    /// Sets the evacuated failure domains; their servers get no requests.
    pub fn evacuate(&self, domains: Vec<DomainId>) {
        log::info!("event=evacuated domains={}", domains.join(","));
        self.dispatcher.evacuate(domains);
    }

    /// Adds an entry VM that the platform lists to the member list.
    pub fn add_member(&self, member: Member) {
        self.dispatcher.add_member(member);
    }

    /// Returns the peer addresses of the entry VMs in this failure domain that have been heard from
    /// within `max_silence`, in an order on which all of them agree. This entry VM is `None`.
    pub fn ranked_domain_peers(&self, max_silence: Duration) -> Vec<Option<SocketAddr>> {
        self.dispatcher.ranked_domain_peers(max_silence)
    }

    /// Whether this entry VM is one of the few of its region that ask the platform for changes often
    /// and announce them to the others.
    pub fn is_watcher(&self) -> bool {
        self.dispatcher.is_watcher()
    }

    /// Whether no watcher of the region is connected to the platform.
    pub fn watchers_disconnected(&self) -> bool {
        self.dispatcher.watchers_disconnected()
    }

    /// Returns the peer addresses of the other available entry VMs.
    pub fn available_peers(&self) -> Vec<SocketAddr> {
        let own = self.own().id;
        let available = self.dispatcher.available_members().into_iter();
        available.filter(|m| m.id != own).map(|m| m.peers).collect()
    }

    /// Returns the members of this region that were removed from the member list after a long
    /// silence, once each.
    pub fn take_expired_members(&self) -> Vec<Member> {
        let region = &self.settings().region;
        let mut expired = self.dispatcher.take_expired_members();
        expired.retain(|m| m.region == *region);
        expired
    }

    /// Returns the generation of the active configuration; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.routes().map_or(0, |r| r.generation)
    }

    fn update_state(&self) {
        let complete = self.routes().is_some()
            && self.servers_listed.load(Ordering::Relaxed)
            && self.knows_members();
        if complete && self.dispatcher.state() == MemberState::Starting {
            log::info!("event=ready uptime_ms={}", self.now().as_millis());
            self.dispatcher.set_state(MemberState::Ready);
        }
    }

    /// Starts a graceful stop: announces to the other entry VMs that this one is leaving. If it was
    /// not ready yet, it takes no more requests.
    pub fn leave(&self) {
        let now = self.now();
        let end = (now + self.settings().grace_period).saturating_sub(SHUTDOWN_MARGIN);
        let until = if self.dispatcher.state() == MemberState::Starting {
            now
        } else {
            end
        };
        let until = *lock(&self.leaving_until).get_or_insert(until);
        self.dispatcher.leave(until);
    }

    /// Announces that this entry VM takes no more requests, just before the process exits. Requests that
    /// arrive after that are not refused, since nothing else runs before the exit.
    pub fn announce_exit(&self) {
        self.dispatcher.leave(self.now());
    }

    /// Returns the uptime by which the deadlines of requests must have passed, because the process
    /// ends soon after; `None` if no graceful stop has started.
    pub fn leaving_until(&self) -> Option<Duration> {
        *lock(&self.leaving_until)
    }

    /// Closes the idle connections of callers.
    pub fn close_idle_connections(&self) {
        lock(&self.idle_close_signal.0).take();
    }

    /// Returns a channel that closes when idle connections of callers must be closed.
    pub fn idle_close_signal(&self) -> Receiver<()> {
        self.idle_close_signal.1.clone()
    }

    /// Estimates how long the caller waited in earlier attempts: the difference between `deadline`
    /// and the longest deadline seen on the route, which is that of a first attempt.
    pub fn waited_before(&self, route: &str, deadline: Duration) -> Duration {
        let mut deadlines = lock(&self.longest_deadlines);
        let longest = deadlines.entry(route.into()).or_insert(deadline);
        *longest = (*longest).max(deadline);
        longest.saturating_sub(deadline)
    }

    /// Returns the longest deadline of requests on a route: its timeout, or what callers set if that
    /// is shorter.
    pub fn usual_deadline(&self, route: &Route) -> Duration {
        let seen = lock(&self.longest_deadlines).get(&route.name).copied();
        seen.map_or(route.timeout, |d| d.min(route.timeout))
    }

    /// Whether the process must not end yet in a graceful stop: a request is being relayed, also
    /// without its caller, or the last byte of an answer is not written and received.
    pub fn has_open_work(&self) -> bool {
        self.open_requests() > 0 || self.busy_connections.load(Ordering::Relaxed) > 0
    }

    /// Counts a connection as busy until the guard is dropped.
    pub fn count_busy_connection(self: &Arc<Self>) -> BusyConnectionGuard {
        self.busy_connections.fetch_add(1, Ordering::Relaxed);
        BusyConnectionGuard { node: self.clone() }
    }

    /// Counts an open request until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard { node: self.clone() }
    }

    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// Keeps a connection counted as busy.
#[derive(Debug)]
pub struct BusyConnectionGuard {
    node: Arc<Node>,
}

impl Drop for BusyConnectionGuard {
    fn drop(&mut self) {
        self.node.busy_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a request counted as open.
#[derive(Debug)]
pub struct OpenRequestGuard {
    node: Arc<Node>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.node.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
