//! VM list whose changes become visible after a delay.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Beyond this number of pending changes the oldest become visible early, also while frozen.
const MAX_PENDING_CHANGES: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    Live,
    /// About to be stopped.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    pub id: Box<str>,
    pub state: VmState,
}

pub(super) struct VmList {
    visible: BTreeMap<Box<str>, VmState>,
    /// Changes that are not visible yet, oldest first; `None` removes the VM.
    pending: VecDeque<(Instant, Box<str>, Option<VmState>)>,
    lag: Duration,
    frozen: bool,
}

impl VmList {
    pub fn new(lag: Duration) -> VmList {
        VmList {
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
            lag,
            frozen: false,
        }
    }

    /// Records a change, visible after the lag; `None` removes the VM.
    pub fn record_change(&mut self, id: &str, state: Option<VmState>) {
        self.apply_due_changes();
        self.pending.push_back((Instant::now(), id.into(), state));
        while self.pending.len() > MAX_PENDING_CHANGES {
            self.apply_oldest();
        }
    }

    /// Sets whether pending changes are held back.
    pub fn set_frozen(&mut self, frozen: bool) {
        self.apply_due_changes();
        self.frozen = frozen;
    }

    /// Returns the visible list.
    pub fn list(&mut self) -> Vec<VmRecord> {
        self.apply_due_changes();
        self.visible
            .iter()
            .map(|(id, state)| VmRecord {
                id: id.clone(),
                state: *state,
            })
            .collect()
    }

    fn apply_due_changes(&mut self) {
        while !self.frozen
            && self
                .pending
                .front()
                .is_some_and(|(changed_at, _, _)| changed_at.elapsed() >= self.lag)
        {
            self.apply_oldest();
        }
    }

    fn apply_oldest(&mut self) {
        match self.pending.pop_front() {
            Some((_, id, Some(state))) => {
                self.visible.insert(id, state);
            }
            Some((_, id, None)) => {
                self.visible.remove(&id);
            }
            None => {}
        }
    }
}
