//! How entry VMs find each other and notice who is alive.
//!
//! In a region all tell all. Between regions a few speak for their region, so that the traffic
//! does not grow with the square of the number of entry VMs: those that keep pools, to which
//! requests are passed on, and some others, which look-ups name when a region has none left.

use std::net::SocketAddr;
use std::time::Duration;

use config::{Incarnation, ServiceId};
use dispatch::{Member, MemberState};

use super::inner::Inner;
use super::timing::{
    DIGEST_INTERVAL, OTHER_REGION_HEARTBEAT_INTERVAL, OWN_REGION_HEARTBEAT_INTERVAL,
    RARE_HEARTBEAT_INTERVAL, ROUND_TRIP_INTERVAL, SILENT_MEMBER_HEARTBEAT_INTERVAL,
};
use crate::message::Message;

/// Entry VMs of a region that speak to other regions although they keep no pool. Look-ups spread
/// the callers of a lost region over them and over the entry VMs that answer the look-ups.
const DELEGATES_PER_REGION: usize = 4;
/// Descriptions of entry VMs in one datagram.
const MEMBERS_PER_DATAGRAM: usize = 16;

/// When the next messages of each kind are due.
#[derive(Debug, Default)]
pub(super) struct DueTimes {
    own_region: Duration,
    other_regions: Duration,
    /// To other regions, from an entry VM that does not speak for its own.
    other_regions_rare: Duration,
    /// To entry VMs that have been silent for long.
    silent_members: Duration,
    round_trip: Duration,
    digest: Duration,
}

/// Returns whether `due` has come, and moves it on by `period`.
fn is_due(due: &mut Duration, period: Duration, now: Duration) -> bool {
    if now < *due {
        return false;
    }
    *due = now + period;
    true
}

impl Inner {
    /// Sends what is due.
    pub fn send_due_heartbeats(&mut self, now: Duration) {
        if is_due(&mut self.due.own_region, OWN_REGION_HEARTBEAT_INTERVAL, now) {
            self.expire_members(now);
            self.send_alive(now, |m, region, silent| *m.region == *region && !silent);
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

    /// Tells all others that the state of this entry VM has changed.
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

    /// Tells whether this entry VM is one of those that other regions know.
    fn represents_region(&self, now: Duration) -> bool {
        let own = &self.members.own;
        let services: Vec<&ServiceId> = self.pools.keys().collect();
        let owns = |s: &ServiceId| {
            let owner = self.members.pool_owner(s, &own.region, now);
            owner.is_some_and(|o| o.id == own.id)
        };
        services.into_iter().any(owns) || self.members.is_delegate(DELEGATES_PER_REGION, now)
    }

    /// Sends a short heartbeat to members that `chosen` takes, by their description, the own region
    /// and whether they have been silent for long.
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

    /// Measures the round trip to one entry VM of each other region.
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
        for to in targets {
            self.send(to, Message::Ping { sent_us });
        }
    }

    /// Sends the description of this entry VM.
    pub fn send_heartbeat(&mut self, to: SocketAddr) {
        let own = self.members.own.clone();
        self.send(to, Message::Heartbeat(own));
    }

    /// Sends the descriptions of the members that this entry VM has heard.
    pub fn send_members(&mut self, to: SocketAddr) {
        let members: Vec<Member> = self.members.seen().cloned().collect();
        for chunk in members.chunks(MEMBERS_PER_DATAGRAM) {
            self.send(to, Message::Members(chunk.to_vec()));
        }
    }

    /// Handles a short heartbeat.
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
        let member = Member {
            state,
            platform_connected,
            ..known.clone()
        };
        self.receive_heartbeat(member, from, now);
    }

    /// Handles a whole description.
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
