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
/// Time for which a new member counts as the smallest while its capacity is unknown, which arrives in
/// a message of its own; five heartbeat periods. After that it counts as one of an older version.
const CAPACITY_WAIT: Duration = Duration::from_secs(1);
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

/// Resources of an entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the link in Mbit/s.
    pub link_mbps: u32,
}

impl Capacity {
    /// Returns the larger value of each resource.
    fn max(self, other: Capacity) -> Capacity {
        Capacity {
            millicores: self.millicores.max(other.millicores),
            link_mbps: self.link_mbps.max(other.link_mbps),
        }
    }

    /// Returns of how many resources this is at least half of `largest`. Members of similar size
    /// share the pools, however many smaller ones there are.
    fn rank(self, largest: Capacity) -> u32 {
        let processor = self.millicores.saturating_mul(2) >= largest.millicores;
        let link = self.link_mbps.saturating_mul(2) >= largest.link_mbps;
        u32::from(processor) + u32::from(link)
    }
}

/// The known entry VMs.
#[derive(Clone, Debug)]
pub struct MemberList {
    /// This entry VM.
    pub own: Member,
    own_hash: u64,
    own_capacity: Option<Capacity>,
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
    /// Time of the first heartbeat of this incarnation, or when the member was added.
    first_seen: Duration,
    /// Hash of the name, for rendezvous hashing.
    hash: u64,
    /// `None` until it is received.
    capacity: Option<Capacity>,
}

/// A member with what ranks it as a candidate for a task of its region: hash and capacity.
type RankedMember<'a> = (u64, &'a Member, Option<Capacity>);

/// Returns the largest value of each resource; `None` if a capacity is unknown, as it is for entry
/// VMs of an older version. The choice is then by hash alone, on which all versions agree.
fn largest_capacity<'a>(
    mut candidates: impl Iterator<Item = RankedMember<'a>>,
) -> Option<Capacity> {
    let first = candidates.next()?.2;
    candidates.fold(first, |max, (_, _, capacity)| Some(max?.max(capacity?)))
}

/// Returns the rank of a capacity; 0 if capacities are not compared.
fn rank(capacity: Option<Capacity>, largest: Option<Capacity>) -> u32 {
    capacity.zip(largest).map_or(0, |(c, l)| c.rank(l))
}

impl Peer {
    fn new(member: Member, last_heartbeat: Option<Duration>, last_seen: Duration) -> Self {
        Peer {
            capacity: None,
            hash: hash(&member.id),
            member,
            first_seen: last_seen,
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
            own_capacity: None,
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
        let known = self
            .others
            .get(&member.id)
            .filter(|p| p.member.incarnation == member.incarnation);
        let peer = Peer {
            capacity: known.and_then(|p| p.capacity),
            first_seen: known
                .filter(|p| p.last_heartbeat.is_some())
                .map_or(now, |p| p.first_seen),
            ..Peer::new(member, Some(now), now)
        };
        self.others.insert(peer.member.id.clone(), peer);
        changed
    }

    /// Sets the capacity of this entry VM.
    pub fn set_own_capacity(&mut self, capacity: Option<Capacity>) {
        self.own_capacity = capacity;
    }

    /// Records the capacity of another member; returns whether it was unknown or has changed.
    pub fn record_capacity(&mut self, incarnation: Incarnation, capacity: Capacity) -> bool {
        let mut peers = self.others.values_mut();
        let Some(peer) = peers.find(|p| p.member.incarnation == incarnation) else {
            return false;
        };
        peer.capacity.replace(capacity) != Some(capacity)
    }

    /// Returns the capacity of a member, this one included.
    pub fn capacity(&self, id: &str) -> Option<Capacity> {
        if id == &*self.own.id {
            return self.own_capacity;
        }
        self.others.get(id).and_then(|p| p.capacity)
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

    /// Whether this member is among the first `count` members of its region, the larger ones first
    /// and then by hash; all members agree on that order.
    pub fn is_delegate(&self, count: usize, now: Duration) -> bool {
        let region = &self.own.region;
        let largest = largest_capacity(self.candidates(region, now));
        let own = (rank(self.own_capacity, largest), self.own_hash);
        let ranked_higher = self
            .candidates(region, now)
            .filter(|(hash, _, capacity)| (rank(*capacity, largest), *hash) > own);
        self.own.state == MemberState::Ready && ranked_higher.count() < count
    }

    /// Returns the first `count` members of this region, in the order of [`MemberList::is_delegate`].
    pub fn delegates(&self, count: usize, now: Duration) -> Vec<&Member> {
        let region = &self.own.region;
        let largest = largest_capacity(self.candidates(region, now));
        let mut candidates: Vec<_> = self.candidates(region, now).collect();
        candidates.sort_by_key(|(hash, _, c)| std::cmp::Reverse((rank(*c, largest), *hash)));
        let first = candidates.into_iter().take(count);
        first.map(|(_, member, _)| member).collect()
    }

    /// Returns another member as a candidate; the smallest one while its capacity is still to arrive.
    fn candidate<'a>(&self, peer: &'a Peer, now: Duration) -> RankedMember<'a> {
        let awaited = self.own_capacity.is_some() && now < peer.first_seen + CAPACITY_WAIT;
        let capacity = peer.capacity.or_else(|| awaited.then(Capacity::default));
        (peer.hash, &peer.member, capacity)
    }

