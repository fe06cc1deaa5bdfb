//! Entry VMs of the deployment, as heartbeats describe them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, EntryVmId, Incarnation, RegionId};
use serde::{Deserialize, Serialize};

/// Silence after which a member of the own region is not used; four heartbeats.
const NEAR_SILENCE: Duration = Duration::from_millis(850);
/// Silence after which a member of another region is not used; four heartbeats.
const FAR_SILENCE: Duration = Duration::from_millis(2300);
/// Silence after which a member gets few heartbeats; most members of other regions send one in 30
/// seconds.
const QUIET: Duration = Duration::from_secs(65);
/// Silence after which a member is forgotten. Longer than any usual partition, because two members
/// that have forgotten each other meet again only through a third one.
const FORGET: Duration = Duration::from_mins(10);

/// What an entry VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It waits for a configuration and a list of servers.
    Starting,
    /// It serves.
    Ready,
    /// It has been asked to stop.
    Leaving,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub id: EntryVmId,
    /// Drawn at each process start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other entry VMs send datagrams and requests.
    pub peers: SocketAddr,
    /// What it does.
    pub state: State,
    /// Whether it hears of changes from the platform.
    pub informed: bool,
}

/// All known entry VMs.
#[derive(Clone, Debug)]
pub struct Members {
    /// The entry VM itself.
    pub own: Member,
    others: BTreeMap<EntryVmId, Known>,
}

/// Another entry VM.
#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Last heartbeat; `None` before the first.
    heard: Option<Duration>,
    /// Last heartbeat, or when the member was added.
    since: Duration,
}

impl Members {
    /// Creates a list of one.
    pub fn new(own: Member) -> Self {
        Members {
            own,
            others: BTreeMap::new(),
        }
    }

    /// Adds an entry VM that has not been heard; returns whether it was unknown.
    pub fn add(&mut self, member: Member, now: Duration) -> bool {
        if member.id == self.own.id {
            return false;
        }
        let known = self.others.get(&member.id);
        if known.is_some_and(|k| k.heard.is_some() || k.member.incarnation == member.incarnation) {
            return false;
        }
        let known = Known {
            member,
            heard: None,
            since: now,
        };
        self.others.insert(known.member.id.clone(), known).is_none()
    }

    /// Records a heartbeat; returns whether the member is new, has changed or was silent.
    pub fn heard(&mut self, member: Member, now: Duration) -> bool {
        if member.id == self.own.id {
            return false;
        }
        let silence = self.silence(&member);
        let changed = self.others.get(&member.id).is_none_or(|old| {
            old.member != member || old.heard.is_none_or(|at| at + silence <= now)
        });
        let known = Known {
            heard: Some(now),
            since: now,
            member,
        };
        self.others.insert(known.member.id.clone(), known);
        changed
    }

    /// Time of silence after which a member is not used.
    fn silence(&self, member: &Member) -> Duration {
        if member.region == self.own.region {
            NEAR_SILENCE
        } else {
            FAR_SILENCE
        }
    }

    /// Forgets members that have been silent for long, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<Member> {
        let gone = |k: &Known| k.since + FORGET <= now;
        let forgotten = self.others.values().filter(|k| gone(k));
        let forgotten = forgotten.map(|k| k.member.clone()).collect();
        self.others.retain(|_, k| !gone(k));
        forgotten
    }

    /// Returns all other members, silent ones too.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|k| &k.member)
    }

    /// Returns the other members that have sent a heartbeat.
    pub fn met(&self) -> impl Iterator<Item = &Member> {
        self.others
            .values()
            .filter(|k| k.heard.is_some())
            .map(|k| &k.member)
    }

    /// Tells whether a member has been silent for so long that few heartbeats suffice to notice its
    /// return.
    pub fn quiet(&self, id: &str, now: Duration) -> bool {
        self.others.get(id).is_none_or(|k| k.since + QUIET <= now)
    }

    /// Returns a member, whatever its state.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.others.get(id).map(|k| &k.member)
    }

    /// Returns a member, whatever its state.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.others().find(|m| m.incarnation == incarnation)
    }

    /// Returns a digest of the members that have sent a heartbeat, and of this one.
    pub fn digest(&self) -> u64 {
        let all = self.met().chain(std::iter::once(&self.own));
        all.fold(0, |sum, m| sum ^ hash(&m.id, &m.incarnation.to_le_bytes()))
    }

    /// Tells whether this member is one of the `count` of its region that stand first in an order
    /// on which all agree.
    pub fn is_delegate(&self, count: usize, now: Duration) -> bool {
        let own = hash(&self.own.id, &[]);
        let before = |m: &&Member| m.region == self.own.region && hash(&m.id, &[]) > own;
        let serving = self.serving(now);
        self.own.state == State::Ready && serving.into_iter().filter(before).count() < count
    }

    /// Tells whether a member serves and has been heard lately.
    pub fn usable(&self, id: &str, now: Duration) -> bool {
        if id == &*self.own.id {
            return self.own.state == State::Ready;
        }
        self.others.get(id).is_some_and(|k| {
            let silence = self.silence(&k.member);
            k.member.state == State::Ready && k.heard.is_some_and(|at| at + silence > now)
        })
    }

    /// Returns the members of the own failure domain that are heard and do not leave, itself
    /// included, in an order on which all agree.
    pub fn domain_order(&self, purpose: &str, now: Duration) -> Vec<&Member> {
        let heard = |k: &&Known| {
            let silence = self.silence(&k.member);
            k.heard.is_some_and(|at| at + silence > now)
        };
        let others = self.others.values().filter(heard).map(|k| &k.member);
        let others = others.filter(|m| m.domain == self.own.domain && m.state != State::Leaving);
        let mut members: Vec<&Member> = others.chain(std::iter::once(&self.own)).collect();
        members.sort_by_key(|m| std::cmp::Reverse(hash(purpose, m.id.as_bytes())));
        members
    }

    /// Returns the members that serve, itself included.
    pub fn serving(&self, now: Duration) -> Vec<&Member> {
        self.others()
            .chain(std::iter::once(&self.own))
            .filter(|m| self.usable(&m.id, now))
            .collect()
    }

    /// Tells whether no other member of the own region answers although some are known.
    pub fn isolated(&self, now: Duration) -> bool {
        let mut near = self
            .others()
            .filter(|m| m.region == self.own.region)
            .peekable();
        near.peek().is_some() && !near.any(|m| self.usable(&m.id, now))
    }

    /// Returns the member of `region` that keeps the pool of `service`.
    ///
    /// All members that see the same serving members choose the same one.
    pub fn keeper(&self, service: &str, region: &str, now: Duration) -> Option<&Member> {
        // A member that does not hear of changes would choose servers that are leaving.
        self.serving(now)
            .into_iter()
            .filter(|m| &*m.region == region)
            .max_by_key(|m| (m.informed, hash(service, m.id.as_bytes())))
    }
}

fn hash(first: &str, second: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(first.as_bytes());
    hasher.update(&[0]);
    hasher.update(second);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
