//! Agreement on the members of the slot split.
//!
//! Each VM has a set of members that it wants to use (`target`), and uses only slots that every set
//! it holds assigns to it. It holds each target until all members have agreed on a newer one for
//! `MembershipSettings::settle_time`. It announces its target in heartbeats as soon as none of its
//! requests occupies a slot that the target takes away. Two VMs that receive each other's
//! heartbeats therefore always hold a common set, and one set never assigns a slot to two VMs,
//! however the shares are computed from it. A starting VM holds the sets that it has announced so
//! far, and uses its share as soon as all members announce its target.

use std::time::Duration;

use config::EntryVmId;
use smallvec::SmallVec;

/// Sorted VM ids.
pub type MemberSet = Box<[EntryVmId]>;

/// Maximum number of sets held at once. A VM that exceeds it uses no share until all members have
/// settled on one set.
const MAX_HELD: usize = 16;

/// Member sets held by this VM. It may use a slot only if all of them assign the slot to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldMemberSets {
    /// Held sets; without any, the VM has no share.
    pub sets: SmallVec<[MemberSet; 2]>,
}

impl HeldMemberSets {
    /// Returns whether this VM may use a slot. `assigns` tells whether a member set assigns the
    /// slot to this VM.
    pub fn may_use(&self, assigns: impl Fn(&[EntryVmId]) -> bool) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| assigns(set))
    }
}

#[derive(Debug, Default)]
pub(crate) struct SplitState {
    /// Set that this VM wants to use.
    target: MemberSet,
    /// Set sent in heartbeats; it is held, except after an overflow.
    announced: MemberSet,
    /// Targets that are not yet released.
    held: SmallVec<[MemberSet; 2]>,
    /// Whether the peers have confirmed this VM.
    is_joined: bool,
    /// Whether a set exceeded `MAX_HELD`; this VM must then settle before it joins.
    has_overflowed: bool,
    /// Time since which all members, including this VM, have announced the target.
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

    /// Updates the agreement. `is_agreed` tells whether all other members announce the target;
    /// `settle_time` is zero if there are none.
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

    /// Restarts the settle time after a peer's process was replaced, because announcements of the
    /// old process do not count.
    pub(crate) fn reset_agreement(&mut self) {
        self.agreed_since = None;
    }

    /// Withholds the share after a pause of this process until the peers confirm it again.
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
