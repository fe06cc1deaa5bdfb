//! Entry VMs that are cut off from the servers: this one, and others that said so.

use std::net::SocketAddr;
use std::time::Duration;

use config::Incarnation;
use dispatch::{Member, MemberState, Pool};

use super::inner::Inner;
use crate::message::Message;

/// Time for which a message of a cut-off entry VM counts; four heartbeat intervals.
const CUT_OFF_LIFETIME: Duration = Duration::from_millis(850);

impl Inner {
    /// Records that a connection to a server was opened.
    pub fn record_server_contact(&mut self, now: Duration) {
        if let Some(since) = self.reachability.record_contact() {
            metrics::gauge!("gateway_cut_off").set(0.0);
            log::warn!(
                "event=cut_off_ended after_ms={}",
                now.saturating_sub(since).as_millis()
            );
        }
    }

    /// Records an attempt that did not reach its server.
    pub fn record_server_failure(&mut self, server: &str, now: Duration) {
        let servers = self.pools.values().flat_map(Pool::server_addresses);
        let in_use = servers.count();
        if !self.reachability.record_failure(server, in_use, now) {
            return;
        }
        metrics::gauge!("gateway_cut_off").set(1.0);
        log::warn!(
            "event=cut_off last_server={server} others_reaching={}",
            self.reaching_members(now).len()
        );
        self.announce_cut_off();
    }

    /// Tells the entry VMs of the region that this one is cut off, if it is.
    pub fn announce_cut_off(&mut self) {
        if !self.reachability.is_cut_off() {
            return;
        }
        let own = &self.members.own;
        let incarnation = own.incarnation;
        let others = self.members.seen().filter(|m| m.region == own.region);
        let others: Vec<SocketAddr> = others.map(|m| m.peers).collect();
        for to in others {
            self.send(to, Message::CutOff { incarnation });
        }
    }

    /// Records that another entry VM is cut off.
    pub fn receive_cut_off(&mut self, incarnation: Incarnation, now: Duration) {
        let Some(member) = self.members.by_incarnation(incarnation) else {
            return;
        };
        let id = member.id.clone();
        if self.cut_off_members.insert(incarnation, now).is_none() {
            log::info!("event=member_cut_off member={id}");
        }
    }

    /// Forgets cut-off entry VMs that have not said so again.
    pub fn expire_cut_off_members(&mut self, now: Duration) {
        let members = &self.members;
        self.cut_off_members.retain(|incarnation, at| {
            let cut_off = *at + CUT_OFF_LIFETIME > now;
            if !cut_off && let Some(member) = members.by_incarnation(*incarnation) {
                log::info!("event=member_cut_off_ended member={}", member.id);
            }
            cut_off
        });
    }

    /// Returns the available members that are not cut off, this one included.
    pub fn reaching_members(&self, now: Duration) -> Vec<&Member> {
        let mut available = self.members.available(now);
        available.retain(|m| self.reaches_servers(m));
        available
    }

    /// Whether a member is not cut off from the servers, as far as is known.
    pub fn reaches_servers(&self, member: &Member) -> bool {
        if member.incarnation == self.members.own.incarnation {
            return !self.reachability.is_cut_off();
        }
        !self.cut_off_members.contains_key(&member.incarnation)
    }

    /// Returns the peer address of another entry VM of the region that is not cut off, for a request
    /// that ends within `remaining`. The larger ones are drawn more often, in proportion to their
    /// processors; those that are leaving only if no other is left.
    pub fn draw_relay(&self, remaining: Duration, now: Duration) -> Option<SocketAddr> {
        let own = &self.members.own;
        let mut candidates = self.look_up_candidates(now);
        candidates.retain(|c| {
            let m = c.member;
            let takes = m.state == MemberState::Ready || c.time_left.is_some();
            let in_time = c.time_left.is_none_or(|left| left >= remaining);
            takes && in_time && c.reaches_servers && m.id != own.id && m.region == own.region
        });
        if candidates.iter().any(|c| c.time_left.is_none()) {
            candidates.retain(|c| c.time_left.is_none());
        }
        let candidates: Vec<&Member> = candidates.into_iter().map(|c| c.member).collect();
        let weight = |m: &Member| {
            let capacity = self.members.capacity(&m.id);
            u64::from(capacity.map_or(1, |c| c.millicores.max(1)))
        };
        let total: u64 = candidates.iter().map(|m| weight(m)).sum();
        let mut drawn = fastrand::u64(..total.max(1));
        let relay = candidates.iter().find(|m| {
            let found = drawn < weight(m);
            drawn = drawn.saturating_sub(weight(m));
            found
        });
        relay.map(|m| m.peers)
    }
}
