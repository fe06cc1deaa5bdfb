//! Connects requests of this entry VM with the pools of its region, wherever they are kept.

mod heartbeats;
mod inbox;
mod inner;
mod ownership;
mod periodic;
mod slot;
mod timing;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_io::Async;
use config::{DomainId, RegionId, ServerId, ServiceId};
use dispatch::{Decision, Member, MemberState, Outcome, PoolSettings, RefuseReason, Server};
use runtime::Clock;
use smallvec::SmallVec;

use crate::message::{self, MAX_DATAGRAM};
use crate::settings::Settings;
use inner::Inner;
pub use slot::Slot;

/// A request for a slot, before it has a number.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Service that is to run it.
    pub service: ServiceId,
    /// Moment at which the target latency passes.
    pub target_at: Duration,
    /// Moment at which the caller or the route gives up.
    pub deadline_at: Duration,
    /// Moment from which the caller has waited.
    pub waiting_since: Duration,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Whether it was sent to a server before.
    pub retry: bool,
    /// Whether it takes only a slot that nothing else waits for, and does not wait itself.
    pub hedge: bool,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// Servers that it must not be sent to.
    pub excluded_servers: SmallVec<[ServerId; 2]>,
    /// Regions to which it may be forwarded.
    pub forward_regions: SmallVec<[RegionId; 2]>,
}

/// What happens with a request.
#[derive(Debug)]
pub enum Admission {
    /// It may be sent to a server.
    Slot(Slot),
    /// It is passed on to the entry VM at this address, in this region.
    Forward(RegionId, SocketAddr),
    /// It is refused.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Pools, members and the requests between them.
#[derive(Debug)]
pub struct Dispatcher {
    inner: Mutex<Inner>,
    socket: Async<UdpSocket>,
    clock: Clock,
}

impl Dispatcher {
    /// Binds the socket for datagrams of other entry VMs.
    pub fn bind(settings: &Settings, own: Member, clock: Clock) -> std::io::Result<Arc<Self>> {
        let socket = Async::<UdpSocket>::bind(settings.peers)?;
        Ok(Arc::new(Dispatcher {
            inner: Mutex::new(Inner::new(settings, own)),
            socket,
            clock,
        }))
    }

    /// Returns the uptime.
    pub fn now(&self) -> Duration {
        self.clock.uptime()
    }

    /// Takes over changed settings.
    pub fn update_settings(&self, settings: &Settings) {
        let mut inner = self.lock();
        inner.domains.clone_from(&settings.domains);
        inner.seeds.clone_from(&settings.seeds);
    }

    /// Changes the state that other entry VMs see, and tells them at once.
    pub fn set_state(&self, state: MemberState) {
        self.with_state(|inner, now| inner.set_state(state, now));
    }

    /// Sets whether this entry VM hears of changes from the platform.
    pub fn set_platform_connected(&self, platform_connected: bool) {
        self.with_state(|inner, now| inner.set_platform_connected(platform_connected, now));
    }

    /// Returns the state.
    pub fn state(&self) -> MemberState {
        self.lock().members.own.state
    }

    /// Sets the limits of a service's pool.
    pub fn configure(&self, service: &ServiceId, cfg: PoolSettings) {
        self.with_state(|inner, _| inner.configure(service, cfg));
    }

    /// Adds a server or takes over its newer description.
    pub fn put_server(&self, server: Server) {
        self.with_state(|inner, now| inner.put_server(server, now));
    }

    /// Removes a server.
    pub fn remove_server(&self, id: &str) {
        self.with_state(|inner, _| inner.remove_server(id));
    }

    /// Sets the failure domains whose servers get nothing.
    pub fn evacuate(&self, domains: Vec<DomainId>) {
        self.with_state(|inner, now| inner.evacuate(domains, now));
    }

    /// Adds an entry VM that the platform lists.
    pub fn add_member(&self, member: Member) {
        self.with_state(|inner, now| inner.add_member(member, now));
    }

    /// Takes the entry VMs that have been silent for so long that they were forgotten.
    pub fn take_expired_members(&self) -> Vec<Member> {
        std::mem::take(&mut self.lock().expired_members)
    }

    /// Describes this entry VM.
    pub fn own(&self) -> Member {
        self.lock().members.own.clone()
    }

    /// Returns the entry VMs that serve.
    pub fn available_members(&self) -> Vec<Member> {
        let inner = self.lock();
        let now = self.now();
        inner.members.available(now).into_iter().cloned().collect()
    }

    /// Returns the peer addresses of the entry VMs of the failure domain that have been heard
    /// within `silence`, in an order on which all agree; `None` for this one.
    pub fn ranked_domain_peers(&self, max_silence: Duration) -> Vec<Option<SocketAddr>> {
        let inner = self.lock();
        let own = &inner.members.own;
        let order = inner.members.ranked_domain_members(max_silence, self.now());
        let address = |m: &Member| (m.id != own.id).then_some(m.peers);
        order.into_iter().map(address).collect()
    }

    /// Returns the usual service time of a service in this region, once known.
    pub fn mean_service_time(&self, service: &str) -> Option<Duration> {
        self.lock().mean_service_time(service)
    }

    /// Waits for a decision about a request. Dropping the future withdraws the request.
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

    /// Returns the nearest of the regions that has an entry VM, and the address of the one that
    /// keeps the pool of `service`.
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

    /// Ends a request; `number` is unknown if it has ended already.
    fn end(&self, number: u64, outcome: Outcome, load: Option<dispatch::LoadReport>) {
        self.with_state(|inner, now| inner.end_request(number, outcome, load, now));
    }

    /// Receives datagrams until the process ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((n, from)) => self.handle(&buf[..n], from),
                Err(e) => {
                    log::warn!("event=datagram_receive_failed error=\"{e}\"");
                    runtime::sleep(Duration::from_millis(20)).await;
                }
            }
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

    /// Sends heartbeats, repeats lost messages and decides about waiting requests.
    pub async fn tick(self: Arc<Self>, timers: runtime::TimerService) {
        let ticks = timers.subscribe(timing::TICK_INTERVAL);
        while ticks.recv().await.is_ok() {
            self.with_state(Inner::tick);
        }
    }

    /// Runs `f` on the state, then sends what it has left to send.
    fn with_state<T>(&self, f: impl FnOnce(&mut Inner, Duration) -> T) -> T {
        let mut inner = self.lock();
        let result = f(&mut inner, self.now());
        let outbox = inner.take_outbox();
        drop(inner);
        for (to, message) in outbox {
            let Some(bytes) = message::encode(&message) else {
                continue;
            };
            // Lost datagrams are repeated, so a full send buffer needs no waiting.
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
