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
use super::{Admission, Avoid};
use crate::in_force::InForce;

/// Requests waiting for a slot of one service, and what is known about its servers.
pub(super) struct ServiceState {
    /// Class of its operations.
    pub class: Class,
    /// Waiting requests.
    pub queue: Queue<Waiter>,
    /// Choice of the server.
    pub selector: Selector,
    /// Servers of this domain.
    pub servers: BTreeMap<ServerId, ServerState>,
    /// Slots held by deferrable work.
    pub deferrable: u32,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Hedge delay.
    pub hedge: HedgeDelay,
}

/// What is known about one server.
pub(super) struct ServerState {
    /// Address.
    pub address: SocketAddr,
    /// Whether the configuration drains it.
    pub drained: bool,
    /// Whether the VM list says that it is leaving.
    pub listed_leaving: bool,
    /// What its health answer says.
    pub reported: State,
}

/// A request that waits for a slot.
pub(super) struct Waiter {
    /// Receives the slot or the refusal.
    pub tx: Sender<Result<Slot, Code>>,
    /// Servers that failed this request.
    pub avoid: Avoid,
}

impl ServerState {
    /// Returns whether it takes new work, from all that is known.
    pub fn effective(&self) -> State {
        if self.drained || self.listed_leaving {
            State::Leaving
        } else {
            self.reported
        }
    }
}

impl ServiceState {
    /// Creates the state of a service without servers.
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

    /// Takes over servers and drains of a configuration.
    pub fn adopt(&mut self, cfg: &InForce, service: &ServiceId, domain: &str) {
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
    pub fn slots(&self, now: Duration, ledger: &Ledger) -> Slots {
        let mut slots = Slots {
            deferrable: self.deferrable,
            ..Slots::default()
        };
        for (id, server) in &self.servers {
            let usage = ledger.usage(now, id);
            let in_use = usage.own_in_use + usage.borrowed_in_use;
            slots.in_use += in_use;
            if server.effective() == State::Ready {
                slots.total += in_use + usage.free();
            } else {
                slots.total += in_use;
            }
        }
        slots
    }

    /// Chooses a server for an attempt with this deadline.
    pub fn choose(
        &self,
        now: Duration,
        ledger: &Ledger,
        deadline: Duration,
        avoid: &Avoid,
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
        self.selector.choose(now, share, avoid, true, rng)
    }

    /// Records the start of an attempt.
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

    /// Records the end of an attempt.
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
