//! Membership of one failure domain as seen by one of its entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{EntryVmId, Generation, Incarnation};
use smallvec::SmallVec;

use crate::digest::Digests;
use crate::heartbeat::{Heartbeat, ProcessState};
use crate::peer::{Liveness, Peer, Update};
use crate::settings::MembershipSettings;
use crate::split::{HeldMemberSets, MemberSet, SplitState};

/// Peers to contact in one round.
pub type Contacts = SmallVec<[EntryVmId; 8]>;

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Newer news of a known process.
    Accepted,
    /// First news of a process.
    NewIncarnation,
    /// Not newer than what is known: ignored.
    Stale,
    /// From a process that was replaced: ignored.
    OldIncarnation,
    /// The sender is not in the configuration of this domain: ignored.
    UnknownVm,
    /// Another process uses the id of this VM: ignored; an operator must look at it.
    DuplicateVmId,
}

/// Newest VM list.
#[derive(Debug)]
struct VmList {
    live: BTreeSet<EntryVmId>,
    leaving: BTreeSet<EntryVmId>,
}

/// Membership of one failure domain.
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
    vm_list: Option<VmList>,
    /// Peers in the order of contact; `cursor` is the next one. A fixed order keeps the time
    /// between two contacts constant, which a new shuffle per rotation would double.
    order: Vec<EntryVmId>,
    cursor: usize,
    needs_shuffle: bool,
    last_round: Duration,
    /// End of the last own pause: silence of peers before it proves nothing.
    listening_since: Duration,
    split: SplitState,
}

impl Membership {
    /// Membership of entry VM `vm` in a domain with the entry VMs `configured`.
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

    /// Takes the entry VMs of the domain from a new configuration.
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

    /// Advances the state of this process; it never goes back.
    pub fn set_state(&mut self, state: ProcessState) {
        self.state = self.state.max(state);
    }

    /// State of this process.
    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Own heartbeat, to be sent to peers and as the answer to theirs.
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
        let heard = |vm: &EntryVmId| {
            let (at, _) = self.peers.get(vm)?.last_heartbeat()?;
            Some(now.saturating_sub(at))
        };
        let members = self.split.announced().iter();
        members.map(|vm| Heartbeat::encode_age(heard(vm))).collect()
    }

    /// Takes a heartbeat of a peer.
    pub fn on_heartbeat(&mut self, hb: &Heartbeat, now: Duration) -> HeartbeatOutcome {
        if hb.vm == self.vm {
            return HeartbeatOutcome::DuplicateVmId;
        }
        let Some(peer) = self.peers.get_mut(&hb.vm) else {
            return HeartbeatOutcome::UnknownVm;
        };
        let is_silent = now.saturating_sub(peer.last_seen_directly()) >= self.settings.dead_after;
        let heard = match peer.update(hb, now, is_silent) {
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
        heard
    }

    /// Takes the platform's VM list.
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

    /// Starts a round of heartbeats; call it every `MembershipSettings::round`.
    pub fn peers_to_contact(&mut self, now: Duration, rng: &mut fastrand::Rng) -> Contacts {
        if self.was_paused(now) {
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

    /// VMs that this process counts in its slot split, sorted.
    pub fn target_members(&self) -> &MemberSet {
        self.split.target()
    }

    /// Time in which the rotation covers all peers.
    pub fn rotation_period(&self) -> Duration {
        self.settings.rotation_period(self.peers.len())
    }

    /// Whether a peer is heard; `None` if it is not in the configuration.
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

    /// Last accepted heartbeat of a peer, for example to issue a ticket for it.
    pub fn last_heartbeat(&self, vm: &str) -> Option<(Duration, &Heartbeat)> {
        self.peers.get(vm)?.last_heartbeat()
    }

    /// VMs to name in look-ups, sorted: the first group below that has any.
    ///
    /// 1. ready and alive, 2. the same, but the VM list says that the VM is leaving, 3. ready and
    ///    suspected, 4. leaving and not dead.
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

    /// Sets of members under which this VM may use slots at `now`. Ask again before each use: the
    /// answer is empty after an own pause.
    pub fn held_member_sets(&self, now: Duration) -> HeldMemberSets {
        if self.was_paused(now) {
            return HeldMemberSets::default();
        }
        self.split.held_sets()
    }

    /// Newest configuration known in this domain and by the digests, and who has it.
    pub fn newest_generation(&self) -> Option<(Generation, &EntryVmId)> {
        let heard = self.peers.values().filter_map(Peer::last_heartbeat);
        heard
            .map(|(_, hb)| (hb.generation, &hb.vm))
            .chain(self.digests.newest_generation())
            .max_by_key(|(generation, _)| *generation)
    }

    /// VMs that this process announces in its heartbeats, sorted.
    pub fn announced_members(&self) -> &MemberSet {
        self.split.announced()
    }

    /// No request of this process occupies a slot that `held_member_sets` does not give to it: peers
    /// may be told. Call it before each round if that is so; a change of the split makes no
    /// progress without it.
    pub fn announce_split(&mut self) {
        self.split.announce();
    }

    fn was_paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_round) >= self.settings.fence_after
    }

    /// Time since the last sign of a peer in which this process listened.
    fn silence(&self, last_seen: Duration, now: Duration) -> Duration {
        if self.was_paused(now) {
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
        if self.was_paused(now) {
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

    /// Whether a peer announced `target` in a max_age heartbeat, or has been silent for so long that
    /// the split does not wait for it.
    fn confirms(&self, peer: &Peer, target: &MemberSet, now: Duration) -> bool {
        let max_age = self.settings.max_confirmation_age(self.peers.len());
        let is_confirmed = peer
            .last_heartbeat()
            .is_some_and(|(at, hb)| now.saturating_sub(at) < max_age && hb.members == *target);
        is_confirmed
            || self.silence(peer.last_seen_directly(), now) >= self.settings.confirm_timeout
    }
}
