//! Membership: how entry VMs discover each other and detect failures.
//!
//! Within a region, each entry VM sends heartbeats to all others. Between regions only a few entry
//! VMs represent their region, so that the traffic does not grow with the square of the number of
//! entry VMs: the pool owners, which receive forwarded requests, and some delegates, which look-ups
//! return to callers whose own region has no available entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use config::{Incarnation, ServiceId};
use dispatch::{Capacity, Member, MemberState};

use super::inner::Inner;
use super::timing::{
    DIGEST_INTERVAL, OTHER_REGION_HEARTBEAT_INTERVAL, OWN_REGION_HEARTBEAT_INTERVAL,
    RARE_HEARTBEAT_INTERVAL, ROUND_TRIP_INTERVAL, SILENT_MEMBER_HEARTBEAT_INTERVAL,
};
use crate::message::Message;

/// Number of entry VMs per region that send frequent heartbeats to other regions even if they own
/// no pool. If a region is lost, look-ups spread its callers over the delegates of the other
/// regions and the entry VMs of the region that answers the look-ups.
const DELEGATES_PER_REGION: usize = 4;
/// Number of entry VMs per region that ask the platform for changes often. With two, one may be cut
/// off from the platform or stop.
const WATCHERS_PER_REGION: usize = 2;
/// Number of times that a watcher announces a change to its region, since datagrams may be lost.
const ANNOUNCEMENTS_PER_CHANGE: u32 = 2;
/// Most member list entries in one datagram.
const MEMBERS_PER_DATAGRAM: usize = 16;

/// Times at which the next messages of each kind are due.
#[derive(Debug, Default)]
pub(super) struct DueTimes {
    own_region: Duration,
    other_regions: Duration,
    /// Heartbeats to other regions that every entry VM sends.
    other_regions_rare: Duration,
    /// Heartbeats to members that have been silent for a long time.
    silent_members: Duration,
    round_trip: Duration,
    digest: Duration,
}

/// Returns whether `due` has passed; if so, sets it to `period` from now.
fn is_due(due: &mut Duration, period: Duration, now: Duration) -> bool {
    if now < *due {
        return false;
    }
    *due = now + period;
    true
}

impl Inner {
    /// Sends the heartbeats, pings and digests that are due, and expires silent members.
    pub fn send_due_heartbeats(&mut self, now: Duration) {
        if is_due(&mut self.due.own_region, OWN_REGION_HEARTBEAT_INTERVAL, now) {
            self.expire_members(now);
            self.send_alive(now, |m, region, silent| *m.region == *region && !silent);
            self.send_last_changes(now);
            self.expire_cut_off_members(now);
            self.announce_cut_off();
            self.expire_leaving_members();
            self.announce_leaving(now, |m, region| *m.region == *region);
        }
        if is_due(
            &mut self.due.other_regions,
            OTHER_REGION_HEARTBEAT_INTERVAL,
            now,
        ) {
            if self.members.others().next().is_none() {
                self.contact_seeds();
            }
            if self.represents_region(now) {
                self.announce_leaving(now, |m, region| *m.region != *region);
                self.send_alive(now, |m, region, silent| *m.region != *region && !silent);
            }
        }
        if is_due(
            &mut self.due.other_regions_rare,
            RARE_HEARTBEAT_INTERVAL,
            now,
        ) {
            self.send_alive(now, |m, region, silent| *m.region != *region && !silent);
        }
        if is_due(
            &mut self.due.silent_members,
            SILENT_MEMBER_HEARTBEAT_INTERVAL,
            now,
        ) {
            let represents_region = self.represents_region(now);
            self.send_alive(now, |m, region, silent| {
                silent && (represents_region || *m.region == *region)
            });
        }
        if is_due(&mut self.due.round_trip, ROUND_TRIP_INTERVAL, now) {
            self.measure_round_trips(now);
        }
        if is_due(&mut self.due.digest, DIGEST_INTERVAL, now) {
            let members: Vec<SocketAddr> = self.members.seen().map(|m| m.peers).collect();
            if let Some(&to) = fastrand::choice(&members) {
                let digest = self.members.digest();
                self.send(to, Message::MemberDigest(digest));
            }
        }
    }

