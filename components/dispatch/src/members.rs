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
    own_hash: u64,
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
    /// Hash of the name.
    hash: u64,
}

impl Known {
    fn new(member: Member, heard: Option<Duration>, since: Duration) -> Self {
        Known {
            hash: hash(&member.id),
            member,
            heard,
            since,
        }
    }
}

impl Members {
    /// Creates a list of one.
    pub fn new(own: Member) -> Self {
        Members {
            own_hash: hash(&own.id),
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
        let known = Known::new(member, None, now);
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
        let known = Known::new(member, Some(now), now);
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
        all.fold(0, |sum, m| sum ^ mix(hash(&m.id), m.incarnation))
    }

    /// Tells whether this member is one of the `count` of its region that stand first in an order
    /// on which all agree.
    pub fn is_delegate(&self, count: usize, now: Duration) -> bool {
        let own = self.own_hash;
        let before = self.serving_others(now).filter(|k| k.hash > own);
        let before = before.filter(|k| k.member.region == self.own.region);
        self.own.state == State::Ready && before.count() < count
    }

    /// Tells whether a member serves and has been heard lately.
    pub fn usable(&self, id: &str, now: Duration) -> bool {
        if id == &*self.own.id {
            return self.own.state == State::Ready;
        }
        self.others.get(id).is_some_and(|k| self.serves(k, now))
    }

    fn serves(&self, known: &Known, now: Duration) -> bool {
        let silence = self.silence(&known.member);
        known.member.state == State::Ready && known.heard.is_some_and(|at| at + silence > now)
    }

    fn serving_others(&self, now: Duration) -> impl Iterator<Item = &Known> {
        self.others.values().filter(move |k| self.serves(k, now))
    }

    /// Returns the members of the own failure domain that do not leave and have been heard within
    /// `silence`, itself included, in an order on which all agree.
    pub fn domain_order(&self, silence: Duration, now: Duration) -> Vec<&Member> {
        let others = self.others.values().filter(|k| {
            let heard = k.heard.is_some_and(|at| at + silence > now);
            heard && k.member.domain == self.own.domain && k.member.state != State::Leaving
        });
        let others = others.map(|k| (k.hash, &k.member));
        let mut members: Vec<_> = others.collect();
        members.push((self.own_hash, &self.own));
        members.sort_by_key(|(hash, _)| std::cmp::Reverse(*hash));
        members.into_iter().map(|(_, m)| m).collect()
    }

    /// Returns the members that serve, itself included.
    pub fn serving(&self, now: Duration) -> Vec<&Member> {
        let own = (self.own.state == State::Ready).then_some(&self.own);
        let others = self.serving_others(now).map(|k| &k.member);
        others.chain(own).collect()
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
        let service = hash(service);
        let own = (self.own.state == State::Ready).then_some((self.own_hash, &self.own));
        let others = self.serving_others(now).map(|k| (k.hash, &k.member));
        // A member that does not hear of changes would choose servers that are leaving.
        others
            .chain(own)
            .filter(|(_, m)| &*m.region == region)
            .max_by_key(|(hash, m)| (m.informed, mix(*hash, service)))
            .map(|(_, m)| m)
    }
}

fn hash(text: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Combines two hashes; both decide about every bit of the result.
fn mix(a: u64, b: u64) -> u64 {
    let mixed = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
