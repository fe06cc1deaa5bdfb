//! Responses to clients, and refusals.

use config::Class;
use limits::queue::Refusal;

use super::{Event, Request, World};
use crate::model::link::{Next, Remainder};
use crate::model::scenario::Policy;

impl World {
    pub(super) fn respond(&mut self, request: u32) {
        let Request { vm, service, .. } = self.requests[request as usize];
        let model = &self.scenario.services[service];
        let response = Remainder {
            request,
            class: model.class,
            sent: 0,
            bytes: model.bytes,
        };
        let link = &mut self.vms[vm].link;
        if self.scenario.link == 0 {
            self.complete(request);
        } else if self.scenario.policy == Policy::Plain {
            let at = link.send(self.now, response.bytes);
            let sent = Remainder {
                sent: response.bytes,
                ..response
            };
            self.events.push(at, Event::Sent(sent));
        } else {
            link.offer(response);
            self.pump_link(vm);
        }
    }

    pub(super) fn sent(&mut self, response: Remainder) {
        if response.sent >= response.bytes {
            self.complete(response.request);
            return;
        }
        let vm = self.requests[response.request as usize].vm;
        self.vms[vm].link.offer(response);
        self.pump_link(vm);
    }

    pub(super) fn pump_link(&mut self, vm: usize) {
        let link = &mut self.vms[vm].link;
        loop {
            match link.next(self.now) {
                Next::Sent(at, response) => self.events.push(at, Event::Sent(response)),
                Next::At(at) => {
                    if link.asked_at.is_none_or(|asked| at < asked) {
                        link.asked_at = Some(at);
                        self.events.push(at, Event::Link(vm));
                    }
                    return;
                }
                Next::Idle => return,
            }
        }
    }

    pub(super) fn complete(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        if r.arrived >= self.scenario.warm_up {
            let key = (r.service, r.house.clone());
            let group = self.stats.groups.entry(key).or_default();
            let latency = self.now.saturating_sub(r.arrived);
            group.late += u64::from(latency > self.scenario.deadline);
            group.answered(latency);
        }
        self.open -= 1;
        self.release_connection(request);
    }

    pub(super) fn refuse(&mut self, request: u32, why: Refusal) {
        let r = &mut self.requests[request as usize];
        r.done = true;
        if r.arrived >= self.scenario.warm_up {
            let key = (r.service, r.house.clone());
            let group = self.stats.groups.entry(key).or_default();
            group.refused(why, self.scenario.deadline);
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
