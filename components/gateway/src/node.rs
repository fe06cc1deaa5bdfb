//! State that the tasks of an entry VM share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{DomainId, Generation};
use dispatch::{ClientLimits, Member, MemberState, PoolSettings, RouteTable, Server};

use crate::dialect::Dialect;
use crate::dispatcher::Dispatcher;
use crate::idle::IdleConnections;
use crate::settings::Settings;

/// Bytes of request bodies that are held at the same time; a quarter of the smallest entry VM.
const MAX_BODY_MEMORY_BYTES: usize = 40 * 1024 * 1024;
/// Part of the platform's rate that is admitted to a cold server. The platform allows 1.5 times the
/// rate and a slack, which covers two keepers at the same time.
const COLD_RATE_FRACTION: f64 = 0.8;
/// Share of the platform's retry budget that is used; the rest covers requests that are counted in
/// different windows and pools that are kept twice.
const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// An entry VM.
#[derive(Debug)]
pub struct Node {
    settings: Mutex<Arc<Settings>>,
    /// Names and formats of the platform.
    pub dialect: Dialect,
    /// Slots of servers, pools and members.
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// Idle connections.
    pub(crate) idle: IdleConnections,
    routes: Mutex<Option<Arc<RouteTable>>>,
    servers_listed: AtomicBool,
    /// Longest deadline seen on each route: that of the first attempts of callers.
    longest_deadlines: Mutex<HashMap<Box<str>, Duration>>,
    body_bytes: AtomicUsize,
    open_requests: AtomicUsize,
    leaving_since: Mutex<Option<Duration>>,
    /// Closes when idle connections of callers are to be closed.
    idle_close_signal: (Mutex<Option<Sender<()>>>, Receiver<()>),
}

impl Node {
    /// Creates the state of an entry VM that has no configuration and knows no servers.
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        dispatcher: Arc<Dispatcher>,
    ) -> Arc<Self> {
        let (tx, rx) = async_channel::bounded(1);
        Arc::new(Node {
            settings: Mutex::new(Arc::new(settings)),
            dialect,
            dispatcher,
            idle: IdleConnections::default(),
            routes: Mutex::new(None),
            servers_listed: AtomicBool::new(false),
            longest_deadlines: Mutex::default(),
            body_bytes: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            leaving_since: Mutex::new(None),
            idle_close_signal: (Mutex::new(Some(tx)), rx),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        lock(&self.settings).clone()
    }

    /// Puts changed settings in force; returns whether some of them need a restart.
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

    /// Describes this entry VM to others.
    pub fn own(&self) -> Member {
        self.dispatcher.own()
    }

    /// Returns the uptime.
    pub fn now(&self) -> Duration {
        self.dispatcher.now()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Returns the limits for callers in force.
    pub fn limits(&self) -> ClientLimits {
        self.routes()
            .map_or_else(ClientLimits::default, |r| r.limits)
    }

    /// Puts a configuration in force, unless a newer one is; returns whether it did.
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

    /// Adds a server or takes over its newer description.
    pub fn put_server(&self, server: Server) {
        self.dispatcher.put_server(server);
    }

    /// Removes a server.
    pub fn remove_server(&self, id: &str) {
        self.dispatcher.remove_server(id);
    }

    /// Sets whether changes of servers and routes are heard from the platform.
    pub fn set_platform_connected(&self, platform_connected: bool) {
        self.dispatcher.set_platform_connected(platform_connected);
    }

    /// Records that the list of servers is complete.
    pub fn mark_servers_listed(&self) {
        if !self.servers_listed.swap(true, Ordering::Relaxed) {
            log::info!("event=servers_listed");
            self.update_state();
        }
    }

    /// Sets the failure domains whose servers get nothing.
    pub fn evacuate(&self, domains: Vec<DomainId>) {
        log::info!("event=evacuated domains={}", domains.join(","));
        self.dispatcher.evacuate(domains);
    }

    /// Adds an entry VM that the platform lists.
    pub fn add_member(&self, member: Member) {
        self.dispatcher.add_member(member);
    }

    /// Returns the peer addresses of the entry VMs of the failure domain that have been heard
    /// within `silence`, in an order on which all agree; `None` for this one.
    pub fn ranked_domain_peers(&self, max_silence: Duration) -> Vec<Option<SocketAddr>> {
        self.dispatcher.ranked_domain_peers(max_silence)
    }

    /// Returns the peer addresses of the other entry VMs that serve.
    pub fn available_peers(&self) -> Vec<SocketAddr> {
        let own = self.own().id;
        let serving = self.dispatcher.available_members().into_iter();
        serving.filter(|m| m.id != own).map(|m| m.peers).collect()
    }

    /// Takes the entry VMs of the region that have been silent for so long that they were forgotten.
    pub fn take_expired_members(&self) -> Vec<Member> {
        let region = &self.settings().region;
        let mut expired = self.dispatcher.take_expired_members();
        expired.retain(|m| m.region == *region);
        expired
    }

    /// Returns the configuration in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.routes().map_or(0, |r| r.generation)
    }

    fn update_state(&self) {
        let complete = self.routes().is_some() && self.servers_listed.load(Ordering::Relaxed);
        if complete && self.dispatcher.state() == MemberState::Starting {
            log::info!("event=ready uptime_ms={}", self.now().as_millis());
            self.dispatcher.set_state(MemberState::Ready);
        }
    }

    /// Starts a graceful stop.
    pub fn leave(&self) {
        lock(&self.leaving_since).get_or_insert(self.now());
        self.dispatcher.set_state(MemberState::Leaving);
    }

    /// Returns when the graceful stop started.
    pub fn leaving_since(&self) -> Option<Duration> {
        *lock(&self.leaving_since)
    }

    /// Closes the idle connections of callers.
    pub fn close_idle_connections(&self) {
        lock(&self.idle_close_signal.0).take();
    }

    /// Returns a channel that closes when idle connections are to be closed.
    pub fn idle_close_signal(&self) -> Receiver<()> {
        self.idle_close_signal.1.clone()
    }

    /// Estimates for how long the caller waited in earlier attempts. First attempts on a route
    /// have the longest deadline.
    pub fn waited_before(&self, route: &str, deadline: Duration) -> Duration {
        let mut deadlines = lock(&self.longest_deadlines);
        let longest = deadlines.entry(route.into()).or_insert(deadline);
        *longest = (*longest).max(deadline);
        longest.saturating_sub(deadline)
    }

    /// Counts a request that is handled, until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard { node: self.clone() }
    }

    /// Returns the number of requests that are handled.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request body.
    pub fn reserve_body(self: &Arc<Self>, bytes: usize) -> Option<BodyMemory> {
        let held = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = BodyMemory {
            node: self.clone(),
            bytes,
        };
        (held + bytes <= MAX_BODY_MEMORY_BYTES).then_some(guard)
    }
}

/// Counts a request while it exists.
#[derive(Debug)]
pub struct OpenRequestGuard {
    node: Arc<Node>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.node.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory of a request body.
#[derive(Debug)]
pub struct BodyMemory {
    node: Arc<Node>,
    bytes: usize,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.node
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