    /// Sends a heartbeat to all members at once, after a change of this entry VM's state.
    pub fn announce_state(&mut self, now: Duration) {
        self.send_alive(now, |_, _, _| true);
    }

    fn expire_members(&mut self, now: Duration) {
        let expired = self.members.expire(now);
        for member in &expired {
            log::info!("event=member_forgotten member={}", member.id);
        }
        self.expired_members.extend(expired);
        let isolated = self.members.is_isolated(now);
        for pool in self.pools.values_mut() {
            pool.set_isolated(isolated);
        }
        self.follow_pool_owners(now);
    }

    /// Whether this entry VM sends frequent heartbeats to other regions: it owns a pool or is a
    /// delegate.
    fn represents_region(&self, now: Duration) -> bool {
        let own = &self.members.own;
        let services: Vec<&ServiceId> = self.pools.keys().collect();
        let owns = |s: &ServiceId| {
            let owner = self.members.pool_owner(s, &own.region, now);
            owner.is_some_and(|o| o.id == own.id)
        };
        services.into_iter().any(owns) || self.members.is_delegate(DELEGATES_PER_REGION, now)
    }

    /// Sends a short heartbeat to the members for which `select` returns true, given the member,
    /// the own region, and whether the member has been silent for a long time.
    fn send_alive(&mut self, now: Duration, select: impl Fn(&Member, &str, bool) -> bool) {
        let own = &self.members.own;
        let alive = Message::Alive {
            incarnation: own.incarnation,
            state: own.state,
            platform_connected: own.platform_connected,
        };
        let to: Vec<SocketAddr> = self
            .members
            .others()
            .filter(|m| select(m, &own.region, self.members.is_long_silent(&m.id, now)))
            .map(|m| m.peers)
            .collect();
        for address in to {
            self.send(address, alive.clone());
        }
    }

    /// Whether this entry VM is among the first of its region, which are its watchers.
    pub fn is_watcher(&self, now: Duration) -> bool {
        self.members.is_delegate(WATCHERS_PER_REGION, now)
    }

    /// Whether no watcher of the region is connected to the platform.
    pub fn watchers_disconnected(&self, now: Duration) -> bool {
        let watchers = self.members.delegates(WATCHERS_PER_REGION, now);
        !watchers.is_empty() && watchers.iter().all(|m| !m.platform_connected)
    }

    /// Tells members of the region how far this entry VM has replicated the platform's tables: all
    /// of them if it is a watcher and has a new change, otherwise a random one. Members that are
    /// behind read from the sender, so changes spread even if the platform answers few entry VMs.
    fn send_last_changes(&mut self, now: Duration) {
        let own = &self.members.own;
        let members = self.members.seen().filter(|m| m.region == own.region);
        let mut members: Vec<SocketAddr> = members.map(|m| m.peers).collect();
        let announces = self.progress.take_announcement(ANNOUNCEMENTS_PER_CHANGE);
        if !(announces && self.is_watcher(now)) {
            members = fastrand::choice(members).into_iter().collect();
        }
        let changes = self.progress.last_changes();
        for to in members {
            self.send(to, Message::LastChanges(changes.clone()));
        }
    }

    fn contact_seeds(&mut self) {
        let own = self.members.own.peers;
        let digest = self.members.digest();
        for seed in self.seeds.clone() {
            if seed != own {
                self.send_heartbeat(seed);
                self.send(seed, Message::MemberDigest(digest));
            }
        }
    }

