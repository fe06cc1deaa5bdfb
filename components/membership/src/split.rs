//! Agreement on the members of the slot split.
//!
//! Each VM has a set that it wants to use (`target`), and uses only slots that every set it holds
//! gives to it. It holds each target until all members have agreed on a newer one for
//! `MemberSettings::settle`. It announces its target in heartbeats as soon as no request of its
//! own occupies a slot that the target takes away. Two VMs that hear each other
//! therefore always hold a common set, and one set never gives a slot to two VMs, however the
//! shares are computed from it. A starting VM holds what it announced so far, and uses its share
//! as soon as all members announce its target.

use std::time::Duration;

use config::EntryVmId;
use smallvec::SmallVec;

/// Sorted VM ids.
pub type Members = Box<[EntryVmId]>;

/// Sets held at once; beyond it the VM uses no share until all have settled on one.
const MAX_HELD: usize = 16;

/// Sets of members that all must give a slot to this VM before it may use it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Sets of members; none means no share.
    pub sets: SmallVec<[Members; 2]>,
}

impl Split {
    /// Whether this VM may use a slot; `gives` tells whether a set of members gives it the slot.
    pub fn is_mine(&self, gives: impl Fn(&[EntryVmId]) -> bool) -> bool {
        !self.sets.is_empty() && self.sets.iter().all(|set| gives(set))
    }
}

#[derive(Debug, Default)]
pub(crate) struct SplitState {
    /// Set wanted now.
    target: Members,
    /// Set sent in heartbeats; it is always held.
    announced: Members,
    /// Targets that are not yet given up.
    held: SmallVec<[Members; 2]>,
    /// Peers have confirmed this VM.
    joined: bool,
    /// A set could not be held: settle before joining.
    overflow: bool,
    /// Since when all members, this one included, have announced the target.
    agreed_since: Option<Duration>,
}

impl SplitState {
    pub(crate) fn target(&self) -> &Members {
        &self.target
    }

    pub(crate) fn announced(&self) -> &Members {
        &self.announced
    }

    pub(crate) fn announce(&mut self) {
        if self.announced != self.target {
            self.announced = self.target.clone();
        }
    }

    pub(crate) fn retarget(&mut self, target: Members) {
        if self.target == target {
            return;
        }
        self.agreed_since = None;
        if !self.held.contains(&target) {
            if self.held.len() == MAX_HELD {
                self.joined = false;
                self.overflow = true;
            } else {
                self.held.push(target.clone());
            }
        }
        self.target = target;
    }

    /// Takes whether all other members announce the target; `settle` is zero without any.
    pub(crate) fn agree(&mut self, is_agreed: bool, settle: Duration, now: Duration) {
        if !is_agreed || self.announced != self.target {
            self.agreed_since = None;
            return;
        }
        let since = *self.agreed_since.get_or_insert(now);
        if now.saturating_sub(since) >= settle {
            self.held = [self.target.clone()].into_iter().collect();
            self.overflow = false;
        }
        self.joined |= !self.overflow;
    }

    /// A peer's process was replaced: what its predecessor announced does not count.
    pub(crate) fn restart_agreement(&mut self) {
        self.agreed_since = None;
    }

    /// This process was paused: it must be confirmed again.
    pub(crate) fn fence(&mut self) {
        self.joined = false;
        self.agreed_since = None;
    }

    pub(crate) fn view(&self) -> Split {
        if !self.joined {
            return Split::default();
        }
        Split {
            sets: self.held.clone(),
        }
    }
}
