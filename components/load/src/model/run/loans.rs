//! Loans of idle slots between the entry VMs of a domain.

use std::time::Duration;

use config::Class;
use limits::slots::{LoanRequest, Settings, Term};
use routing::server::Outcome;

use super::{Event, State, World};

/// Shortest time between two loan requests of an entry VM for one service.
const ASK_INTERVAL: Duration = Duration::from_millis(5);

/// A message between two entry VMs of a domain.
#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    /// Asks for a slot of any server.
    Ask { sent: Duration, term: Term },
    /// A slot of this server is lent.
    Lent {
        server: usize,
        loan: u64,
        slots: u32,
        sent: Duration,
        term: Term,
    },
    /// Asks for a longer term.
    Extend { key: u64, loan: u64, sent: Duration },
    /// The term is longer.
    Extended { key: u64, sent: Duration },
    /// The loan is not needed any more.
    Returned { loan: u64 },
}

/// Sender, receiver and service of a [`Message`].
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

impl World {
    fn send(&mut self, route: Route, message: Message) {
        let at = self.now + self.scenario.delay;
        self.events.push(at, Event::Peer(route, message));
    }

    /// Asks another entry VM for a slot if requests wait.
    pub(super) fn ask_for_slot(&mut self, vm: usize, pool: usize) {
        let desk = &mut self.vms[vm].desks[pool];
        let due = desk.asked.is_none_or(|at| self.now >= at + ASK_INTERVAL);
        let peers = self.scenario.services[pool].vms.iter();
        let peers: Vec<usize> = peers.copied().filter(|peer| *peer != vm).collect();
        if !due || desk.queue.is_empty() || peers.is_empty() {
            return;
        }
        desk.asked = Some(self.now);
        let term = match (
            self.scenario.services[pool].class,
            desk.queue.latest_deadline(),
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
            Message::Ask {
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
        let desk = &mut self.vms[vm].desks[pool];
        match message {
            Message::Ask { sent, term } => self.lend(route, sent, term),
            Message::Lent {
                server,
                loan,
                slots,
                sent,
                term,
            } => {
                let request = LoanRequest {
                    server: desk.servers[server].clone(),
                    sent,
                    term,
                };
                let grant = limits::slots::Grant { loan, slots };
                if desk.ledger.borrow(now, &request, grant).is_ok() {
                    let peer = (desk.servers[server].clone(), loan);
                    desk.lenders.insert(peer, route.from);
                    self.pump(vm, pool);
                }
            }
            Message::Extend { key, loan, sent } => {
                if desk.ledger.extend(now, loan).is_ok() {
                    self.send(route.back(), Message::Extended { key, sent });
                }
            }
            Message::Extended { key, sent } => {
                // The loan may have ended at this side meanwhile.
                let _ = desk.ledger.record_extension(key, sent);
            }
            Message::Returned { loan } => {
                desk.ledger.record_return(loan);
                self.pump(vm, pool);
            }
        }
    }

    /// Lends a slot of the server with the most free ones, but not the last free slot.
    fn lend(&mut self, route: Route, sent: Duration, term: Term) {
        let now = self.now;
        let desk = &mut self.vms[route.to].desks[route.pool];
        let free = |s: &usize| desk.ledger.usage(now, &desk.servers[*s]).free_own();
        let open = |s: &usize| !desk.selector.is_suspended(&desk.servers[*s]);
        let servers = 0..desk.servers.len();
        let total: u32 = servers.clone().map(|s| free(&s)).sum();
        let best = servers.filter(open).max_by_key(free);
        let Some(server) = best.filter(|_| total > 1 && desk.queue.is_empty()) else {
            return;
        };
        let id = desk.servers[server].clone();
        if let Ok(grant) = desk.ledger.lend(self.now, &id, 1, 0, term) {
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

    /// Extends loans in use, returns idle ones, and cancels what runs on ended ones.
    pub(super) fn tend_loans(&mut self, vm: usize, pool: usize) {
        let desk = &mut self.vms[vm].desks[pool];
        let late = desk.ledger.tick(self.now);
        desk.ledger.confirm(self.now);
        let renewals = desk.ledger.renewals(self.now);
        let idle = desk.ledger.return_idle(!desk.queue.is_empty());
        for renewal in renewals {
            let lender = self.vms[vm].desks[pool]
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
            let lender = self.vms[vm].desks[pool].lenders.remove(&(server, loan));
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
                .push(self.now + self.scenario.delay, Event::Cancel(attempt));
            let request = self.attempts[attempt as usize].request;
            // The server ends binding work at its deadline, which has passed when the loan ends;
            // the response says so, and counts as late.
            if self.class(request) == Class::Binding {
                self.requests[request as usize].done = true;
                self.respond(request);
            } else {
                self.run_again(request);
            }
        }
    }

    /// Queues a request again if its last attempt was cancelled.
    fn run_again(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let mut attempts = r.attempts.iter().map(|a| &self.attempts[*a as usize]);
        if !r.done && attempts.all(|a| a.state == State::Ended) {
            self.enqueue_first(request);
        }
    }
}