    /// Pings a random available entry VM in each other region, and tells it how far this one has
    /// replicated the platform's tables.
    fn measure_round_trips(&mut self, now: Duration) {
        let own = &self.members.own.region;
        let mut regions: Vec<_> = self.domains.values().filter(|r| *r != own).collect();
        regions.sort();
        regions.dedup();
        let available = self.members.available(now);
        let targets: Vec<SocketAddr> = regions
            .into_iter()
            .filter_map(|r| {
                let candidates: Vec<_> = available.iter().filter(|m| m.region == *r).collect();
                fastrand::choice(candidates).map(|m| m.peers)
            })
            .collect();
        let sent_us = now.as_micros() as u64;
        let changes = self.progress.last_changes();
        for to in targets {
            self.send(to, Message::Ping { sent_us });
            self.send(to, Message::LastChanges(changes.clone()));
        }
    }

    /// Sends a full heartbeat.
    pub fn send_heartbeat(&mut self, to: SocketAddr) {
        let own = self.members.own.clone();
        let capacities = self.capacities(std::slice::from_ref(&own));
        self.send(to, Message::Heartbeat(own));
        self.send(to, Message::Capacities(capacities));
    }

    /// Returns the known capacities of members.
    fn capacities(&self, members: &[Member]) -> Vec<(Incarnation, Capacity)> {
        let members = members.iter();
        members
            .filter_map(|m| Some((m.incarnation, self.members.capacity(&m.id)?)))
            .collect()
    }

    /// Records the capacities of other members, which may change the owners of pools.
    pub fn receive_capacities(&mut self, capacities: Vec<(Incarnation, Capacity)>, now: Duration) {
        let mut changed = false;
        for (incarnation, capacity) in capacities {
            changed |= self.members.record_capacity(incarnation, capacity);
        }
        if changed {
            self.follow_pool_owners(now);
        }
    }

    /// Sends the members that this entry VM has heard from.
    pub fn send_members(&mut self, to: SocketAddr) {
        let members: Vec<Member> = self.members.seen().cloned().collect();
        for chunk in members.chunks(MEMBERS_PER_DATAGRAM) {
            let capacities = self.capacities(chunk);
            self.send(to, Message::Members(chunk.to_vec()));
            self.send(to, Message::Capacities(capacities));
        }
    }

    /// Handles a short heartbeat; asks for a full one if the sender or its capacity is unknown.
    pub fn receive_alive(
        &mut self,
        incarnation: Incarnation,
        state: MemberState,
        platform_connected: bool,
        from: SocketAddr,
        now: Duration,
    ) {
        let Some(known) = self.members.by_incarnation(incarnation) else {
            return self.send(from, Message::RequestHeartbeat);
        };
        let capacity_known = self.members.capacity(&known.id).is_some();
        let member = Member {
            state,
            platform_connected,
            ..known.clone()
        };
        self.receive_heartbeat(member, from, now);
        if !capacity_known && self.members.capacity(&self.members.own.id).is_some() {
            self.send(from, Message::RequestHeartbeat);
        }
    }

    /// Handles a full heartbeat. If the sender is new or has changed its state, this entry VM
    /// answers with its own heartbeat.
    pub fn receive_heartbeat(&mut self, member: Member, from: SocketAddr, now: Duration) {
        let known = self.members.get(&member.id).map(|m| m.incarnation);
        if let Some(old) = known.filter(|old| *old != member.incarnation) {
            self.requester_addresses.remove(&old);
            for pool in self.pools.values_mut() {
                pool.remove_incarnation(old);
            }
        }
        let new = known != Some(member.incarnation);
        let Member {
            incarnation, state, ..
        } = member;
        let (id, region) = (member.id.clone(), member.region.clone());
        if self.members.record_heartbeat(member, now) {
            log::info!(
                "event=member_changed member={id} incarnation={incarnation:x} state={state:?} region={region}"
            );
            self.follow_pool_owners(now);
            if new {
                self.send_heartbeat(from);
            } else {
                self.send_alive(now, |m, _, _| m.id == id);
            }
        }
    }
}
