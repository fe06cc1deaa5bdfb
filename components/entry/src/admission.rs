//! Admission of requests to the backend servers of this failure domain.

mod loans;
mod report;
mod service;
mod slot;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{Generation, ServerId, ServiceId};
use http::codes::Code;
use limits::budget::RetryReason;
use limits::hedge::HedgeDelay;
use limits::queue::{Entry, Refusal};
use limits::slots::{Ledger, Permit, Quotas};
use routing::server::{LoadReport, State};
use runtime::Clock;
use smallvec::SmallVec;

use crate::in_force::InForce;
use crate::request::Meta;
use service::{ServerState, ServiceState, Waiter};

pub use slot::Slot;

/// Servers that an attempt should not go to.
pub type Avoid = SmallVec<[ServerId; 4]>;

/// State behind the lock.
struct Inner {
    /// Slots that this entry VM may use.
    ledger: Ledger,
    /// Per service.
    services: BTreeMap<ServiceId, ServiceState>,
    /// Ends the requests on borrowed slots.
    cancels: BTreeMap<Permit, Sender<()>>,
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

impl Admission {
    /// Creates an admission without servers.
    pub fn new(clock: Clock, rng: fastrand::Rng) -> Arc<Self> {
        let ledger = Ledger::new(limits::slots::Settings::default(), clock.uptime());
        let inner = Inner {
            ledger,
            services: BTreeMap::new(),
            cancels: BTreeMap::new(),
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
                .or_insert_with(|| ServiceState::new(service.class, cfg.rules()));
            state.adopt(cfg, &service.id, domain);
        }
    }

    /// Sets this VM's quotas of the servers' slots under a generation.
    ///
    /// `counted` tells whether the peers count this VM; `peers_settled`, whether everything that
    /// they use fits their quotas under this generation.
    pub fn set_quotas(
        self: &Arc<Self>,
        generation: Generation,
        quotas: Quotas,
        counted: bool,
        peers_settled: bool,
    ) {
        let now = self.clock.uptime();
        {
            let mut inner = self.lock();
            if Some(generation) > inner.ledger.generation() {
                inner.ledger.adopt(generation, quotas);
            } else if Some(generation) == inner.ledger.generation() {
                inner.ledger.reassign(quotas);
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
        let mut unservable = Vec::new();
        {
            let mut inner = self.lock();
            let Inner {
                ledger, services, ..
            } = &mut *inner;
            for state in services.values_mut() {
                expired.extend(state.queue.expire(now));
                let slots = state.slots(now, ledger);
                unservable.extend(state.queue.remove_unservable(slots));
            }
        }
        refuse(expired, Code::DeadlinePassed);
        refuse(unservable, Code::QueueFull);
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
        let slots = state.slots(now, ledger);
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
            cancels,
            rng,
        } = &mut *inner;
        let state = services.get_mut(&meta.service)?;
        let slots = state.slots(now, ledger);
        if slots.in_use >= slots.total || !state.queue.is_empty() {
            return None;
        }
        let server = state.choose(now, ledger, meta.deadline, avoid, rng)?;
        if avoid.contains(&server) || !HedgeDelay::try_take_token(meta.class, &mut state.budget) {
            return None;
        }
        let permit = ledger
            .acquire(now, &server, meta.class, meta.deadline)
            .ok()?;
        let cancelled = watch(cancels, &permit);
        Some(state.start(self.clone(), now, permit, &meta.service, cancelled))
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
    pub fn may_retry(&self, service: &ServiceId, reason: RetryReason) -> bool {
        let granted = self
            .lock()
            .services
            .get_mut(service)
            .is_some_and(|s| s.budget.try_take_token(reason));
        let result = if granted { "granted" } else { "denied" };
        metrics::counter!("retries_total", "reason" => reason.label(), "result" => result)
            .increment(1);
        granted
    }

    /// Tells how many slots of each service are free.
    pub fn free_slots(&self) -> BTreeMap<ServiceId, u32> {
        let now = self.clock.uptime();
        let inner = self.lock();
        inner
            .services
            .iter()
            .map(|(id, state)| {
                let slots = state.slots(now, &inner.ledger);
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

    /// Records how the request of a slot ended.
    fn finish(&self, slot: &Slot) {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        inner.cancels.remove(&slot.permit);
        if let Some(state) = inner.services.get_mut(&slot.service) {
            state.finish(now, slot);
        }
    }

    /// Gives a slot to the next request.
    fn release(self: &Arc<Self>, permit: &Permit, service: &ServiceId) {
        self.lock().ledger.release(permit);
        self.pump(service);
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
            cancels,
            rng,
        } = &mut *inner;
        let Some(state) = services.get_mut(service) else {
            return false;
        };
        // Whichever request is next, the slot must cover its deadline.
        let latest = state.queue.latest_deadline().unwrap_or_default();
        let any = state.choose(now, ledger, latest, &Avoid::new(), rng);
        if any.is_none() {
            return false;
        }
        let popped = state.queue.pop(now, state.slots(now, ledger));
        let started = popped.next.map(|entry| {
            let server = state.choose(now, ledger, entry.deadline, &entry.item.avoid, rng);
            let permit =
                server.and_then(|id| ledger.acquire(now, &id, entry.class, entry.deadline).ok());
            let slot = permit.map(|permit| {
                let cancelled = watch(cancels, &permit);
                state.start(self.clone(), now, permit, service, cancelled)
            });
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

/// Registers a permit to be cancelled when the lease of its slot ends.
fn watch(cancels: &mut BTreeMap<Permit, Sender<()>>, permit: &Permit) -> Receiver<()> {
    let (tx, rx) = async_channel::bounded(1);
    cancels.insert(permit.clone(), tx);
    rx
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
