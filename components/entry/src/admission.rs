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

/// Servers already tried for a request, which further attempts should avoid.
pub type ExcludedServers = SmallVec<[ServerId; 4]>;

struct Inner {
    /// Slots that this entry VM may use, with its loans.
    ledger: Ledger,
    services: BTreeMap<ServiceId, ServiceState>,
    /// Dropping a sender cancels the request that holds the permit.
    cancel_senders: BTreeMap<Permit, Sender<()>>,
    /// Random number generator for the choice of servers.
    rng: fastrand::Rng,
}

/// Admission to the servers of one failure domain.
pub struct Admission {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl Admission {
    pub fn new(clock: Clock, mut rng: fastrand::Rng) -> Arc<Self> {
        let settings = limits::slots::Settings {
            // The upper half is left for the numbers that follow.
            number_offset: rng.u64(..u64::MAX / 2),
            ..limits::slots::Settings::default()
        };
        let ledger = Ledger::new(settings, clock.uptime());
        let inner = Inner {
            ledger,
            services: BTreeMap::new(),
            cancel_senders: BTreeMap::new(),
            rng,
        };
        Arc::new(Admission {
            clock,
            inner: Mutex::new(inner),
        })
    }

    /// Applies the services, servers and drains of a configuration.
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

    /// Sets this VM's quotas of the servers' slots in a configuration generation.
    ///
    /// `counted` is true if the peers include this VM in their member sets, `peers_settled` if all
    /// slots that the peers use fit their quotas in this generation.
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
        self.start_all_waiting();
    }

    /// Returns whether all slots in use fit the quotas of the newest configuration.
    pub fn is_settled(&self) -> bool {
        self.lock().ledger.settled()
    }

    /// Refuses the waiting requests that have expired or can no longer get a slot on this VM.
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
        self.start_all_waiting();
    }

    /// Records the state and load from a server's health response, unless a later probe has been
    /// answered before.
    pub fn set_health(&self, server: &ServerId, state: State, report: LoadReport) {
        self.change_server(server, |s| {
            if s.reported_at <= Some(report.measured_at) {
                s.reported_at = Some(report.measured_at);
                s.reported_state = state;
            }
        });
        for service in self.lock().services.values_mut() {
            service.selector.set_report(server, report);
        }
    }

    /// Records whether the VM list reports a server as leaving.
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
            service.selector.set_state(&id, known.effective_state());
        }
    }

    /// Waits for a slot. The error code says why the request was not run.
    pub async fn acquire(
        self: &Arc<Self>,
        meta: &Meta,
        excluded_servers: ExcludedServers,
    ) -> Result<Slot, Code> {
        let (tx, rx) = async_channel::bounded(1);
        self.enqueue(
            meta,
            Waiter {
                tx,
                excluded_servers,
            },
        )?;
        self.start_waiting(&meta.service);
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
        if waiter.excluded_servers.is_empty() {
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
            Err((refusal, _)) => Err(refusal_code(refusal)),
        }
    }

    /// Acquires a slot for a hedge without waiting; `None` if no slot or hedge token is
    /// available, or other requests wait.
    pub fn try_acquire(
        self: &Arc<Self>,
        meta: &Meta,
        excluded_servers: &ExcludedServers,
    ) -> Option<Slot> {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let Inner {
            ledger,
            services,
            cancel_senders,
            rng,
        } = &mut *inner;
        let state = services.get_mut(&meta.service)?;
        let slots = state.slots(now, ledger);
        if slots.in_use >= slots.total || !state.queue.is_empty() {
            return None;
        }
        let server = state.choose(now, ledger, meta.deadline, excluded_servers, rng)?;
        if excluded_servers.contains(&server)
            || !HedgeDelay::try_take_token(meta.class, &mut state.budget)
        {
            return None;
        }
        let permit = ledger
            .acquire(now, &server, meta.class, meta.deadline)
            .ok()?;
        let cancelled = register_cancellation(cancel_senders, &permit);
        Some(state.start(self.clone(), now, permit, &meta.service, cancelled))
    }

    /// Returns the delay after which a request is hedged; `None` if it is not hedged.
    pub fn hedge_delay(&self, meta: &Meta) -> Option<Duration> {
        let now = self.clock.uptime();
        self.lock()
            .services
            .get(&meta.service)?
            .hedge
            .delay(meta.class, now, meta.deadline)
    }

    /// Takes a token from the retry budget of a service; returns whether there was one.
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

    /// Returns the number of free slots of each service that no waiting request needs.
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

    /// Records the outcome of the request that held the slot.
    fn finish(&self, slot: &Slot) {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        inner.cancel_senders.remove(&slot.permit);
        if let Some(state) = inner.services.get_mut(&slot.service) {
            state.finish(now, slot);
        }
    }

    /// Releases a slot and starts the next waiting request.
    fn release(self: &Arc<Self>, permit: &Permit, service: &ServiceId) {
        self.lock().ledger.release(permit);
        self.start_waiting(service);
    }

    fn start_all_waiting(self: &Arc<Self>) {
        let services: Vec<ServiceId> = self.lock().services.keys().cloned().collect();
        for service in services {
            self.start_waiting(&service);
        }
    }

    /// Starts waiting requests of a service while slots are free.
    fn start_waiting(self: &Arc<Self>, service: &ServiceId) {
        while self.start_next(service) {}
    }

    fn start_next(self: &Arc<Self>, service: &ServiceId) -> bool {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let Inner {
            ledger,
            services,
            cancel_senders,
            rng,
        } = &mut *inner;
        let Some(state) = services.get_mut(service) else {
            return false;
        };
        // The next request is known only after `pop`, so the slot must cover the latest deadline of
        // all waiting requests.
        let latest = state.queue.latest_deadline().unwrap_or_default();
        let available = state.choose(now, ledger, latest, &ExcludedServers::new(), rng);
        if available.is_none() {
            return false;
        }
        let popped = state.queue.pop(now, state.slots(now, ledger));
        let started = popped.next.map(|entry| {
            let server = state.choose(
                now,
                ledger,
                entry.deadline,
                &entry.item.excluded_servers,
                rng,
            );
            let permit =
                server.and_then(|id| ledger.acquire(now, &id, entry.class, entry.deadline).ok());
            let slot = permit.map(|permit| {
                let cancelled = register_cancellation(cancel_senders, &permit);
                state.start(self.clone(), now, permit, service, cancelled)
            });
            (entry.item.tx, slot.ok_or(Code::NoServer))
        });
        drop(inner);
        refuse(popped.expired, Code::DeadlinePassed);
        let Some((tx, result)) = started else {
            return false;
        };
        // If the caller has disconnected, the failed send drops the slot, which releases it.
        let _ = tx.try_send(result);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a receiver that closes when the loan behind the permit ends.
fn register_cancellation(
    cancel_senders: &mut BTreeMap<Permit, Sender<()>>,
    permit: &Permit,
) -> Receiver<()> {
    let (tx, rx) = async_channel::bounded(1);
    cancel_senders.insert(permit.clone(), tx);
    rx
}

fn refuse(entries: impl IntoIterator<Item = Entry<Waiter>>, code: Code) {
    for entry in entries {
        // The send fails if the caller has disconnected.
        let _ = entry.item.tx.try_send(Err(code));
    }
}

fn refusal_code(refusal: Refusal) -> Code {
    match refusal {
        Refusal::Full | Refusal::Displaced => Code::QueueFull,
        Refusal::DeadlineTooNear | Refusal::Expired => Code::DeadlinePassed,
    }
}
