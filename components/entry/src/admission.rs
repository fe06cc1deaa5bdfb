//! Admission of requests to the backend servers of this failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use config::{Class, Generation, ServerId, ServiceId};
use http::codes::Code;
use limits::budget::{Budget, Reason};
use limits::hedge::{self, Hedge};
use limits::queue::{Entry, Queue, Refusal, Slots};
use limits::slots::{Ledger, Parts, Permit};
use routing::server::{LoadReport, Outcome, Selector, Share, State};
use runtime::Clock;
use smallvec::SmallVec;

use crate::in_force::InForce;
use crate::request::Meta;

/// Servers that an attempt should not go to.
pub type Avoid = SmallVec<[ServerId; 4]>;

/// Requests waiting for a slot of one service, and what is known about its servers.
struct ServiceState {
    /// Waiting requests.
    queue: Queue<Waiter>,
    /// Choice of the server.
    selector: Selector,
    /// Servers of this domain.
    servers: BTreeMap<ServerId, ServerState>,
    /// Slots held by deferrable work.
    deferrable: u32,
    /// Retry budget.
    budget: Budget,
    /// Hedge delay.
    hedge: Hedge,
}

/// What is known about one server.
struct ServerState {
    /// Address.
    address: SocketAddr,
    /// Whether the configuration drains it.
    drained: bool,
    /// Whether the VM list says that it is leaving.
    listed_leaving: bool,
    /// What its health answer says.
    reported: State,
}

/// A request that waits for a slot.
struct Waiter {
    /// Receives the slot or the refusal.
    tx: Sender<Result<Slot, Code>>,
    /// Servers that failed this request.
    avoid: Avoid,
}

/// State behind the lock.
struct Inner {
    /// Slots that this entry VM may use.
    ledger: Ledger,
    /// Per service.
    services: BTreeMap<ServiceId, ServiceState>,
    /// Randomness of the choice.
    rng: fastrand::Rng,
}

/// Admission to the servers of one failure domain.
pub struct Admission {
    /// Process clock.
    clock: Clock,
    /// State.
    inner: Mutex<Inner>,
}

/// A slot of a backend server, held until it is dropped.
pub struct Slot {
    /// Where it came from.
    admission: Arc<Admission>,
    /// Permit of the ledger.
    permit: Permit,
    /// Service.
    service: ServiceId,
    /// Class of the request.
    class: Class,
    /// Address of the server.
    pub address: SocketAddr,
    /// When it was taken.
    started: Duration,
    /// How the attempt ended, with its latency.
    ended: Option<(Outcome, Duration)>,
}

impl Admission {
    /// Creates an admission without servers.
    pub fn new(clock: Clock, rng: fastrand::Rng) -> Arc<Self> {
        let ledger = Ledger::new(limits::slots::Settings::default(), clock.uptime());
        let inner = Inner {
            ledger,
            services: BTreeMap::new(),
            rng,
        };
        Arc::new(Admission {
            clock,
            inner: Mutex::new(inner),
        })
    }

    /// Takes over the services, servers and drains of a configuration.
    pub fn adopt(&self, cfg: &InForce, domain: &str) {
        let mut inner = self.lock();
        let known = &cfg.configuration.inventory.services;
        inner
            .services
            .retain(|id, _| known.iter().any(|s| s.id == *id));
        for service in known {
            let state = inner
                .services
                .entry(service.id.clone())
                .or_insert_with(|| ServiceState::new(cfg.rules()));
            state.adopt(cfg, &service.id, domain);
        }
    }

