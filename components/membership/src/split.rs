//! Agreement on the members of the slot split.
//!
//! Each VM has a set that it wants to use (`target`), and uses only slots that every set it holds
//! assigns to it. It holds each target until all members have agreed on a newer one for
//! `MembershipSettings::settle_time`. It announces its target in heartbeats as soon as no request of its
//! own occupies a slot that the target takes away. Two VMs that hear each other
//! therefore always hold a common set, and one set never assigns a slot to two VMs, however the
//! shares are computed from it. A starting VM holds what it announced so far, and uses its share
//! as soon as all members announce its target.

use std::time::Duration;

use config::EntryVmId;
use smallvec::SmallVec;

/// Sorted VM ids.
pub type MemberSet = Box<[EntryVmId]>;

/// Sets held at once; beyond it the VM uses no share until all have settled on one.
const MAX_HELD: usize = 16;

/// Sets of members that all must give a slot to this VM before it may use it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldMemberSets {
    /// Sets of members; none means no share.
    pub sets: SmallVec<[MemberSet; 2]>,
}

impl HeldMemberSets {
    /// Whether this VM may use a slot; `assigns` tells whether a set of members assigns it the slot.
    pub fn may_use(&self, assigns: impl Fn(&[EntryVmId]) -> bool) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| assigns(set))
    }
}

#[derive(Debug, Default)]
pub(crate) struct SplitState {
    /// Set wanted now.
    target: MemberSet,
    /// Set sent in heartbeats; it is always held.
    announced: MemberSet,
    /// Targets that are not yet given up.
    held: SmallVec<[MemberSet; 2]>,
    /// Peers have confirmed this VM.
    is_joined: bool,
    /// A set could not be held: settle_time before joining.
    has_overflowed: bool,
    /// Since when all members, this one included, have announced the target.
    agreed_since: Option<Duration>,
}

impl SplitState {
    pub(crate) fn target(&self) -> &MemberSet {
        &self.target
    }

    pub(crate) fn announced(&self) -> &MemberSet {
        &self.announced
    }

    pub(crate) fn announce(&mut self) {
        if self.announced != self.target {
            self.announced = self.target.clone();
        }
    }

    pub(crate) fn set_target(&mut self, target: MemberSet) {
        if self.target == target {
            return;
        }
        self.agreed_since = None;
        if !self.held.contains(&target) {
            if self.held.len() == MAX_HELD {
                self.is_joined = false;
                self.has_overflowed = true;
            } else {
                self.held.push(target.clone());
            }
        }
        self.target = target;
    }

    /// Takes whether all other members announce the target; `settle_time` is zero without any.
    pub(crate) fn update_agreement(
        &mut self,
        is_agreed: bool,
        settle_time: Duration,
        now: Duration,
    ) {
        if !is_agreed || self.announced != self.target {
            self.agreed_since = None;
            return;
        }
        let since = *self.agreed_since.get_or_insert(now);
        if now.saturating_sub(since) >= settle_time {
            self.held = [self.target.clone()].into_iter().collect();
            self.has_overflowed = false;
        }
        self.is_joined |= !self.has_overflowed;
    }

    /// A peer's process was replaced: what its predecessor announced does not count.
    pub(crate) fn reset_agreement(&mut self) {
        self.agreed_since = None;
    }

    /// This process was paused: it must be confirmed again.
    pub(crate) fn fence(&mut self) {
        self.is_joined = false;
        self.agreed_since = None;
    }

    pub(crate) fn held_sets(&self) -> HeldMemberSets {
        if !self.is_joined {
            return HeldMemberSets::default();
        }
        HeldMemberSets {
            sets: self.held.clone(),
        }
    }
}
