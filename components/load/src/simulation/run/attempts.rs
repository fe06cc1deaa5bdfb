//! Attempts of requests at backend servers.

use std::time::Duration;

use config::{Class, ServerId};
use limits::hedge::HedgeDelay;
use limits::queue::Refusal;
use routing::server::Outcome;

use super::{Attempt, Event, Request, Simulation, State, draw_service_time};
use crate::simulation::scenario::Policy;
use crate::simulation::vm::QueuedAttempt;

impl Simulation {
    /// Starts waiting attempts while a server with a free slot can be chosen; otherwise requests a
    /// loan.
    pub(super) fn start_waiting(&mut self, vm: usize, service: usize) {
        loop {
            let service_state = &mut self.vms[vm].services[service];
            let slots = service_state.slots(self.now);
            let Some(class) = service_state.queue.next_class(slots) else {
                self.request_loan(vm, service);
                return;
            };
            // The server is chosen before the request is dequeued, so the slot must cover the latest
            // deadline in the queue.
            let latest = service_state.queue.latest_deadline().unwrap_or_default();
            let chosen = service_state.choose(self.now, class, latest, &[], &mut self.rng);
            let Some(server) = chosen else {
                self.request_loan(vm, service);
                return;
            };
            let popped = service_state.queue.pop(self.now, slots);
            // The attempt starts before expired ones are dropped: each refusal frees a connection,
            // and the request that gets the connection could take the slot.
            if let Some(entry) = popped.next {
                self.start_queued(entry.item, class, &server);
            }
            for entry in popped.expired {
                self.drop_queued(entry.item, Refusal::Expired);
            }
        }
    }

    pub(super) fn start_queued(&mut self, queued: QueuedAttempt, class: Class, server: &ServerId) {
        let Request {
            pool_vm: vm,
            pool: service,
            service_time,
            done,
            ..
        } = self.requests[queued.request as usize];
        if done {
            self.drop_queued(queued, Refusal::Expired);
            return;
        }
        let deadline = self.requests[queued.request as usize].arrived + self.scenario.deadline;
        let service_state = &mut self.vms[vm].services[service];
        let mut server = server.clone();
        let mut service_time = service_time;
        if queued.hedge {
            let first = self.requests[queued.request as usize].attempts[0];
            let avoid = service_state.servers[self.attempts[first as usize].server].clone();
            let other = service_state.choose(self.now, class, deadline, &[avoid], &mut self.rng);
            server = other.unwrap_or(server);
            service_time = draw_service_time(
                self.scenario.services[service].mean_service_time,
                &mut self.rng,
            );
        } else {
            // Only requests that are sent to a server add to the retry budget.
            service_state.budget.record_request();
        }
        let permit = service_state
            .ledger
            .acquire(self.now, &server, class, deadline);
        let permit = permit.expect("the chosen server has a free slot");
        service_state.selector.started(self.now, &server);
        service_state.deferrable += u32::from(class == Class::Deferrable);
        let index = service_state
            .index(&server)
            .expect("the server is configured");
        service_state.breakers[index].started();
        let usual = service_state.hedge.quantile();
        let attempt = self.send_attempt(queued.request, index, service_time);
        self.vms[vm].permits.insert(attempt, permit);
        if let Some(usual) = usual {
            self.events.push(self.now + usual, Event::Overdue(attempt));
        }
    }

