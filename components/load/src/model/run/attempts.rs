//! Attempts at servers.

use std::time::Duration;

use config::{Class, ServerId};
use limits::hedge::HedgeDelay;
use limits::queue::Refusal;
use routing::server::Outcome;

use super::{Attempt, Event, Request, State, World, draw};
use crate::model::scenario::Policy;
use crate::model::vm::Job;

impl World {
    /// Starts waiting attempts while there is a server for them.
    pub(super) fn pump(&mut self, vm: usize, service: usize) {
        loop {
            let desk = &mut self.vms[vm].desks[service];
            let slots = desk.slots(self.now);
            let Some(class) = desk.queue.next_class(slots) else {
                self.ask_for_slot(vm, service);
                return;
            };
            // Whichever request is next, the slot must cover its deadline.
            let latest = desk.queue.latest_deadline().unwrap_or_default();
            let chosen = desk.choose(self.now, class, latest, &[], &mut self.rng);
            let Some(server) = chosen else {
                self.ask_for_slot(vm, service);
                return;
            };
            let popped = desk.queue.pop(self.now, slots);
            // The start comes first: a refusal frees a connection, and the request that gets it
            // may take the slot.
            if let Some(entry) = popped.next {
                self.start_job(entry.item, class, &server);
            }
            for entry in popped.expired {
                self.drop_job(entry.item, Refusal::Expired);
            }
        }
    }

    pub(super) fn start_job(&mut self, job: Job, class: Class, server: &ServerId) {
        let Request {
            at: vm,
            pool: service,
            work,
            done,
            ..
        } = self.requests[job.request as usize];
        if done {
            self.drop_job(job, Refusal::Expired);
            return;
        }
        let deadline = self.requests[job.request as usize].arrived + self.scenario.deadline;
        let desk = &mut self.vms[vm].desks[service];
        let mut server = server.clone();
        let mut work = work;
        if job.hedge {
            let first = self.requests[job.request as usize].attempts[0];
            let avoid = desk.servers[self.attempts[first as usize].server].clone();
            let other = desk.choose(self.now, class, deadline, &[avoid], &mut self.rng);
            server = other.unwrap_or(server);
            work = draw(self.scenario.services[service].mean, &mut self.rng);
        } else {
            // Refused requests add nothing to the budget: servers never see them.
            desk.budget.record_request();
        }
        let permit = desk.ledger.acquire(self.now, &server, class, deadline);
        let permit = permit.expect("the chosen server has a free slot");
        desk.selector.started(self.now, &server);
        desk.deferrable += u32::from(class == Class::Deferrable);
        let index = desk.index(&server).expect("the server is configured");
        desk.breakers[index].started();
        let usual = desk.hedge.quantile();
        let attempt = self.start(job.request, index, work);
        self.vms[vm].permits.insert(attempt, permit);
        if let Some(usual) = usual {
            self.events.push(self.now + usual, Event::Late(attempt));
        }
    }

    pub(super) fn start(&mut self, request: u32, server: usize, work: Duration) -> u32 {
        let attempt = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            request,
            server,
            started: self.now,
            work,
            state: State::Sent,
        });
        let r = &mut self.requests[request as usize];
        r.attempts.push(attempt);
        if r.arrived >= self.scenario.warm_up {
            *self.stats.attempts.entry(r.service).or_default() += 1;
        }
        let at = self.now + self.scenario.delay;
        self.events.push(at, Event::AtServer(attempt));
        attempt
    }

    pub(super) fn late(&mut self, attempt: u32) {
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
            at: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let hedged = self.requests[request as usize].attempts.len() > 1;
        let desk = &mut self.vms[vm].desks[service];
        let id = &desk.servers[server];
        desk.selector
            .overdue(self.now, id, self.now.saturating_sub(started));
        if !hedged && HedgeDelay::try_take_token(class, &mut desk.budget) {
            let job = Job {
                request,
                hedge: true,
            };
            self.enqueue(job);
            self.pump(vm, service);
        }
    }

    pub(super) fn at_server(&mut self, attempt: u32) {
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
            self.stats.ran_twice += 1;
        }
        let time = a.work.mul_f64(slow.map_or(1.0, |s| s.factor));
        self.events.push(self.now + time, Event::Served(attempt));
    }

    pub(super) fn served(&mut self, attempt: u32) {
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
        self.events
            .push(self.now + self.scenario.delay, Event::Reply(attempt));
        self.free_slot(service, server);
    }

    pub(super) fn free_slot(&mut self, service: usize, server: usize) {
        while let Some(next) = self.servers[service][server].finish() {
            // A cancelled attempt that still waited gives its turn to the next one.
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

    pub(super) fn reply(&mut self, attempt: u32) {
        let Attempt { request, state, .. } = self.attempts[attempt as usize];
        if state == State::Ended || self.is_lost(self.requests[request as usize].pool) {
            return;
        }
        self.end_attempt(attempt, Outcome::Answered);
        let r = &mut self.requests[request as usize];
        r.done = true;
        let (vm, service) = (r.at, r.pool);
        for other in r.attempts.clone() {
            let state = self.attempts[other as usize].state;
            if state != State::Ended {
                self.end_attempt(other, Outcome::Cancelled);
                if state == State::InSlot {
                    self.events
                        .push(self.now + self.scenario.delay, Event::Cancel(other));
                }
            }
        }
        self.respond(request);
        if self.scenario.policy != Policy::Plain {
            self.pump(vm, service);
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
            at: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let class = self.class(request);
        let latency = self.now.saturating_sub(started);
        let Some(permit) = self.vms[vm].permits.remove(&attempt) else {
            return;
        };
        let desk = &mut self.vms[vm].desks[service];
        desk.ledger.release(&permit);
        desk.selector
            .finished(self.now, &permit.server, latency, outcome);
        desk.hedge.record(self.now, latency);
        desk.queue.record_service_time(class, latency);
        desk.breakers[server].finished(self.now, latency);
        desk.deferrable -= u32::from(class == Class::Deferrable);
    }
}