    /// Sets the own parts of the servers' slots under a generation.
    ///
    /// `counted` tells whether the peers count this VM; `peers_settled`, whether everything that
    /// they use fits their parts under this generation.
    pub fn set_parts(
        self: &Arc<Self>,
        generation: Generation,
        parts: Parts,
        counted: bool,
        peers_settled: bool,
    ) {
        let now = self.clock.uptime();
        {
            let mut inner = self.lock();
            if generation > inner.ledger.generation() {
                inner.ledger.adopt(generation, parts);
            } else if generation == inner.ledger.generation() {
                inner.ledger.reassign(parts);
            }
            if counted {
                inner.ledger.confirm(now);
            }
            if peers_settled {
                inner.ledger.peers_settled(generation);
            }
        }
        self.pump_all();
    }

    /// Tells whether all slots in use fit the newest configuration.
    pub fn is_settled(&self) -> bool {
        self.lock().ledger.settled()
    }

    /// Advances time: drops requests that are expired or can no longer get a slot here.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.uptime();
        let mut expired = Vec::new();
        let mut stranded = Vec::new();
        {
            let mut inner = self.lock();
            let Inner {
                ledger, services, ..
            } = &mut *inner;
            ledger.tick(now);
            for state in services.values_mut() {
                expired.extend(state.queue.expire(now));
                let slots = state.slots(ledger);
                stranded.extend(state.queue.take_stranded(slots));
            }
        }
        refuse(expired, Code::DeadlinePassed);
        refuse(stranded, Code::QueueFull);
        self.pump_all();
    }

    /// Records a server's health answer.
    pub fn set_health(&self, server: &ServerId, state: State, report: LoadReport) {
        self.change_server(server, |s| s.reported = state);
        for service in self.lock().services.values_mut() {
            service.selector.set_report(server, report);
        }
    }

    /// Records what the VM list says about a server.
    pub fn set_listed_leaving(&self, server: &str, leaving: bool) {
        self.change_server(server, |s| s.listed_leaving = leaving);
    }

    fn change_server(&self, server: &str, change: impl Fn(&mut ServerState)) {
        for service in self.lock().services.values_mut() {
            let Some((id, _)) = service.servers.get_key_value(server) else {
                continue;
            };
            let id = id.clone();
            let Some(known) = service.servers.get_mut(server) else {
                continue;
            };
            change(known);
            service.selector.set_state(&id, known.effective());
        }
    }

    /// Waits for a slot; an error tells why the request was not run.
    pub async fn acquire(self: &Arc<Self>, meta: &Meta, avoid: Avoid) -> Result<Slot, Code> {
        let (tx, rx) = async_channel::bounded(1);
        self.enqueue(meta, Waiter { tx, avoid })?;
        self.pump(&meta.service);
        let remaining = meta.deadline.saturating_sub(self.clock.uptime());
        match runtime::timeout(remaining, rx.recv()).await {
            Some(Ok(result)) => result,
            _ => Err(Code::DeadlinePassed),
        }
    }

    fn enqueue(&self, meta: &Meta, waiter: Waiter) -> Result<(), Code> {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let Inner {
            ledger, services, ..
        } = &mut *inner;
        let state = services
            .get_mut(&meta.service)
            .ok_or(Code::UnknownService)?;
        let slots = state.slots(ledger);
        if slots.total == 0 {
            return Err(Code::NoServer);
        }
        if waiter.avoid.is_empty() {
            state.budget.record_request();
        }
        let entry = Entry {
            class: meta.class,
            house: meta.house.clone(),
            deadline: meta.deadline,
            cost: 1,
            item: waiter,
        };
        match state.queue.push(now, entry, slots) {
            Ok(displaced) => {
                drop(inner);
                refuse(displaced, Code::QueueFull);
                Ok(())
            }
            Err((refusal, _)) => Err(code_of(refusal)),
        }
    }

    /// Takes a slot at once, for a hedge; `None` when none is free.
    pub fn try_acquire(self: &Arc<Self>, meta: &Meta, avoid: &Avoid) -> Option<Slot> {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let Inner {
            ledger,
            services,
            rng,
        } = &mut *inner;
        let state = services.get_mut(&meta.service)?;
        let slots = state.slots(ledger);
        if slots.in_use >= slots.total || !state.queue.is_empty() {
            return None;
        }
        let server = state.choose(now, ledger, avoid, meta.class, rng)?;
        if avoid.contains(&server) || !Hedge::take(meta.class, &mut state.budget) {
            return None;
        }
        let permit = ledger.acquire(now, &server, meta.class).ok()?;
        Some(state.start(self.clone(), now, permit, &meta.service, meta.class))
    }

    /// Returns the time after which a request is hedged.
    pub fn hedge_delay(&self, meta: &Meta) -> Option<Duration> {
        let now = self.clock.uptime();
        self.lock()
            .services
            .get(&meta.service)?
            .hedge
            .delay(meta.class, now, meta.deadline)
    }

    /// Takes a retry from the budget.
    pub fn may_retry(&self, service: &ServiceId, reason: Reason) -> bool {
        let granted = self
            .lock()
            .services
            .get_mut(service)
            .is_some_and(|s| s.budget.take(reason));
        let result = if granted { "granted" } else { "denied" };
        metrics::counter!("retries_total", "reason" => reason.label(), "result" => result)
            .increment(1);
        granted
    }

    /// Tells how many slots of each service are free.
    pub fn free_slots(&self) -> BTreeMap<ServiceId, u32> {
        let inner = self.lock();
        inner
            .services
            .iter()
            .map(|(id, state)| {
                let slots = state.slots(&inner.ledger);
                let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
                (
                    id.clone(),
                    slots
                        .total
                        .saturating_sub(slots.in_use)
                        .saturating_sub(waiting),
                )
            })
            .collect()
    }

    fn release(self: &Arc<Self>, slot: &Slot) {
        let now = self.clock.uptime();
        {
            let mut inner = self.lock();
            inner.ledger.release(&slot.permit);
            if let Some(state) = inner.services.get_mut(&slot.service) {
                state.finish(now, slot);
            }
        }
        self.pump(&slot.service);
    }

    fn pump_all(self: &Arc<Self>) {
        let services: Vec<ServiceId> = self.lock().services.keys().cloned().collect();
        for service in services {
            self.pump(&service);
        }
    }

    /// Starts waiting requests while slots are free.
    fn pump(self: &Arc<Self>, service: &ServiceId) {
        while self.start_next(service) {}
    }

    fn start_next(self: &Arc<Self>, service: &ServiceId) -> bool {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let Inner {
            ledger,
            services,
            rng,
        } = &mut *inner;
        let Some(state) = services.get_mut(service) else {
            return false;
        };
        let no_avoid = Avoid::new();
        if state
            .choose(now, ledger, &no_avoid, Class::Idempotent, rng)
            .is_none()
        {
            return false;
        }
        let popped = state.queue.pop(now, state.slots(ledger));
        let started = popped.next.map(|entry| {
            let server = state
                .choose(now, ledger, &entry.item.avoid, entry.class, rng)
                .or_else(|| state.choose(now, ledger, &no_avoid, Class::Idempotent, rng));
            let permit = server.and_then(|id| ledger.acquire(now, &id, entry.class).ok());
            let slot = permit.map(|p| state.start(self.clone(), now, p, service, entry.class));
            (entry.item.tx, slot.ok_or(Code::NoServer))
        });
        drop(inner);
        refuse(popped.expired, Code::DeadlinePassed);
        let Some((tx, result)) = started else {
            return false;
        };
        // A failed send drops the slot, which releases it: the caller has left.
        let _ = tx.try_send(result);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    fn effective(&self) -> State {
        if self.drained || self.listed_leaving {
            State::Leaving
        } else {
            self.reported
        }
    }
}

