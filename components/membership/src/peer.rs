//! What is known about one peer, and which of its processes is the newest.

use std::time::Duration;

use config::Incarnation;
use smallvec::SmallVec;

use crate::heartbeat::{Heartbeat, VmState};

/// Incarnations remembered per VM as replaced.
const MAX_SEEN: usize = 16;

/// Whether a VM is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Heard recently.
    Alive,
    /// Not heard for 1.5 s, or not at all so far.
    Suspected,
    /// Not heard for 5 s.
    Dead,
}

/// How a heartbeat changed what is known about its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Update {
    /// Newer news of the known process.
    Newer,
    /// News of a process that replaces the known one.
    Replaced,
    /// Not newer than what is known.
    Repeated,
    /// From a process that was replaced.
    Old,
}

#[derive(Debug)]
pub(crate) struct Peer {
    known_since: Duration,
    /// When another peer heard it, as far as that peer told.
    relayed: Duration,
    heard: Option<(Duration, Heartbeat)>,
    /// Replaced incarnations, newest last. They are never accepted again.
    seen: SmallVec<[Incarnation; 2]>,
}

impl Peer {
    pub(crate) fn new(now: Duration) -> Peer {
        Peer {
            known_since: now,
            relayed: now,
            heard: None,
            seen: SmallVec::new(),
        }
    }

    /// Last accepted heartbeat and when it arrived.
    pub(crate) fn heard(&self) -> Option<(Duration, &Heartbeat)> {
        self.heard.as_ref().map(|(at, hb)| (*at, hb))
    }

    /// When it was last heard by this process, or became known.
    pub(crate) fn last_heard(&self) -> Duration {
        self.heard.as_ref().map_or(self.known_since, |(at, _)| *at)
    }

    /// When it was last heard by this process or another one, or became known.
    pub(crate) fn last_sign(&self) -> Duration {
        self.last_heard().max(self.relayed)
    }

    /// Another peer heard it at `at`.
    pub(crate) fn on_relayed(&mut self, at: Duration) {
        self.relayed = self.relayed.max(at);
    }

    /// Takes a heartbeat. `is_silent` tells whether this process has not heard the
    /// known one for so long that it counts as dead.
    pub(crate) fn update(&mut self, hb: &Heartbeat, now: Duration, is_silent: bool) -> Update {
        let Some((at, known)) = &mut self.heard else {
            self.heard = Some((now, hb.clone()));
            return Update::Replaced;
        };
        if known.incarnation == hb.incarnation {
            if hb.uptime <= known.uptime {
                return Update::Repeated;
            }
            // A process that left stays out: late or forged news never makes it ready again.
            let state = known.state.max(hb.state);
            *at = now;
            *known = hb.clone();
            known.state = state;
            return Update::Newer;
        }
        // A process that was running before the known one was last heard is not its successor.
        // The rule ends with the known process: after own pauses the times of arrival mislead.
        let is_older = !is_silent && now.saturating_sub(hb.uptime) < *at;
        if is_older || self.seen.contains(&hb.incarnation) {
            return Update::Old;
        }
        if self.seen.len() == MAX_SEEN {
            self.seen.remove(0);
        }
        self.seen.push(known.incarnation);
        *at = now;
        *known = hb.clone();
        Update::Replaced
    }

    pub(crate) fn state(&self) -> Option<VmState> {
        self.heard.as_ref().map(|(_, hb)| hb.state)
    }
}
