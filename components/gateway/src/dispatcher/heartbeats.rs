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
    COMPARISON, FAR_HEARTBEAT, NEAR_HEARTBEAT, QUIET_HEARTBEAT, RARE_HEARTBEAT, ROUND_TRIP_PERIOD,
};
use crate::message::Message;

/// Entry VMs of a region that speak to other regions although they keep no pool. Look-ups spread
/// the callers of a lost region over them and over the entry VMs that answer the look-ups.
const DELEGATES: usize = 4;
/// Descriptions of entry VMs in one datagram.
const INTRODUCED_AT_ONCE: usize = 16;

/// When the next messages of each kind are due.
#[derive(Debug, Default)]
pub(super) struct Due {
    near: Duration,
    far: Duration,
    /// To other regions, from an entry VM that does not speak for its own.
    rare: Duration,
    /// To entry VMs that have been silent for long.
    quiet: Duration,
    round_trip: Duration,
    comparison: Duration,
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
    pub fn tell(&mut self, now: Duration) {
        if is_due(&mut self.due.near, NEAR_HEARTBEAT, now) {
            self.notice_silence(now);
            self.tell_alive(now, |m, region, quiet| *m.region == *region && !quiet);
        }
        if is_due(&mut self.due.far, FAR_HEARTBEAT, now) {
            if self.members.others().next().is_none() {
                self.ask_seeds();
            }
            if self.speaks_for_region(now) {
                self.tell_alive(now, |m, region, quiet| *m.region != *region && !quiet);
            }
        }
        if is_due(&mut self.due.rare, RARE_HEARTBEAT, now) {
            self.tell_alive(now, |m, region, quiet| *m.region != *region && !quiet);
        }
        if is_due(&mut self.due.quiet, QUIET_HEARTBEAT, now) {
            let speaks = self.speaks_for_region(now);
            self.tell_alive(now, |m, region, quiet| {
                quiet && (speaks || *m.region == *region)
            });
        }
        if is_due(&mut self.due.round_trip, ROUND_TRIP_PERIOD, now) {
            self.measure_round_trips(now);
        }
        if is_due(&mut self.due.comparison, COMPARISON, now) {
            let members: Vec<SocketAddr> = self.members.seen().map(|m| m.peers).collect();
            if let Some(&to) = fastrand::choice(&members) {
                let digest = self.members.digest();
                self.send(to, Message::Compare(digest));
            }
        }
    }

    /// Tells all others that the state of this entry VM has changed.
    pub fn tell_change(&mut self, now: Duration) {
        self.tell_alive(now, |_, _, _| true);
    }

    fn notice_silence(&mut self, now: Duration) {
        let forgotten = self.members.expire(now);
        for member in &forgotten {
            log::info!("event=member_forgotten member={}", member.id);
        }
        self.forgotten.extend(forgotten);
        let isolated = self.members.is_isolated(now);
        for pool in self.pools.values_mut() {
            pool.set_isolated(isolated);
        }
        self.follow_keepers(now);
    }

    /// Tells whether this entry VM is one of those that other regions know.
    fn speaks_for_region(&self, now: Duration) -> bool {
        let own = &self.members.own;
        let services: Vec<&ServiceId> = self.pools.keys().collect();
        let keeps = |s: &ServiceId| {
            let keeper = self.members.pool_owner(s, &own.region, now);
            keeper.is_some_and(|k| k.id == own.id)
        };
        services.into_iter().any(keeps) || self.members.is_delegate(DELEGATES, now)
    }

    /// Sends a short heartbeat to members that `chosen` takes, by their description, the own region
    /// and whether they have been silent for long.
    fn tell_alive(&mut self, now: Duration, chosen: impl Fn(&Member, &str, bool) -> bool) {
        let own = &self.members.own;
        let alive = Message::Alive {
            incarnation: own.incarnation,
            state: own.state,
            informed: own.platform_connected,
        };
        let to: Vec<SocketAddr> = self
            .members
            .others()
            .filter(|m| chosen(m, &own.region, self.members.is_long_silent(&m.id, now)))
            .map(|m| m.peers)
            .collect();
        for address in to {
            self.send(address, alive.clone());
        }
    }

    fn ask_seeds(&mut self) {
        let own = self.members.own.peers;
        let digest = self.members.digest();
        for seed in self.seeds.clone() {
            if seed != own {
                self.describe(seed);
                self.send(seed, Message::Compare(digest));
            }
        }
    }

    /// Measures the round trip to one entry VM of each other region.
    fn measure_round_trips(&mut self, now: Duration) {
        let own = &self.members.own.region;
        let mut regions: Vec<_> = self.domains.values().filter(|r| *r != own).collect();
        regions.sort();
        regions.dedup();
        let serving = self.members.available(now);
        let chosen: Vec<SocketAddr> = regions
            .into_iter()
            .filter_map(|r| {
                let there: Vec<_> = serving.iter().filter(|m| m.region == *r).collect();
                fastrand::choice(there).map(|m| m.peers)
            })
            .collect();
        let sent_us = now.as_micros() as u64;
        for to in chosen {
            self.send(to, Message::Ping { sent_us });
        }
    }

    /// Sends the description of this entry VM.
    pub fn describe(&mut self, to: SocketAddr) {
        let own = self.members.own.clone();
        self.send(to, Message::Heartbeat(own));
    }

    /// Sends the descriptions of the members that this entry VM has heard.
    pub fn introduce(&mut self, to: SocketAddr) {
        let members: Vec<Member> = self.members.seen().cloned().collect();
        for some in members.chunks(INTRODUCED_AT_ONCE) {
            self.send(to, Message::Introduce(some.to_vec()));
        }
    }

    /// Handles a short heartbeat.
    pub fn receive_alive(
        &mut self,
        incarnation: Incarnation,
        state: MemberState,
        informed: bool,
        from: SocketAddr,
        now: Duration,
    ) {
        let Some(known) = self.members.by_incarnation(incarnation) else {
            return self.send(from, Message::Describe);
        };
        let member = Member {
            state,
            platform_connected: informed,
            ..known.clone()
        };
        self.receive_heartbeat(member, from, now);
    }

    /// Handles a whole description.
    pub fn receive_heartbeat(&mut self, member: Member, from: SocketAddr, now: Duration) {
        let known = self.members.get(&member.id).map(|m| m.incarnation);
        if let Some(old) = known.filter(|old| *old != member.incarnation) {
            self.askers.remove(&old);
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
            self.follow_keepers(now);
            if new {
                self.describe(from);
            } else {
                self.tell_alive(now, |m, _, _| m.id == id);
            }
        }
    }
}