impl ServiceState {
    fn new(rules: &config::Rules) -> Self {
        ServiceState {
            queue: Queue::new(limits::queue::Settings {
                deferrable_slot_share: rules.deferrable_slot_share,
                ..limits::queue::Settings::default()
            }),
            selector: Selector::new(routing::server::Settings::default()),
            servers: BTreeMap::new(),
            deferrable: 0,
            budget: Budget::new(rules.retry_budget),
            hedge: Hedge::new(hedge::Settings::default()),
        }
    }

    fn adopt(&mut self, cfg: &InForce, service: &ServiceId, domain: &str) {
        self.budget.set_share(cfg.rules().retry_budget);
        let mut servers = BTreeMap::new();
        for server in cfg.servers_of(service, domain) {
            let known = self.servers.get(&server.id);
            let state = ServerState {
                address: server.address,
                // The work of a drained domain leaves under the cap of a shift, not at once.
                drained: cfg.is_server_drained(&server.id),
                listed_leaving: known.is_some_and(|s| s.listed_leaving),
                reported: known.map_or(State::Ready, |s| s.reported),
            };
            servers.insert(server.id.clone(), state);
        }
        self.servers = servers;
        self.selector.set_servers(self.servers.keys().cloned());
        for (id, server) in &self.servers {
            self.selector.set_state(id, server.effective());
        }
    }

