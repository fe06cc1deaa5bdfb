//! Membership of a failure domain, as seen by one of its entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{EntryVmId, Generation, Incarnation};
use smallvec::SmallVec;

use crate::digest::Digests;
use crate::heartbeat::{Heartbeat, ProcessState};
use crate::peer::{Liveness, Peer, Update};
use crate::settings::MembershipSettings;
use crate::split::{HeldMemberSets, MemberSet, SplitState};

/// Peers to contact in one heartbeat round.
pub type Contacts = SmallVec<[EntryVmId; 8]>;

/// Outcome of processing a received heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Newer than the last heartbeat of the known incarnation.
    Accepted,
    /// First heartbeat of an incarnation.
    NewIncarnation,
    /// Ignored: not newer than the last heartbeat of the known incarnation.
    Stale,
    /// Ignored: from an incarnation that was replaced or is older than the known one.
    OldIncarnation,
    /// Ignored: the sender is not in the configuration of this domain.
    UnknownVm,
    /// Ignored: another process uses the id of this VM, which an operator has to correct.
    DuplicateVmId,
}

/// VM list of the platform.
#[derive(Debug)]
struct VmList {
    live: BTreeSet<EntryVmId>,
    leaving: BTreeSet<EntryVmId>,
}

/// Membership state of one entry VM.
#[derive(Debug)]
pub struct Membership {
    /// Digests of other failure domains.
    pub digests: Digests,
    settings: MembershipSettings,
    vm: EntryVmId,
    incarnation: Incarnation,
    state: ProcessState,
    /// Other configured VMs of the domain.
    peers: BTreeMap<EntryVmId, Peer>,
    /// Newest VM list received.
    vm_list: Option<VmList>,
    /// Peers in the order of contact; `cursor` is the index of the next one. The order is fixed
    /// because a new shuffle per rotation could double the time between two contacts of a peer.
    order: Vec<EntryVmId>,
    cursor: usize,
    needs_shuffle: bool,
    last_round: Duration,
    /// End of the last pause of this process. Time before it does not count as silence of a peer,
    /// because this process could not receive heartbeats.
    listening_since: Duration,
    split: SplitState,
}

impl Membership {
    /// Creates the state of entry VM `vm` in a domain with the entry VMs `configured`.
    pub fn new(
        settings: MembershipSettings,
        vm: EntryVmId,
        incarnation: Incarnation,
        configured: impl IntoIterator<Item = EntryVmId>,
        now: Duration,
    ) -> Membership {
        let mut membership = Membership {
            digests: Digests::default(),
            settings,
            vm,
            incarnation,
            state: ProcessState::Starting,
            peers: BTreeMap::new(),
            vm_list: None,
            order: Vec::new(),
            cursor: 0,
            needs_shuffle: true,
            last_round: now,
            listening_since: now,
            split: SplitState::default(),
        };
        membership.on_configuration(configured, now);
        membership
    }

    /// Applies the entry VMs of the domain from a new configuration.
    pub fn on_configuration(
        &mut self,
        configured: impl IntoIterator<Item = EntryVmId>,
        now: Duration,
    ) {
        let configured: BTreeSet<EntryVmId> = configured.into_iter().collect();
        self.peers.retain(|vm, _| configured.contains(vm));
        for vm in configured {
            if vm != self.vm {
                self.peers.entry(vm).or_insert_with(|| Peer::new(now));
            }
        }
        self.order = self.peers.keys().cloned().collect();
        self.needs_shuffle = true;
        self.update_split(now);
    }

    /// Sets the state of this process, unless that would move it backwards.
    pub fn set_state(&mut self, state: ProcessState) {
        self.state = self.state.max(state);
    }

    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Returns the heartbeat of this process, to be sent to peers and in reply to theirs.
    pub fn heartbeat(&self, generation: Generation, free_slots: u32, now: Duration) -> Heartbeat {
        Heartbeat {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            uptime: now,
            state: self.state,
            generation,
            free_slots,
            members: self.split.announced().clone(),
            ages: self.ages(now),
        }
    }

    fn ages(&self, now: Duration) -> Box<[u8]> {
        let age = |vm: &EntryVmId| {
            let (at, _) = self.peers.get(vm)?.last_heartbeat()?;
            Some(now.saturating_sub(at))
        };
        let members = self.split.announced().iter();
        members.map(|vm| Heartbeat::encode_age(age(vm))).collect()
    }

