//! The VM list, which lags behind its changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Most changes that wait to become visible; the oldest becomes visible early beyond it.
const MAX_PENDING: usize = 10_000;

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Running.
    Live,
    /// Going to be stopped.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name.
    pub id: Box<str>,
    /// State.
    pub state: VmState,
}

/// The list as readers see it, and changes that they do not see yet.
pub(super) struct VmList {
    visible: BTreeMap<Box<str>, VmState>,
    pending: VecDeque<(Instant, Box<str>, Option<VmState>)>,
    lag: Duration,
    frozen: bool,
}

impl VmList {
    /// An empty list.
    pub fn new(lag: Duration) -> VmList {
        VmList {
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
            lag,
            frozen: false,
        }
    }

    /// Notes a change; `None` removes the VM.
    pub fn change(&mut self, id: &str, state: Option<VmState>) {
        self.advance();
        self.pending.push_back((Instant::now(), id.into(), state));
        while self.pending.len() > MAX_PENDING {
            self.apply_oldest();
        }
    }

    /// Stops or resumes the list.
    pub fn freeze(&mut self, frozen: bool) {
        self.advance();
        self.frozen = frozen;
    }

    /// The list as readers see it now.
    pub fn list(&mut self) -> Vec<VmRecord> {
        self.advance();
        self.visible
            .iter()
            .map(|(id, state)| VmRecord {
                id: id.clone(),
                state: *state,
            })
            .collect()
    }

    fn advance(&mut self) {
        while !self.frozen
            && self
                .pending
                .front()
                .is_some_and(|(since, _, _)| since.elapsed() >= self.lag)
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
