//! Responses to callers, and refusals.

use std::time::Duration;

use config::Class;
use limits::queue::Refusal;

use super::{Event, Request, Simulation};
use crate::simulation::link::{LinkAction, PendingResponse};
use crate::simulation::scenario::Policy;
use crate::simulation::stats::RequestStats;

impl Simulation {
    /// Sends the response to the caller, or to the entry VM that relayed the request.
    pub(super) fn respond(&mut self, request: u32) {
        let Request {
            vm, pool_vm, pool, ..
        } = self.requests[request as usize];
        let model = &self.scenario.services[pool];
        let regions = self.scenario.regions.as_ref();
        let origin = regions.map_or(0, |regions| {
            regions.of_domain[self.requests[request as usize].service]
        });
        let crosses = regions.is_some_and(|regions| regions.of_domain[pool] != origin);
        let response = PendingResponse {
            request,
            class: model.class,
            from: pool_vm,
            to: if crosses { origin + 1 } else { 0 },
            sent: 0,
            bytes: model.response_bytes,
        };
        if !crosses && (self.scenario.client_bytes_per_second == 0 || pool_vm != vm) {
            self.deliver(request);
        } else if self.scenario.policy == Policy::RoundRobin {
            let sent = PendingResponse {
                sent: response.bytes,
                ..response
            };
            let at = self.vms[pool_vm].links[response.to].send(self.now, response.bytes);
            self.events.push(at, Event::ChunkSent(sent));
        } else {
            self.vms[pool_vm].links[response.to].offer(response);
            self.poll_link(pool_vm, response.to);
        }
    }

    pub(super) fn chunk_sent(&mut self, response: PendingResponse) {
        if self.is_vm_lost(response.from) {
            return;
        }
        if response.sent >= response.bytes {
            self.deliver(response.request);
            return;
        }
        self.vms[response.from].links[response.to].offer(response);
        self.poll_link(response.from, response.to);
    }

    pub(super) fn poll_link(&mut self, vm: usize, to: usize) {
        loop {
            let link = &mut self.vms[vm].links[to];
            match link.poll(self.now) {
                LinkAction::Sent(at, response, bytes) => {
                    self.events.push(at, Event::ChunkSent(response));
                    self.count_link(vm, to, bytes);
                }
                LinkAction::WaitUntil(at) => {
                    if link.wake_at.is_none_or(|requested_at| at < requested_at) {
                        link.wake_at = Some(at);
                        self.events.push(at, Event::LinkReady(vm, to));
                    }
                    return;
                }
                LinkAction::Idle => return,
            }
        }
    }

    /// Handles the last byte of a response leaving the entry VM that received it from the server.
    fn deliver(&mut self, request: u32) {
        let Request { vm, pool_vm, .. } = self.requests[request as usize];
        if vm == pool_vm {
            self.complete(request);
        } else {
            let delay = self.delay_between(vm, pool_vm);
            self.events
                .push(self.now + delay, Event::RelayResponse(request));
        }
    }

    pub(super) fn complete(&mut self, request: u32) {
        let (now, deadline) = (self.now, self.scenario.deadline);
        self.end_request(request, |group, arrived| {
            let latency = now.saturating_sub(arrived);
            group.late += u64::from(latency > deadline);
            group.record_response(latency);
        });
        self.release_connection(request);
    }

    pub(super) fn refuse(&mut self, request: u32, why: Refusal) {
        let deadline = self.scenario.deadline;
        let pools = self.servers.iter().enumerate();
        let mut live = pools.filter(|(pool, _)| !self.is_lost(*pool));
        let free = live.any(|(_, pool)| pool.iter().any(|s| s.busy < s.slots));
        self.stats.refused_despite_slots += u64::from(free);
        self.end_request(request, |group, _| group.record_refusal(why, deadline));
    }

    /// Ends a request whose caller does not learn whether it ran.
    pub(super) fn end_unknown(&mut self, request: u32) {
        let deadline = self.scenario.deadline;
        self.end_request(request, |group, _| {
            group.unknown += 1;
            group.record_response(deadline);
        });
    }

    fn end_request(&mut self, request: u32, record: impl FnOnce(&mut RequestStats, Duration)) {
        let r = &mut self.requests[request as usize];
        r.done = true;
        r.ended = true;
        if r.arrived >= self.scenario.warm_up {
            let phases = self.scenario.phases.iter();
            let phase = phases.filter(|start| **start <= r.arrived).count();
            let key = (r.home, r.house.clone(), phase);
            record(self.stats.groups.entry(key).or_default(), r.arrived);
        }
        self.open_requests -= 1;
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
        self.assign_connections(vm);
    }
}