    /// Processes a heartbeat received from a peer.
    pub fn on_heartbeat(&mut self, hb: &Heartbeat, now: Duration) -> HeartbeatOutcome {
        if hb.vm == self.vm {
            return HeartbeatOutcome::DuplicateVmId;
        }
        let Some(peer) = self.peers.get_mut(&hb.vm) else {
            return HeartbeatOutcome::UnknownVm;
        };
        let is_silent = now.saturating_sub(peer.last_seen_directly()) >= self.settings.dead_after;
        let outcome = match peer.update(hb, now, is_silent) {
            Update::Newer => HeartbeatOutcome::Accepted,
            Update::Replaced => {
                self.split.reset_agreement();
                HeartbeatOutcome::NewIncarnation
            }
            Update::Stale => return HeartbeatOutcome::Stale,
            Update::OldIncarnation => return HeartbeatOutcome::OldIncarnation,
        };
        for (vm, age) in hb.relayed_ages() {
            if let Some(peer) = self.peers.get_mut(vm) {
                peer.record_relayed(now.saturating_sub(age));
            }
        }
        self.update_split(now);
        outcome
    }

    /// Processes a VM list of the platform.
    pub fn on_vm_list(
        &mut self,
        live: impl IntoIterator<Item = EntryVmId>,
        leaving: impl IntoIterator<Item = EntryVmId>,
        now: Duration,
    ) {
        self.vm_list = Some(VmList {
            live: live.into_iter().collect(),
            leaving: leaving.into_iter().collect(),
        });
        self.update_split(now);
    }

    /// Starts a heartbeat round and returns the peers to contact. Must be called every
    /// `MembershipSettings::round_interval`.
    pub fn peers_to_contact(&mut self, now: Duration, rng: &mut fastrand::Rng) -> Contacts {
        if self.is_paused(now) {
            self.listening_since = now;
            self.split.fence();
        }
        self.last_round = now;
        self.update_split(now);
        if self.needs_shuffle {
            rng.shuffle(&mut self.order);
            self.needs_shuffle = false;
            self.cursor = 0;
        }
        let len = self.order.len();
        let n = len.min(self.settings.fan_out);
        let next = self.order.iter().cycle().skip(self.cursor).take(n);
        let contacts = next.cloned().collect();
        self.cursor = (self.cursor + n) % len.max(1);
        contacts
    }

    /// Returns the members that this process wants in its slot split, sorted.
    pub fn target_members(&self) -> &MemberSet {
        self.split.target()
    }

    /// Returns the time in which the rotation contacts each peer once.
    pub fn rotation_period(&self) -> Duration {
        self.settings.rotation_period(self.peers.len())
    }

    /// Returns the liveness of a peer, or `None` if it is not in the configuration.
    pub fn liveness_of(&self, vm: &str, now: Duration) -> Option<Liveness> {
        let peer = self.peers.get(vm)?;
        let silence = self.silence(peer.last_seen(), now);
        Some(if silence >= self.settings.dead_after {
            Liveness::Dead
        } else if silence >= self.settings.suspect_after || peer.last_heartbeat().is_none() {
            Liveness::Suspected
        } else {
            Liveness::Alive
        })
    }

    /// Returns the last accepted heartbeat of a peer and its time of arrival, for example to issue
    /// a ticket for the peer.
    pub fn last_heartbeat(&self, vm: &str) -> Option<(Duration, &Heartbeat)> {
        self.peers.get(vm)?.last_heartbeat()
    }

    /// Returns the VMs to name in look-up answers, sorted. They are the first non-empty group of:
    ///
    /// 1. ready and alive
    /// 2. ready and alive, but leaving according to the VM list
    /// 3. ready and suspected
    /// 4. leaving and not dead
    pub fn look_up_candidates(&self, now: Duration) -> Vec<EntryVmId> {
        let mut groups: [Vec<EntryVmId>; 4] = Default::default();
        let own = (&self.vm, Liveness::Alive, self.state);
        let peers = self.peers.iter().filter_map(|(vm, peer)| {
            let liveness = self.liveness_of(vm, now)?;
            Some((vm, liveness, peer.state()?))
        });
        for (vm, liveness, state) in peers.chain([own]) {
            let group = match (state, liveness) {
                (ProcessState::Starting, _) | (_, Liveness::Dead) => continue,
                (ProcessState::Ready, Liveness::Alive) => usize::from(self.is_listed_leaving(vm)),
                (ProcessState::Ready, Liveness::Suspected) => 2,
                (ProcessState::Leaving, _) => 3,
            };
            groups[group].push(vm.clone());
        }
        let mut candidates = groups
            .into_iter()
            .find(|group| !group.is_empty())
            .unwrap_or_default();
        candidates.sort_unstable();
        candidates
    }

