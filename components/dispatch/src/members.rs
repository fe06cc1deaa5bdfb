//! Entry VMs of the deployment, as known from heartbeats, and the selection of pool owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, EntryVmId, Incarnation, RegionId};
use serde::{Deserialize, Serialize};

/// Time without a heartbeat after which a member of this region is not used; four heartbeat
/// periods.
const LOCAL_LIVENESS_TIMEOUT: Duration = Duration::from_millis(850);
/// Time without a heartbeat after which a member of another region is not used; four heartbeat
/// periods.
const REMOTE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time without a heartbeat after which heartbeats to a member become rare; most members of other
/// regions send one in 30 seconds.
const LONG_SILENCE: Duration = Duration::from_secs(65);
/// Time without a heartbeat after which a member is removed. Longer than a usual network partition:
/// two members that have removed each other can only meet again through a third one.
const EXPIRE_AFTER: Duration = Duration::from_mins(10);

/// Lifecycle state of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Waiting for a configuration and a list of servers.
    Starting,
    /// Serving requests.
    Ready,
    /// Shutting down.
    Leaving,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: EntryVmId,
    /// Random number drawn at each process start.
    pub incarnation: Incarnation,
    pub domain: DomainId,
    pub region: RegionId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams and requests from other entry VMs.
    pub peers: SocketAddr,
    /// Lifecycle state.
    pub state: MemberState,
    /// Whether it receives updates from the platform.
    #[serde(rename = "informed")]
    pub platform_connected: bool,
}

/// The known entry VMs.
#[derive(Clone, Debug)]
pub struct MemberList {
    /// This entry VM.
    pub own: Member,
    own_hash: u64,
    others: BTreeMap<EntryVmId, Peer>,
}

/// Another entry VM and when it was last heard from.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// Time of the last heartbeat; `None` before the first.
    last_heartbeat: Option<Duration>,
    /// Time of the last heartbeat, or when the member was added.
    last_seen: Duration,
    /// Hash of the name, for rendezvous hashing.
    hash: u64,
}

impl Peer {
    fn new(member: Member, last_heartbeat: Option<Duration>, last_seen: Duration) -> Self {
        Peer {
            hash: hash(&member.id),
            member,
            last_heartbeat,
            last_seen,
        }
    }
}

impl MemberList {
    /// Creates a list with this entry VM only.
    pub fn new(own: Member) -> Self {
        MemberList {
            own_hash: hash(&own.id),
            own,
            others: BTreeMap::new(),
        }
    }

    /// Adds an entry VM that has not sent a heartbeat yet; returns whether it was unknown.
    pub fn add(&mut self, member: Member, now: Duration) -> bool {
        if member.id == self.own.id {
            return false;
        }
        let peer = self.others.get(&member.id);
        if peer.is_some_and(|p| {
            p.last_heartbeat.is_some() || p.member.incarnation == member.incarnation
        }) {
            return false;
        }
        let peer = Peer::new(member, None, now);
        self.others.insert(peer.member.id.clone(), peer).is_none()
    }

    /// Records a heartbeat; returns whether the member is new, has changed or had timed out.
    pub fn record_heartbeat(&mut self, member: Member, now: Duration) -> bool {
        if member.id == self.own.id {
            return false;
        }
        let timeout = self.liveness_timeout(&member);
        let changed = self.others.get(&member.id).is_none_or(|old| {
            old.member != member || old.last_heartbeat.is_none_or(|at| at + timeout <= now)
        });
        let peer = Peer::new(member, Some(now), now);
        self.others.insert(peer.member.id.clone(), peer);
        changed
    }

    /// Time without a heartbeat after which a member is not used.
    fn liveness_timeout(&self, member: &Member) -> Duration {
        if member.region == self.own.region {
            LOCAL_LIVENESS_TIMEOUT
        } else {
            REMOTE_LIVENESS_TIMEOUT
        }
    }

    /// Removes and returns the members that have not been heard from for `EXPIRE_AFTER`.
    pub fn expire(&mut self, now: Duration) -> Vec<Member> {
        let is_expired = |p: &Peer| p.last_seen + EXPIRE_AFTER <= now;
        let expired = self.others.values().filter(|p| is_expired(p));
        let expired = expired.map(|p| p.member.clone()).collect();
        self.others.retain(|_, p| !is_expired(p));
        expired
    }