    pub(super) fn send_attempt(
        &mut self,
        request: u32,
        server: usize,
        service_time: Duration,
    ) -> u32 {
        let attempt = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            request,
            server,
            started: self.now,
            service_time,
            state: State::Sent,
        });
        let r = &mut self.requests[request as usize];
        r.attempts.push(attempt);
        if r.arrived >= self.scenario.warm_up {
            *self.stats.attempts.entry(r.service).or_default() += 1;
        }
        let at = self.now + self.scenario.local_delay;
        self.events.push(at, Event::ServerArrival(attempt));
        attempt
    }

    pub(super) fn handle_overdue(&mut self, attempt: u32) {
        let Attempt {
            request,
            server,
            started,
            state,
            ..
        } = self.attempts[attempt as usize];
        if state == State::Ended || self.is_lost(self.requests[request as usize].pool) {
            return;
        }
        let class = self.class(request);
        let Request {
            pool_vm: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let hedged = self.requests[request as usize].attempts.len() > 1;
        let service_state = &mut self.vms[vm].services[service];
        let id = &service_state.servers[server];
        service_state
            .selector
            .overdue(self.now, id, self.now.saturating_sub(started));
        if !hedged && HedgeDelay::try_take_token(class, &mut service_state.budget) {
            let queued = QueuedAttempt {
                request,
                hedge: true,
            };
            self.enqueue(queued);
            self.start_waiting(vm, service);
        }
    }

    pub(super) fn arrive_at_server(&mut self, attempt: u32) {
        let Attempt {
            request,
            server,
            state,
            ..
        } = self.attempts[attempt as usize];
        let service = self.requests[request as usize].pool;
        if self.is_lost(service) {
            return;
        }
        if state == State::Sent && self.servers[service][server].arrive(attempt) {
            self.serve(service, server, attempt);
        }
    }

    pub(super) fn serve(&mut self, service: usize, server: usize, attempt: u32) {
        let slow = self.scenario.slowdowns.iter().find(|s| {
            let affected = s.service == service && s.servers.contains(&server);
            affected && (s.from..s.until).contains(&self.now)
        });
        let a = &mut self.attempts[attempt as usize];
        a.state = State::InSlot;
        let r = &mut self.requests[a.request as usize];
        r.starts += 1;
        if r.starts > 1 && self.scenario.services[service].class == Class::Binding {
            self.stats.run_twice += 1;
        }
        let time = a.service_time.mul_f64(slow.map_or(1.0, |s| s.factor));
        self.events
            .push(self.now + time, Event::ServerFinished(attempt));
    }

    pub(super) fn finish_at_server(&mut self, attempt: u32) {
        let Attempt {
            request,
            server,
            state,
            ..
        } = self.attempts[attempt as usize];
        let service = self.requests[request as usize].pool;
        if state != State::InSlot || self.is_lost(service) {
            return;
        }
        self.attempts[attempt as usize].state = State::Sent;
        self.events.push(
            self.now + self.scenario.local_delay,
            Event::Response(attempt),
        );
        self.free_slot(service, server);
    }

    pub(super) fn free_slot(&mut self, service: usize, server: usize) {
        while let Some(next) = self.servers[service][server].finish() {
            // Skips attempts that were cancelled while they waited for the slot.
            if self.attempts[next as usize].state != State::Ended {
                self.serve(service, server, next);
                return;
            }
        }
    }

    pub(super) fn cancel_at_server(&mut self, attempt: u32) {
        let Attempt {
            request, server, ..
        } = self.attempts[attempt as usize];
        let service = self.requests[request as usize].pool;
        self.free_slot(service, server);
    }

    pub(super) fn receive_response(&mut self, attempt: u32) {
        let Attempt { request, state, .. } = self.attempts[attempt as usize];
        if state == State::Ended || self.is_lost(self.requests[request as usize].pool) {
            return;
        }
        self.end_attempt(attempt, Outcome::Answered);
        let r = &mut self.requests[request as usize];
        r.done = true;
        let (vm, service) = (r.pool_vm, r.pool);
        for other in r.attempts.clone() {
            let state = self.attempts[other as usize].state;
            if state != State::Ended {
                self.end_attempt(other, Outcome::Cancelled);
                if state == State::InSlot {
                    self.events
                        .push(self.now + self.scenario.local_delay, Event::Cancel(other));
                }
            }
        }
        self.respond(request);
        if self.scenario.policy != Policy::RoundRobin {
            self.start_waiting(vm, service);
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let Attempt {
            request,
            server,
            started,
            ..
        } = self.attempts[attempt as usize];
        self.attempts[attempt as usize].state = State::Ended;
        let Request {
            pool_vm: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let class = self.class(request);
        let latency = self.now.saturating_sub(started);
        let Some(permit) = self.vms[vm].permits.remove(&attempt) else {
            return;
        };
        let service_state = &mut self.vms[vm].services[service];
        service_state.ledger.release(&permit);
        service_state
            .selector
            .finished(self.now, &permit.server, latency, outcome);
        service_state.hedge.record(self.now, latency);
        service_state.queue.record_service_time(class, latency);
        service_state.breakers[server].finished(self.now, latency);
        service_state.deferrable -= u32::from(class == Class::Deferrable);
    }
}
