//! Gets slots for the requests of this entry VM from the pools of its region, which this or another
//! entry VM owns, and maintains the member list.

mod heartbeats;
mod inbox;
mod inner;
mod leave;
mod ownership;
mod periodic;
mod progress;
mod reach;
mod servers;
mod slot;
mod timing;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_io::Async;
use config::{DomainId, RegionId, ServerId, ServiceId};
use dispatch::{
    Decision, HostRoute, LookUp, Member, MemberState, Outcome, PoolSettings, RefuseReason,
    Selection, Server,
};
use replica::Position;
use runtime::Clock;
use smallvec::SmallVec;

use crate::dialect::LookUpQuery;
use crate::freshness::Freshness;
use crate::message::{self, MAX_DATAGRAM};
use crate::settings::Settings;
use inner::Inner;
pub use slot::{GrantCheck, Slot};

/// A request for a slot, as submitted by the relay.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    pub service: ServiceId,
    /// Time at which the target latency is exceeded.
    pub target_at: Duration,
    /// Time at which the caller or the route's time-out gives up.
    pub deadline_at: Duration,
    /// Time since which the caller has been waiting.
    pub waiting_since: Duration,
    /// Queue priority; 0 is served first.
    pub priority: u8,
    /// Whether the request was sent to a server before.
    pub retry: bool,
    /// Whether this is a hedge: it only gets a slot that no other request waits for, and is not
    /// queued itself.
    pub hedge: bool,
    /// Hash of the object that it concerns, for object affinity.
    pub object: Option<u64>,
    /// Servers that it must not be sent to.
    pub excluded_servers: SmallVec<[ServerId; 2]>,
    /// Regions to which it may be forwarded.
    pub forward_regions: SmallVec<[RegionId; 2]>,
}