    /// Returns all other members, including those that have timed out.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|p| &p.member)
    }

    /// Returns the other members that have ever sent a heartbeat.
    pub fn seen(&self) -> impl Iterator<Item = &Member> {
        self.others
            .values()
            .filter(|p| p.last_heartbeat.is_some())
            .map(|p| &p.member)
    }

    /// Whether a member has not been heard from for so long that rare heartbeats suffice to notice
    /// its return.
    pub fn is_long_silent(&self, id: &str, now: Duration) -> bool {
        self.others
            .get(id)
            .is_none_or(|p| p.last_seen + LONG_SILENCE <= now)
    }

    pub fn get(&self, id: &str) -> Option<&Member> {
        self.others.get(id).map(|p| &p.member)
    }

    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        self.others().find(|m| m.incarnation == incarnation)
    }

    /// Returns a digest of this member and of those that have sent a heartbeat, independent of
    /// their order.
    pub fn digest(&self) -> u64 {
        let all = self.seen().chain(std::iter::once(&self.own));
        all.fold(0, |sum, m| sum ^ combine_hashes(hash(&m.id), m.incarnation))
    }

    /// Whether this member is among the first `count` members of its region by hash; all members
    /// agree on that order.
    pub fn is_delegate(&self, count: usize, now: Duration) -> bool {
        let own = self.own_hash;
        let ranked_higher = self.available_peers(now).filter(|p| p.hash > own);
        let ranked_higher = ranked_higher.filter(|p| p.member.region == self.own.region);
        self.own.state == MemberState::Ready && ranked_higher.count() < count
    }

    /// Whether a member is ready and has sent a recent heartbeat.
    pub fn is_available(&self, id: &str, now: Duration) -> bool {
        if id == &*self.own.id {
            return self.own.state == MemberState::Ready;
        }
        self.others
            .get(id)
            .is_some_and(|p| self.is_peer_available(p, now))
    }

    fn is_peer_available(&self, peer: &Peer, now: Duration) -> bool {
        let timeout = self.liveness_timeout(&peer.member);
        peer.member.state == MemberState::Ready
            && peer.last_heartbeat.is_some_and(|at| at + timeout > now)
    }

    fn available_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.others
            .values()
            .filter(move |p| self.is_peer_available(p, now))
    }

    /// Returns the members of this failure domain, itself included, that are not leaving and have
    /// been heard from within `max_silence`, ordered by hash so that all members agree.
    pub fn ranked_domain_members(&self, max_silence: Duration, now: Duration) -> Vec<&Member> {
        let others = self.others.values().filter(|p| {
            let heard_recently = p.last_heartbeat.is_some_and(|at| at + max_silence > now);
            heard_recently
                && p.member.domain == self.own.domain
                && p.member.state != MemberState::Leaving
        });
        let others = others.map(|p| (p.hash, &p.member));
        let mut members: Vec<_> = others.collect();
        members.push((self.own_hash, &self.own));
        members.sort_by_key(|(hash, _)| std::cmp::Reverse(*hash));
        members.into_iter().map(|(_, m)| m).collect()
    }

    /// Returns the available members, itself included.
    pub fn available(&self, now: Duration) -> Vec<&Member> {
        let own = (self.own.state == MemberState::Ready).then_some(&self.own);
        let others = self.available_peers(now).map(|p| &p.member);
        others.chain(own).collect()
    }

    /// Whether other members of this region are known but none of them is available.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let mut local = self
            .others()
            .filter(|m| m.region == self.own.region)
            .peekable();
        local.peek().is_some() && !local.any(|m| self.is_available(&m.id, now))
    }

    /// Returns the member of `region` that owns the pool of `service`, chosen by rendezvous
    /// hashing.
    ///
    /// Members that see the same available members choose the same owner.
    pub fn pool_owner(&self, service: &str, region: &str, now: Duration) -> Option<&Member> {
        let service = hash(service);
        let own = (self.own.state == MemberState::Ready).then_some((self.own_hash, &self.own));
        let others = self.available_peers(now).map(|p| (p.hash, &p.member));
        // Prefer members that receive platform updates; others would grant slots of servers that
        // are leaving.
        others
            .chain(own)
            .filter(|(_, m)| &*m.region == region)
            .max_by_key(|(hash, m)| (m.platform_connected, combine_hashes(*hash, service)))
            .map(|(_, m)| m)
    }
}

fn hash(text: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Combines two hashes so that each affects every bit of the result.
fn combine_hashes(a: u64, b: u64) -> u64 {
    let hash = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
