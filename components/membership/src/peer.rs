//! State of one peer, and the check which of its incarnations is the newest.

use std::time::Duration;

use config::Incarnation;
use smallvec::SmallVec;

use crate::heartbeat::{Heartbeat, ProcessState};

/// Maximum number of replaced incarnations remembered per VM.
const MAX_REPLACED: usize = 16;

/// Liveness of a VM, judged by the age of its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// A recent heartbeat is known.
    Alive,
    /// No heartbeat for `suspect_after` (1.5 s by default), or none received directly so far.
    Suspected,
    /// No heartbeat for `dead_after` (5 s by default).
    Dead,
}

/// Effect of a heartbeat on the state of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Update {
    /// Newer than the last heartbeat of the known incarnation.
    Newer,
    /// The first heartbeat of the VM, or from an incarnation that replaces the known one.
    Replaced,
    /// Not newer than the last heartbeat of the known incarnation.
    Stale,
    /// From an incarnation that was replaced or is older than the known one.
    OldIncarnation,
}

#[derive(Debug)]
pub(crate) struct Peer {
    added_at: Duration,
    /// Time of the last heartbeat that another peer reported to have received from it.
    last_relayed: Duration,
    last_heartbeat: Option<(Duration, Heartbeat)>,
    /// Replaced incarnations, newest last; their heartbeats are rejected.
    replaced: SmallVec<[Incarnation; 2]>,
}

impl Peer {
    pub(crate) fn new(now: Duration) -> Peer {
        Peer {
            added_at: now,
            last_relayed: now,
            last_heartbeat: None,
            replaced: SmallVec::new(),
        }
    }

    /// Returns the last accepted heartbeat and its time of arrival.
    pub(crate) fn last_heartbeat(&self) -> Option<(Duration, &Heartbeat)> {
        self.last_heartbeat.as_ref().map(|(at, hb)| (*at, hb))
    }

    /// Returns when this process last received a heartbeat from the peer, or added the peer.
    pub(crate) fn last_seen_directly(&self) -> Duration {
        self.last_heartbeat
            .as_ref()
            .map_or(self.added_at, |(at, _)| *at)
    }

    /// Returns when this process or another peer last received a heartbeat from the peer, or when
    /// this process added it.
    pub(crate) fn last_seen(&self) -> Duration {
        self.last_seen_directly().max(self.last_relayed)
    }

    /// Records that another peer received a heartbeat from this one at `at`.
    pub(crate) fn record_relayed(&mut self, at: Duration) {
        self.last_relayed = self.last_relayed.max(at);
    }

    /// Applies a heartbeat. `is_silent` tells whether this process has received no heartbeat from
    /// the known incarnation for `dead_after`.
    pub(crate) fn update(&mut self, hb: &Heartbeat, now: Duration, is_silent: bool) -> Update {
        let Some((at, known)) = &mut self.last_heartbeat else {
            self.last_heartbeat = Some((now, hb.clone()));
            return Update::Replaced;
        };
        if known.incarnation == hb.incarnation {
            if hb.uptime <= known.uptime {
                return Update::Stale;
            }
            // A late or forged heartbeat must not make a leaving process ready again.
            let state = known.state.max(hb.state);
            *at = now;
            *known = hb.clone();
            known.state = state;
            return Update::Newer;
        }
        // An incarnation that was already running when the last heartbeat of the known one arrived
        // is not its successor. The rule does not apply once the known incarnation counts as dead,
        // because arrival times are unreliable after this process was paused.
        let is_older = !is_silent && now.saturating_sub(hb.uptime) < *at;
        if is_older || self.replaced.contains(&hb.incarnation) {
            return Update::OldIncarnation;
        }
        if self.replaced.len() == MAX_REPLACED {
            self.replaced.remove(0);
        }
        self.replaced.push(known.incarnation);
        *at = now;
        *known = hb.clone();
        Update::Replaced
    }

    pub(crate) fn state(&self) -> Option<ProcessState> {
        self.last_heartbeat.as_ref().map(|(_, hb)| hb.state)
    }
}