    /// Returns the available members of a region, itself included.
    fn candidates<'a>(
        &'a self,
        region: &str,
        now: Duration,
    ) -> impl Iterator<Item = RankedMember<'a>> {
        self.candidates_in_state(MemberState::Ready, region, now)
    }

    /// Returns the members of a region that are alive and in the given state, itself included.
    fn candidates_in_state<'a>(
        &'a self,
        state: MemberState,
        region: &str,
        now: Duration,
    ) -> impl Iterator<Item = RankedMember<'a>> {
        let own = (self.own_hash, &self.own, self.own_capacity);
        let others = self
            .others
            .values()
            .filter(move |p| self.is_peer_alive(p, now));
        others
            .map(move |p| self.candidate(p, now))
            .chain(std::iter::once(own))
            .filter(move |(_, m, _)| m.state == state && &*m.region == region)
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
        peer.member.state == MemberState::Ready && self.is_peer_alive(peer, now)
    }

    fn is_peer_alive(&self, peer: &Peer, now: Duration) -> bool {
        let timeout = self.liveness_timeout(&peer.member);
        peer.last_heartbeat.is_some_and(|at| at + timeout > now)
    }

    fn available_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.others
            .values()
            .filter(move |p| self.is_peer_available(p, now))
    }

    /// Returns the members of this failure domain, itself included, that are not leaving and have
    /// been heard from within `max_silence`, the larger ones first and then by hash, so that all
    /// members agree.
    pub fn ranked_domain_members(&self, max_silence: Duration, now: Duration) -> Vec<&Member> {
        let others = self.others.values().filter(|p| {
            let heard_recently = p.last_heartbeat.is_some_and(|at| at + max_silence > now);
            heard_recently
                && p.member.domain == self.own.domain
                && p.member.state != MemberState::Leaving
        });
        let mut members: Vec<RankedMember> = others.map(|p| self.candidate(p, now)).collect();
        members.push((self.own_hash, &self.own, self.own_capacity));
        let largest = largest_capacity(members.iter().copied());
        members.sort_by_key(|(hash, _, capacity)| {
            std::cmp::Reverse((rank(*capacity, largest), *hash))
        });
        members.into_iter().map(|(_, m, _)| m).collect()
    }

    /// Returns the members that have sent a recent heartbeat, whatever their state, itself included.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        let others = self
            .others
            .values()
            .filter(move |p| self.is_peer_alive(p, now));
        others.map(|p| &p.member).chain(std::iter::once(&self.own))
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

    /// Returns the member of `region` that owns the pool of `service`, chosen by rendezvous hashing
    /// among the larger members: the owner decides for all requests of its region and receives those
    /// that other regions forward.
    ///
    /// Members that see the same available members choose the same owner. While none is available,
    /// they choose one that is leaving, so that their grants share one count of the slots in use.
    pub fn pool_owner(&self, service: &str, region: &str, now: Duration) -> Option<&Member> {
        let service = hash(service);
        let any_ready = self.candidates(region, now).next().is_some();
        let state = if any_ready {
            MemberState::Ready
        } else {
            MemberState::Leaving
        };
        let candidates = || self.candidates_in_state(state, region, now);
        let largest = largest_capacity(candidates());
        // Prefer members that receive platform updates; others would grant slots of servers that
        // are leaving.
        candidates()
            .max_by_key(|(hash, m, capacity)| {
                let rank = rank(*capacity, largest);
                (m.platform_connected, rank, combine_hashes(*hash, service))
            })
            .map(|(_, m, _)| m)
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
