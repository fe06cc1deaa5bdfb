//! State of one service at this entry VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{Class, ServerId, ServiceId};
use http::codes::Code;
use limits::budget::RetryBudget;
use limits::hedge::{self, HedgeDelay};
use limits::queue::{Queue, Slots};
use limits::slots::{Ledger, Permit};
use routing::server::{Outcome, Selector, State, UsableSlots};

use super::slot::Slot;
use super::{Admission, ExcludedServers};
use crate::in_force::InForce;

/// Waiting requests and servers of one service.
pub(super) struct ServiceState {
    pub class: Class,
    pub queue: Queue<Waiter>,
    pub selector: Selector,
    /// Servers of this domain.
    pub servers: BTreeMap<ServerId, ServerState>,
    /// Slots in use by deferrable requests.
    pub deferrable: u32,
    pub budget: RetryBudget,
    pub hedge: HedgeDelay,
}

pub(super) struct ServerState {
    pub address: SocketAddr,
    /// Whether the configuration drains the server.
    pub drained: bool,
    /// Whether the VM list reports the server as leaving.
    pub listed_leaving: bool,
    /// State in the response to the latest answered health probe.
    pub reported_state: State,
    /// When that probe was sent.
    pub reported_at: Option<Duration>,
}

/// A request that waits for a slot.
pub(super) struct Waiter {
    /// Receives the slot or the refusal.
    pub tx: Sender<Result<Slot, Code>>,
    /// Servers already tried for the request.
    pub excluded_servers: ExcludedServers,
}

impl ServerState {
    /// Combines the drain, the VM list and the health response into one state.
    pub fn effective_state(&self) -> State {
        if self.drained || self.listed_leaving {
            State::Leaving
        } else {
            self.reported_state
        }
    }
}

impl ServiceState {
    pub fn new(class: Class, rules: &config::Rules) -> Self {
        ServiceState {
            class,
            queue: Queue::new(limits::queue::Settings {
                deferrable_slot_share: rules.deferrable_slot_share,
                ..limits::queue::Settings::default()
            }),
            selector: Selector::new(routing::server::Settings::default()),
            servers: BTreeMap::new(),
            deferrable: 0,
            budget: RetryBudget::new(rules.retry_budget),
            hedge: HedgeDelay::new(hedge::Settings::default()),
        }
    }

    /// Applies the servers and drains of a configuration; keeps the state of servers that remain.
    pub fn adopt(&mut self, cfg: &InForce, service: &ServiceId, domain: &str) {
        self.budget.set_share(cfg.rules().retry_budget);
        let mut servers = BTreeMap::new();
        for server in cfg.servers_of(service, domain) {
            let known = self.servers.get(&server.id);
            let state = ServerState {
                address: server.address,
                // The drain of a whole domain is left out: its load moves away gradually, under the
                // cap of a shift.
                drained: cfg.is_server_drained(&server.id),
                listed_leaving: known.is_some_and(|s| s.listed_leaving),
                reported_state: known.map_or(State::Ready, |s| s.reported_state),
                reported_at: known.and_then(|s| s.reported_at),
            };
            servers.insert(server.id.clone(), state);
        }
        self.servers = servers;
        self.selector.set_servers(self.servers.keys().cloned());
        for (id, server) in &self.servers {
            self.selector.set_state(id, server.effective_state());
        }
    }

    /// Sums the slots of the servers; those that take no new work count only slots in use.
    pub fn slots(&self, now: Duration, ledger: &Ledger) -> Slots {
        let mut slots = Slots {
            deferrable: self.deferrable,
            ..Slots::default()
        };
        for (id, server) in &self.servers {
            let usage = ledger.usage(now, id);
            let in_use = usage.own_in_use + usage.borrowed_in_use;
            slots.in_use += in_use;
            if server.effective_state() == State::Ready {
                slots.total += in_use + usage.free();
            } else {
                slots.total += in_use;
            }
        }
        slots
    }

    /// Returns whether a server is known and not leaving.
    pub fn accepts_requests(&self, server: &ServerId) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|s| s.effective_state() != State::Leaving)
    }

    /// Chooses a server for an attempt with the given deadline.
    pub fn choose(
        &self,
        now: Duration,
        ledger: &Ledger,
        deadline: Duration,
        excluded_servers: &ExcludedServers,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let share = |id: &ServerId| {
            let usage = ledger.usage(now, id);
            let free = match self.class {
                Class::Binding => ledger.free_for_binding(now, id, deadline),
                Class::Idempotent | Class::Deferrable => usage.free(),
            };
            UsableSlots {
                total: usage.quota + usage.borrowed,
                free,
            }
        };
        self.selector
            .choose(now, share, excluded_servers, true, rng)
    }

    /// Records the start of an attempt and returns its slot.
    pub fn start(
        &mut self,
        admission: Arc<Admission>,
        now: Duration,
        permit: Permit,
        service: &ServiceId,
        cancelled: Receiver<()>,
    ) -> Slot {
        self.selector.started(now, &permit.server);
        if self.class == Class::Deferrable {
            self.deferrable += 1;
        }
        let address = self.servers[&permit.server].address;
        Slot {
            admission,
            permit,
            service: service.clone(),
            class: self.class,
            address,
            cancelled,
            started: now,
            ended: None,
        }
    }

    /// Records the outcome of an attempt; one that recorded none counts as cancelled.
    pub fn finish(&mut self, now: Duration, slot: &Slot) {
        if self.class == Class::Deferrable {
            self.deferrable = self.deferrable.saturating_sub(1);
        }
        let held = now.saturating_sub(slot.started);
        let (outcome, latency) = slot.ended.unwrap_or((Outcome::Cancelled, held));
        self.selector
            .finished(now, &slot.permit.server, latency, outcome);
        if outcome == Outcome::Answered {
            self.queue.record_service_time(self.class, held);
            self.hedge.record(now, latency);
        }
    }
}