/// Result of a request for a slot.
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent to the server of this slot.
    Slot(Slot),
    /// The request is to be forwarded to this region, to the entry VM at this peer address.
    Forward(RegionId, SocketAddr),
    Refused {
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Pools, the member list, and the socket for datagrams between entry VMs.
#[derive(Debug)]
pub struct Dispatcher {
    inner: Mutex<Inner>,
    socket: Async<UdpSocket>,
    clock: Clock,
    freshness: Freshness,
}

impl Dispatcher {
    /// Binds the socket for datagrams from other entry VMs.
    pub fn bind(settings: &Settings, own: Member, clock: Clock) -> std::io::Result<Arc<Self>> {
        let socket = Async::<UdpSocket>::bind(settings.peers)?;
        Ok(Arc::new(Dispatcher {
            inner: Mutex::new(Inner::new(settings, own)),
            socket,
            clock,
            freshness: Freshness::default(),
        }))
    }

    pub fn now(&self) -> Duration {
        self.clock.uptime()
    }

    /// Applies changed failure domains and seeds.
    pub fn update_settings(&self, settings: &Settings) {
        let mut inner = self.lock();
        inner.domains.clone_from(&settings.domains);
        inner.seeds.clone_from(&settings.seeds);
    }

    /// Changes the lifecycle state of this entry VM and announces it to the others at once.
    pub fn set_state(&self, state: MemberState) {
        self.with_state(|inner, now| inner.set_state(state, now));
    }

    /// Starts the graceful stop and announces it: requests are taken if their deadlines pass before
    /// `until`. May be called again with another time.
    pub fn leave(&self, until: Duration) {
        self.with_state(|inner, now| inner.leave(until, now));
    }

    /// Sets whether this entry VM receives updates from the platform.
    pub fn set_platform_connected(&self, platform_connected: bool) {
        self.with_state(|inner, now| inner.set_platform_connected(platform_connected, now));
    }

    /// Returns the lifecycle state of this entry VM.
    pub fn state(&self) -> MemberState {
        self.lock().members.own.state
    }

    /// Sets the limits and weights of a service's pool.
    pub fn configure(&self, service: &ServiceId, cfg: PoolSettings) {
        self.with_state(|inner, _| inner.configure(service, cfg));
    }

    /// Adds or updates a server.
    pub fn put_server(&self, server: Server) {
        self.with_state(|inner, now| inner.put_server(server, now));
    }

    pub fn remove_server(&self, id: &str) {
        self.with_state(|inner, now| inner.remove_server(id, now));
    }

    /// Sets the evacuated failure domains; their servers get no requests.
    pub fn evacuate(&self, domains: Vec<DomainId>) {
        self.with_state(|inner, now| inner.evacuate(domains, now));
    }

    /// Adds an entry VM that the platform lists to the member list.
    pub fn add_member(&self, member: Member) {
        self.with_state(|inner, now| inner.add_member(member, now));
    }

    /// Returns the members that were removed from the member list after a long silence, once each.
    pub fn take_expired_members(&self) -> Vec<Member> {
        std::mem::take(&mut self.lock().expired_members)
    }

    /// Returns the member list entry of this entry VM.
    pub fn own(&self) -> Member {
        self.lock().members.own.clone()
    }

    /// Returns the available members, this one included.
    pub fn available_members(&self) -> Vec<Member> {
        let inner = self.lock();
        let now = self.now();
        inner.members.available(now).into_iter().cloned().collect()
    }

    /// Selects the entry VMs that the answer to a look-up names, and calls `encode` with them.
    pub fn select<T>(
        &self,
        query: &LookUpQuery,
        routes: &[HostRoute],
        encode: impl FnOnce(&Selection) -> T,
    ) -> Option<T> {
        let inner = self.lock();
        let look_up = LookUp {
            region: &query.region,
            domain: &query.domain,
            routes,
            evacuated: &inner.evacuated,
        };
        let candidates = inner.look_up_candidates(self.now());
        dispatch::select(&look_up, &candidates).map(|s| encode(&s))
    }

    /// Records that a connection to a server was opened.
    pub fn record_server_contact(&self) {
        self.with_state(Inner::record_server_contact);
    }

    /// Records an attempt that did not reach its server.
    pub fn record_server_failure(&self, server: &str) {
        self.with_state(|inner, now| inner.record_server_failure(server, now));
    }

    /// Whether this entry VM is cut off from the servers.
    pub fn is_cut_off(&self) -> bool {
        self.lock().reachability.is_cut_off()
    }

    /// Returns the address of a random server that is in use.
    pub fn draw_server(&self) -> Option<SocketAddr> {
        let inner = self.lock();
        let servers = inner
            .pools
            .values()
            .flat_map(dispatch::Pool::server_addresses);
        fastrand::choice(servers.collect::<Vec<_>>())
    }

    /// Returns the peer address of another entry VM of the region that reaches the servers, for a
    /// request that ends within `remaining`.
    pub fn draw_relay(&self, remaining: Duration) -> Option<SocketAddr> {
        self.lock().draw_relay(remaining, self.now())
    }

    /// Returns the peer addresses of the entry VMs in this failure domain that have been heard from
    /// within `max_silence`, in an order on which all of them agree. This entry VM is `None`.
    pub fn ranked_domain_peers(&self, max_silence: Duration) -> Vec<Option<SocketAddr>> {
        let inner = self.lock();
        let own = &inner.members.own;
        let order = inner.members.ranked_domain_members(max_silence, self.now());
        let address = |m: &Member| (m.id != own.id).then_some(m.peers);
        order.into_iter().map(address).collect()
    }

    /// Whether this entry VM asks the platform for changes often and announces them to its region.
    pub fn is_watcher(&self) -> bool {
        self.lock().is_watcher(self.now())
    }

    /// Whether no watcher of the region is connected to the platform.
    pub fn watchers_disconnected(&self) -> bool {
        self.lock().watchers_disconnected(self.now())
    }

    /// Requests a slot and waits for the decision. Dropping the future cancels the request.
    pub async fn admit(self: &Arc<Self>, request: SlotRequest) -> Admission {
        let (number, rx) = self.with_state(|inner, now| inner.submit_request(&request, now));
        let mut guard = slot::PendingGuard::new(self.clone(), number);
        let decision = rx.recv().await;
        guard.disarm();
        match decision {
            Ok(Decision::Grant(grant)) => Admission::Slot(Slot::new(self.clone(), number, grant)),
            Ok(Decision::Forward(region)) => self.forward(&request, region),
            Ok(Decision::Refuse {
                reason,
                retry_after,
            }) => Admission::Refused {
                reason,
                retry_after,
            },
            Err(_) => Admission::Refused {
                reason: RefuseReason::NoServers,
                retry_after: Duration::from_secs(1),
            },
        }
    }

    fn forward(&self, request: &SlotRequest, region: RegionId) -> Admission {
        let inner = self.lock();
        match inner
            .members
            .pool_owner(&request.service, &region, self.now())
        {
            Some(member) => Admission::Forward(region, member.peers),
            None => Admission::Refused {
                reason: RefuseReason::NoServers,
                retry_after: Duration::from_millis(200),
            },
        }
    }

    /// Returns the region with the shortest round trip among `regions`, and the peer address of the
    /// entry VM that owns the pool of `service` there. Regions without an available entry VM are
    /// skipped.
    pub fn nearest_owner(
        &self,
        service: &str,
        regions: &[RegionId],
    ) -> Option<(RegionId, SocketAddr)> {
        let inner = self.lock();
        let now = self.now();
        regions
            .iter()
            .filter_map(|r| Some((r, inner.members.pool_owner(service, r, now)?.peers)))
            .min_by_key(|(r, _)| inner.round_trips.get(*r).copied())
            .map(|(r, peer)| (r.clone(), peer))
    }

    /// Records how far a table of the platform has been replicated.
    pub fn set_progress(&self, table: &str, position: Position, last_change: Position) {
        let mut inner = self.lock();
        inner.progress.advance(table, position, last_change);
    }

    /// Returns the peer address of an entry VM that has been ahead of this one for some time.
    pub fn take_peer_ahead(&self, table: &str) -> Option<SocketAddr> {
        let now = self.now();
        self.lock().progress.take_ahead(table, now)
    }

    /// Records an answer of the platform about servers to a poll that started at this time since
    /// boot.
    pub fn confirm_servers(&self, polled_at: Duration) {
        self.freshness.confirm(polled_at);
    }

    /// Returns whether this process was paused after a time since boot.
    pub fn paused_since(&self, at: Duration) -> bool {
        self.freshness.paused_since(at)
    }

    /// Ends a request. Does nothing if `number` has ended already.
    fn end(&self, number: u64, outcome: Outcome, load: Option<dispatch::LoadReport>) {
        self.with_state(|inner, now| inner.end_request(number, outcome, load, now));
    }

    /// Receives datagrams until the process ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        let mut budget = runtime::YieldBudget::default();
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((n, from)) => self.handle(&buf[..n], from),
                Err(e) => {
                    log::warn!("event=datagram_receive_failed error=\"{e}\"");
                    runtime::sleep(Duration::from_millis(20)).await;
                }
            }
            budget.step().await;
        }
    }

    fn handle(&self, bytes: &[u8], from: SocketAddr) {
        match message::decode(bytes) {
            Ok(message) => self.with_state(|inner, now| inner.receive(message, from, now)),
            Err(e) => {
                metrics::counter!("gateway_datagrams_malformed_total").increment(1);
                log::debug!("event=datagram_malformed from={from} error=\"{e}\"");
            }
        }
    }

    /// Runs the periodic work until the process ends: heartbeats, resending of lost messages, and
    /// decisions about queued requests.
    pub async fn tick(self: Arc<Self>, timers: runtime::TimerService) {
        let ticks = timers.subscribe(timing::TICK_INTERVAL);
        while ticks.recv().await.is_ok() {
            self.freshness.observe();
            self.with_state(Inner::tick);
        }
    }

    /// Calls `f` with the locked state and the uptime, then sends the messages that it put into the
    /// outbox, after the lock is released.
    fn with_state<T>(&self, f: impl FnOnce(&mut Inner, Duration) -> T) -> T {
        let mut inner = self.lock();
        let result = f(&mut inner, self.now());
        let outbox = inner.take_outbox();
        drop(inner);
        for (to, message) in outbox {
            let Some(bytes) = message::encode(&message) else {
                continue;
            };
            // Messages are resent if lost, so there is no need to wait for a full send buffer.
            if let Err(e) = self.socket.get_ref().send_to(&bytes, to) {
                metrics::counter!("gateway_datagrams_unsent_total").increment(1);
                log::debug!("event=datagram_send_failed to={to} error=\"{e}\"");
            }
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
