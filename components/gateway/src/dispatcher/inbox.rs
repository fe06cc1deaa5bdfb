//! Handling of messages from other entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use config::RegionId;
use dispatch::{AdmissionRequest, Decision, RequestId};

use super::inner::Inner;
use super::timing::DEFAULT_ROUND_TRIP;
use crate::message::{LastChange, Message};

impl Inner {
    pub fn receive(&mut self, message: Message, from: SocketAddr, now: Duration) {
        match message {
            Message::Heartbeat(member) => self.receive_heartbeat(member, from, now),
            Message::Alive {
                incarnation,
                state,
                platform_connected,
            } => self.receive_alive(incarnation, state, platform_connected, from, now),
            Message::RequestHeartbeat => self.send_heartbeat(from),
            Message::Ping { sent_us } => {
                let id = self.members.own.id.clone();
                self.send(from, Message::Echo { from: id, sent_us });
            }
            Message::Echo { from: id, sent_us } => self.receive_echo(&id, sent_us, now),
            Message::MemberDigest(digest) => {
                if digest != self.members.digest() {
                    self.send_members(from);
                }
            }
            Message::Members(members) => {
                for member in members {
                    self.add_member(member, now);
                }
            }
            Message::Admit(request) => self.receive_request(request, from, now),
            Message::Queued(id) => self.receive_confirmation(id, from, now),
            Message::Decided(id, decision) => {
                if id.0 == self.members.own.incarnation {
                    let sender = self.sender(from);
                    self.deliver_decision(id, decision, sender, now);
                }
            }
            Message::End {
                id,
                service,
                outcome,
                load,
            } => {
                self.send(from, Message::EndConfirmed(id));
                self.pool(&service).end(id, outcome, load, now);
                self.schedule(&service, now);
            }
            Message::EndConfirmed(id) => self.confirm_end(id),
            Message::Register {
                id,
                service,
                grant,
                remaining,
            } => {
                self.requester_addresses.insert(id.0, from);
                self.pool(&service).register(id, grant, remaining, now);
            }
            Message::Placement { service, placement } => {
                self.pool(&service).import_placement(placement, now);
            }
            Message::Capacities(capacities) => self.receive_capacities(capacities, now),
            Message::LastChanges(changes) => self.receive_last_changes(changes, from, now),
            Message::CutOff { incarnation } => self.receive_cut_off(incarnation, now),
            Message::Leaving {
                incarnation,
                remaining,
            } => self.receive_leaving(incarnation, remaining, now),
            Message::PoolSnapshots { region, pools, .. } => self.receive_pools(&region, pools, now),
        }
    }

    fn sender(&self, from: SocketAddr) -> Option<config::EntryVmId> {
        self.members
            .others()
            .find(|m| m.peers == from)
            .map(|m| m.id.clone())
    }

    /// Records the last changes that a known member has applied.
    fn receive_last_changes(&mut self, changes: Vec<LastChange>, from: SocketAddr, now: Duration) {
        if self.sender(from).is_some() {
            for change in changes {
                self.progress.record(change, from, now);
            }
        }
    }

    fn receive_echo(&mut self, id: &str, sent_us: u64, now: Duration) {
        let Some(region) = self.members.get(id).map(|m| m.region.clone()) else {
            return;
        };
        let measured = now.saturating_sub(Duration::from_micros(sent_us));
        let old = self.round_trips.get(&region).copied();
        let smoothed = old.map_or(measured, |o| (o * 7 + measured) / 8);
        self.round_trips.insert(region, smoothed);
    }

    fn receive_request(&mut self, request: AdmissionRequest, from: SocketAddr, now: Duration) {
        let id = request.id;
        let service = request.service.clone();
        self.requester_addresses.insert(id.0, from);
        let pool = self.pool(&service);
        if let Some(grant) = pool.active_grant(id).cloned() {
            self.send(from, Message::Decided(id, Decision::Grant(grant)));
            return;
        }
        pool.submit(request, now);
        self.schedule(&service, now);
        if self.pool(&service).is_queued(id) {
            self.send(from, Message::Queued(id));
        }
    }

    /// Records that the pool owner has queued a request. A confirmation of an earlier owner, or for
    /// an earlier process at this address, says nothing about the request.
    fn receive_confirmation(&mut self, id: RequestId, from: SocketAddr, now: Duration) {
        let sender = self.sender(from);
        let own = id.0 == self.members.own.incarnation;
        let pending = self.pending.get_mut(&id.1);
        if let Some(pending) = pending.filter(|p| own && p.owner == sender) {
            pending.acknowledge(now);
        }
    }

    fn receive_pools(
        &mut self,
        region: &RegionId,
        pools: Vec<(config::ServiceId, dispatch::PoolSnapshot)>,
        now: Duration,
    ) {
        let round_trip = self
            .round_trips
            .get(region)
            .copied()
            .unwrap_or(DEFAULT_ROUND_TRIP);
        for (service, snapshot) in pools {
            self.pool(&service)
                .update_remote(region.clone(), snapshot, round_trip, now);
        }
    }
}