    /// Sums the slots of the servers that take new work.
    fn slots(&self, ledger: &Ledger) -> Slots {
        let mut slots = Slots {
            deferrable: self.deferrable,
            ..Slots::default()
        };
        for (id, server) in &self.servers {
            let usage = ledger.usage(id);
            let in_use = usage.own + usage.borrowed_in_use;
            slots.in_use += in_use;
            if server.effective() == State::Ready {
                slots.total += in_use + usage.free();
            } else {
                slots.total += in_use;
            }
        }
        slots
    }

    fn choose(
        &self,
        now: Duration,
        ledger: &Ledger,
        avoid: &Avoid,
        class: Class,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let share = |id: &ServerId| {
            let usage = ledger.usage(id);
            Share {
                slots: usage.part + usage.borrowed,
                free: usage.free(),
            }
        };
        // Only work that may run again is risked on a server under suspicion.
        self.selector
            .choose(now, share, avoid, class != Class::Binding, rng)
    }

    fn start(
        &mut self,
        admission: Arc<Admission>,
        now: Duration,
        permit: Permit,
        service: &ServiceId,
        class: Class,
    ) -> Slot {
        self.selector.started(now, &permit.server);
        if class == Class::Deferrable {
            self.deferrable += 1;
        }
        let address = self.servers[&permit.server].address;
        Slot {
            admission,
            permit,
            service: service.clone(),
            class,
            address,
            started: now,
            ended: None,
        }
    }

    fn finish(&mut self, now: Duration, slot: &Slot) {
        if slot.class == Class::Deferrable {
            self.deferrable = self.deferrable.saturating_sub(1);
        }
        let held = now.saturating_sub(slot.started);
        let (outcome, latency) = slot.ended.unwrap_or((Outcome::Cancelled, held));
        self.selector
            .finished(now, &slot.permit.server, latency, outcome);
        if outcome == Outcome::Answered {
            self.queue.record_service_time(held);
            self.hedge.record(now, latency);
        }
    }
}

impl Slot {
    /// Returns the server.
    pub fn server(&self) -> &ServerId {
        &self.permit.server
    }

    /// Records how the attempt ended; without it the attempt counts as cancelled.
    pub fn end(&mut self, outcome: Outcome) {
        let now = self.admission.clock.uptime();
        self.ended = Some((outcome, now.saturating_sub(self.started)));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let admission = self.admission.clone();
        admission.release(self);
    }
}

fn refuse(entries: impl IntoIterator<Item = Entry<Waiter>>, code: Code) {
    for entry in entries {
        // The caller may have left.
        let _ = entry.item.tx.try_send(Err(code));
    }
}

fn code_of(refusal: Refusal) -> Code {
    match refusal {
        Refusal::Full | Refusal::Displaced => Code::QueueFull,
        Refusal::DeadlineTooNear | Refusal::Expired => Code::DeadlinePassed,
    }
}