    /// Returns the member sets that decide which slots this VM may use at `now`. Must be called
    /// again before each use, because the answer is empty after a pause of this process.
    pub fn held_member_sets(&self, now: Duration) -> HeldMemberSets {
        if self.is_paused(now) {
            return HeldMemberSets::default();
        }
        self.split.held_sets()
    }

    /// Returns the newest configuration generation among the heartbeats and digests received, and
    /// the VM that sent it.
    pub fn newest_generation(&self) -> Option<(Generation, &EntryVmId)> {
        let heartbeats = self.peers.values().filter_map(Peer::last_heartbeat);
        heartbeats
            .map(|(_, hb)| (hb.generation, &hb.vm))
            .chain(self.digests.newest_generation())
            .max_by_key(|(generation, _)| *generation)
    }

    /// Returns the slot split members that this process announces in its heartbeats, sorted.
    pub fn announced_members(&self) -> &MemberSet {
        self.split.announced()
    }

    /// Announces the target of the slot split to the peers from the next heartbeat on.
    ///
    /// To be called before each round in which no request of this process occupies a slot that
    /// `held_member_sets` does not assign to it. Without this call a change of the split makes no
    /// progress.
    pub fn announce_split(&mut self) {
        self.split.announce();
    }

    fn is_paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_round) >= self.settings.fence_after
    }

    /// Returns how long a peer has been silent while this process was able to receive heartbeats.
    fn silence(&self, last_seen: Duration, now: Duration) -> Duration {
        if self.is_paused(now) {
            return Duration::ZERO;
        }
        now.saturating_sub(last_seen.max(self.listening_since))
    }

    fn is_listed_leaving(&self, vm: &str) -> bool {
        let list = self.vm_list.as_ref();
        list.is_some_and(|list| list.leaving.contains(vm) && !list.live.contains(vm))
    }

    fn is_listed_gone(&self, vm: &str) -> bool {
        let list = self.vm_list.as_ref();
        list.is_some_and(|list| !list.live.contains(vm) && !list.leaving.contains(vm))
    }

    /// Updates the target of the slot split and the agreement on it.
    fn update_split(&mut self, now: Duration) {
        if self.is_paused(now) {
            return;
        }
        let is_gone =
            |vm: &str| self.is_listed_gone(vm) && self.liveness_of(vm, now) == Some(Liveness::Dead);
        let peers = self.peers.keys().filter(|vm| !is_gone(vm));
        let mut members: Vec<&EntryVmId> = peers.chain([&self.vm]).collect();
        members.sort_unstable();
        if !members.iter().copied().eq(self.split.target()) {
            let target = members.into_iter().cloned().collect();
            self.split.set_target(target);
        }
        let target = self.split.target();
        let is_agreed = target
            .iter()
            .filter_map(|vm| self.peers.get(vm))
            .all(|peer| self.confirms(peer, target, now));
        let settle_time = match target.len() {
            1 => Duration::ZERO,
            _ => self.settings.settle_time(self.peers.len()),
        };
        self.split.update_agreement(is_agreed, settle_time, now);
    }

    /// Returns whether a peer announced `target` in a sufficiently recent heartbeat, or has been
    /// silent for `confirm_timeout`, after which the split does not wait for it.
    fn confirms(&self, peer: &Peer, target: &MemberSet, now: Duration) -> bool {
        let max_age = self.settings.max_confirmation_age(self.peers.len());
        let is_confirmed = peer
            .last_heartbeat()
            .is_some_and(|(at, hb)| now.saturating_sub(at) < max_age && hb.members == *target);
        is_confirmed
            || self.silence(peer.last_seen_directly(), now) >= self.settings.confirm_timeout
    }
}
