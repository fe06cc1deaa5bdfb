//! Responses to clients, and refusals.

use std::time::Duration;

use config::Class;
use limits::queue::Refusal;

use super::{Event, Request, World};
use crate::model::link::{Next, Remainder};
use crate::model::scenario::Policy;
use crate::model::stats::Group;

impl World {
    /// Sends the response to the client, or to the entry VM that relayed the request.
    pub(super) fn respond(&mut self, request: u32) {
        let Request { vm, at, pool, .. } = self.requests[request as usize];
        let model = &self.scenario.services[pool];
        let regions = self.scenario.regions.as_ref();
        let origin = regions.map_or(0, |regions| {
            regions.of[self.requests[request as usize].service]
        });
        let crosses = regions.is_some_and(|regions| regions.of[pool] != origin);
        let response = Remainder {
            request,
            class: model.class,
            from: at,
            to: if crosses { origin + 1 } else { 0 },
            sent: 0,
            bytes: model.bytes,
        };
        if !crosses && (self.scenario.link == 0 || at != vm) {
            self.deliver(request);
        } else if self.scenario.policy == Policy::Plain {
            let sent = Remainder {
                sent: response.bytes,
                ..response
            };
            let at = self.vms[at].links[response.to].send(self.now, response.bytes);
            self.events.push(at, Event::Sent(sent));
        } else {
            self.vms[at].links[response.to].offer(response);
            self.pump_link(at, response.to);
        }
    }

    pub(super) fn sent(&mut self, response: Remainder) {
        if self.is_vm_lost(response.from) {
            return;
        }
        if response.sent >= response.bytes {
            self.deliver(response.request);
            return;
        }
        self.vms[response.from].links[response.to].offer(response);
        self.pump_link(response.from, response.to);
    }

    pub(super) fn pump_link(&mut self, vm: usize, to: usize) {
        loop {
            let link = &mut self.vms[vm].links[to];
            match link.next(self.now) {
                Next::Sent(at, response, bytes) => {
                    self.events.push(at, Event::Sent(response));
                    self.count_link(vm, to, bytes);
                }
                Next::At(at) => {
                    if link.asked_at.is_none_or(|asked| at < asked) {
                        link.asked_at = Some(at);
                        self.events.push(at, Event::Link(vm, to));
                    }
                    return;
                }
                Next::Idle => return,
            }
        }
    }

    /// The last byte has left the entry VM at the server.
    fn deliver(&mut self, request: u32) {
        let Request { vm, at, .. } = self.requests[request as usize];
        if vm == at {
            self.complete(request);
        } else {
            let delay = self.delay_between(vm, at);
            self.events.push(self.now + delay, Event::Relayed(request));
        }
    }

    pub(super) fn complete(&mut self, request: u32) {
        let (now, deadline) = (self.now, self.scenario.deadline);
        self.end_request(request, |group, arrived| {
            let latency = now.saturating_sub(arrived);
            group.late += u64::from(latency > deadline);
            group.answered(latency);
        });
        self.release_connection(request);
    }

    pub(super) fn refuse(&mut self, request: u32, why: Refusal) {
        let deadline = self.scenario.deadline;
        let pools = self.servers.iter().enumerate();
        let mut live = pools.filter(|(pool, _)| !self.is_lost(*pool));
        let free = live.any(|(_, pool)| pool.iter().any(|s| s.busy < s.slots));
        self.stats.refused_despite_slots += u64::from(free);
        self.end_request(request, |group, _| group.refused(why, deadline));
    }

    /// The caller does not learn whether the request ran.
    pub(super) fn end_unknown(&mut self, request: u32) {
        let deadline = self.scenario.deadline;
        self.end_request(request, |group, _| {
            group.unknown += 1;
            group.answered(deadline);
        });
    }

    fn end_request(&mut self, request: u32, record: impl FnOnce(&mut Group, Duration)) {
        let r = &mut self.requests[request as usize];
        r.done = true;
        r.ended = true;
        if r.arrived >= self.scenario.warm_up {
            let phases = self.scenario.phases.iter();
            let phase = phases.filter(|start| **start <= r.arrived).count();
            let key = (r.home, r.house.clone(), phase);
            record(self.stats.groups.entry(key).or_default(), r.arrived);
        }
        self.open -= 1;
    }

    pub(super) fn release_connection(&mut self, request: u32) {
        if self.scenario.connections == u32::MAX {
            return;
        }
        let class = self.class(request);
        let deferrable = u32::from(class == Class::Deferrable);
        let r = &self.requests[request as usize];
        let (vm, held) = (r.vm, self.now.saturating_sub(r.connected));
        let connections = &mut self.vms[vm].connections;
        connections.in_use -= 1;
        connections.deferrable -= deferrable;
        self.vms[vm].queue.record_service_time(class, held);
        self.pump_connections(vm);
    }
}
