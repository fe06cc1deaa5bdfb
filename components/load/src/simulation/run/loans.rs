//! Loans of idle slots between the entry VMs of a domain.

use std::time::Duration;

use config::Class;
use limits::slots::{LoanRequest, Settings, Term};
use routing::server::Outcome;

use super::{Event, Simulation, State};

/// Minimum interval between two loan requests of an entry VM for one service.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// A message about loans between two entry VMs of a domain.
#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    /// Requests a loan of one slot of any server.
    Request { sent: Duration, term: Term },
    /// Grants a loan of slots of this server.
    Lent {
        server: usize,
        loan: u64,
        slots: u32,
        sent: Duration,
        term: Term,
    },
    /// Requests an extension of the loan's term.
    Extend { key: u64, loan: u64, sent: Duration },
    /// Confirms the extension.
    Extended { key: u64, sent: Duration },
    /// Returns the loan before its term ends.
    Returned { loan: u64 },
}

/// Sender, receiver and service index of a [`Message`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Route {
    pub from: usize,
    pub to: usize,
    pub pool: usize,
}

impl Route {
    fn back(self) -> Self {
        Route {
            from: self.to,
            to: self.from,
            ..self
        }
    }
}

impl Simulation {
    fn send(&mut self, route: Route, message: Message) {
        let at = self.now + self.scenario.local_delay;
        self.events.push(at, Event::PeerMessage(route, message));
    }

    /// Requests a loan from a random entry VM of the domain if attempts wait for a slot.
    pub(super) fn request_loan(&mut self, vm: usize, pool: usize) {
        let service_state = &mut self.vms[vm].services[pool];
        let due = service_state
            .requested_at
            .is_none_or(|at| self.now >= at + LOAN_REQUEST_INTERVAL);
        let peers = self.scenario.services[pool].vms.iter();
        let peers: Vec<usize> = peers.copied().filter(|peer| *peer != vm).collect();
        if !due || service_state.queue.is_empty() || peers.is_empty() {
            return;
        }
        service_state.requested_at = Some(self.now);
        let term = match (
            self.scenario.services[pool].class,
            service_state.queue.latest_deadline(),
        ) {
            (Class::Binding, Some(latest)) => {
                Settings::default().fixed_term(latest.saturating_sub(self.now))
            }
            _ => Term::Renewable,
        };
        let route = Route {
            from: vm,
            to: peers[self.rng.usize(..peers.len())],
            pool,
        };
        self.send(
            route,
            Message::Request {
                sent: self.now,
                term,
            },
        );
    }

    pub(super) fn peer_message(&mut self, route: Route, message: Message) {
        let (vm, pool) = (route.to, route.pool);
        if self.is_vm_lost(vm) {
            return;
        }
        let now = self.now;
        let service_state = &mut self.vms[vm].services[pool];
        match message {
            Message::Request { sent, term } => self.lend(route, sent, term),
            Message::Lent {
                server,
                loan,
                slots,
                sent,
                term,
            } => {
                let request = LoanRequest {
                    server: service_state.servers[server].clone(),
                    sent,
                    term,
                };
                let grant = limits::slots::Grant { loan, slots };
                if service_state.ledger.borrow(now, &request, grant).is_ok() {
                    let peer = (service_state.servers[server].clone(), loan);
                    service_state.lenders.insert(peer, route.from);
                    self.start_waiting(vm, pool);
                }
            }
            Message::Extend { key, loan, sent } => {
                if service_state.ledger.extend(now, loan).is_ok() {
                    self.send(route.back(), Message::Extended { key, sent });
                }
            }
            Message::Extended { key, sent } => {
                // The loan may have ended at the borrower in the meantime.
                let _ = service_state.ledger.record_extension(key, sent);
            }
            Message::Returned { loan } => {
                service_state.ledger.record_return(loan);
                self.start_waiting(vm, pool);
            }
        }
    }

    /// Lends one slot of the server with the most free slots, unless it is the last free slot of the
    /// VM or attempts are waiting.
    fn lend(&mut self, route: Route, sent: Duration, term: Term) {
        let now = self.now;
        let service_state = &mut self.vms[route.to].services[route.pool];
        let free = |s: &usize| {
            service_state
                .ledger
                .usage(now, &service_state.servers[*s])
                .free_own()
        };
        let open = |s: &usize| {
            !service_state
                .selector
                .is_suspended(&service_state.servers[*s])
        };
        let servers = 0..service_state.servers.len();
        let total: u32 = servers.clone().map(|s| free(&s)).sum();
        let best = servers.filter(open).max_by_key(free);
        let Some(server) = best.filter(|_| total > 1 && service_state.queue.is_empty()) else {
            return;
        };
        let id = service_state.servers[server].clone();
        if let Ok(grant) = service_state.ledger.lend(self.now, &id, 1, 0, term) {
            let message = Message::Lent {
                server,
                loan: grant.loan,
                slots: grant.slots,
                sent,
                term,
            };
            self.send(route.back(), message);
        }
    }

    /// Extends loans in use, returns idle ones, and cancels attempts whose loan has ended.
    pub(super) fn maintain_loans(&mut self, vm: usize, pool: usize) {
        let service_state = &mut self.vms[vm].services[pool];
        let late = service_state.ledger.tick(self.now);
        service_state.ledger.confirm(self.now);
        let renewals = service_state.ledger.renewals(self.now);
        let idle = service_state
            .ledger
            .return_idle(!service_state.queue.is_empty());
        for renewal in renewals {
            let lender = self.vms[vm].services[pool]
                .lenders
                .get(&(renewal.server, renewal.loan));
            if let Some(to) = lender.copied() {
                let message = Message::Extend {
                    key: renewal.key,
                    loan: renewal.loan,
                    sent: self.now,
                };
                self.send(Route { from: vm, to, pool }, message);
            }
        }
        for (server, loan) in idle {
            let lender = self.vms[vm].services[pool].lenders.remove(&(server, loan));
            if let Some(to) = lender {
                self.send(Route { from: vm, to, pool }, Message::Returned { loan });
            }
        }
        let permits = self.vms[vm].permits.iter();
        let late = permits.filter(|(_, permit)| late.contains(permit));
        let late: Vec<u32> = late.map(|(attempt, _)| *attempt).collect();
        for attempt in late {
            self.stats.ended_leases += 1;
            self.end_attempt(attempt, Outcome::Cancelled);
            self.events
                .push(self.now + self.scenario.local_delay, Event::Cancel(attempt));
            let request = self.attempts[attempt as usize].request;
            // A server ends binding work at its deadline, and a loan for binding work outlasts the
            // deadline. The server's response says that the deadline passed; it counts as late.
            if self.class(request) == Class::Binding {
                self.requests[request as usize].done = true;
                self.respond(request);
            } else {
                self.requeue(request);
            }
        }
    }

    /// Queues a request again if all of its attempts have ended without a response.
    fn requeue(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let mut attempts = r.attempts.iter().map(|a| &self.attempts[*a as usize]);
        if !r.done && attempts.all(|a| a.state == State::Ended) {
            self.enqueue_first(request);
        }
    }
}
