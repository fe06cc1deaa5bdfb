//! Entry VMs that are leaving but still take requests: this one, and others that said so.

use std::net::SocketAddr;
use std::time::Duration;

use config::Incarnation;
use dispatch::{Candidate, Member, MemberState};

use super::inner::Inner;
use crate::message::Message;

impl Inner {
    /// Starts the graceful stop: requests are taken if their deadlines pass before `until`.
    pub fn leave(&mut self, until: Duration, now: Duration) {
        self.leaving_until = Some(until);
        // The state goes out after the time, so that no receiver knows the one without the other.
        self.announce_leaving(now, |_, _| true);
        self.set_state(MemberState::Leaving, now);
    }

    /// Tells members that this entry VM is leaving, if it is: those for which `select` returns true,
    /// given the member and the own region.
    pub fn announce_leaving(&mut self, now: Duration, select: impl Fn(&Member, &str) -> bool) {
        let Some(until) = self.leaving_until else {
            return;
        };
        let own = &self.members.own;
        let (incarnation, remaining) = (own.incarnation, until.saturating_sub(now));
        let selected = self.members.seen().filter(|m| select(m, &own.region));
        let to: Vec<SocketAddr> = selected.map(|m| m.peers).collect();
        for address in to {
            self.send(
                address,
                Message::Leaving {
                    incarnation,
                    remaining,
                },
            );
        }
    }

    /// Records for how long another entry VM takes requests before it leaves. Messages that arrive late
    /// give it too much time, so the earliest end counts.
    pub fn receive_leaving(
        &mut self,
        incarnation: Incarnation,
        remaining: Duration,
        now: Duration,
    ) {
        let Some(member) = self.members.by_incarnation(incarnation) else {
            return;
        };
        let id = member.id.clone();
        let until = now.saturating_add(remaining);
        if let Some(known) = self.leaving_members.get_mut(&incarnation) {
            *known = until.min(*known);
            return;
        }
        self.leaving_members.insert(incarnation, until);
        let remaining_ms = remaining.as_millis();
        log::info!("event=member_leaving member={id} takes_requests_ms={remaining_ms}");
    }

    /// Forgets the entry VMs that have left.
    pub fn expire_leaving_members(&mut self) {
        let members = &self.members;
        self.leaving_members
            .retain(|incarnation, _| members.by_incarnation(*incarnation).is_some());
    }

    /// Returns for how long a member takes requests before it leaves; `None` if it does not leave.
    fn time_left(&self, member: &Member, now: Duration) -> Option<Duration> {
        let until = if member.incarnation == self.members.own.incarnation {
            self.leaving_until
        } else {
            self.leaving_members.get(&member.incarnation).copied()
        };
        // Versions without the message announce the state only.
        let unknown = (member.state == MemberState::Leaving).then_some(Duration::ZERO);
        until.map(|until| until.saturating_sub(now)).or(unknown)
    }

    /// Returns the members that are alive, with what decides whether a look-up names them.
    pub fn look_up_candidates(&self, now: Duration) -> Vec<Candidate<'_>> {
        let candidate = |member| Candidate {
            member,
            reaches_servers: self.reaches_servers(member),
            time_left: self.time_left(member, now),
        };
        self.members.alive(now).map(candidate).collect()
    }
}
