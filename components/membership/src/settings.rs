//! Times and bounds of the membership protocol.

use std::time::Duration;

/// Times and bounds of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between two rounds of heartbeats.
    pub round: Duration,
    /// Most peers contacted in a round.
    pub fan_out: usize,
    /// Silence after which a peer is suspected.
    pub suspect_after: Duration,
    /// Silence after which a peer is considered dead.
    pub dead_after: Duration,
    /// Silence after which a change of the slot split stops waiting for a peer that is not gone
    /// by the VM list.
    pub confirm_patience: Duration,
    /// Own pause after which this process holds no share until its peers confirmed it again.
    pub fence_after: Duration,
    /// Longest time that a heartbeat is under way between two running processes.
    pub delivery: Duration,
    /// Age at which a digest is worth half.
    pub digest_half_life: Duration,
    /// Age from which a digest is worth nothing.
    pub digest_limit: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            round: Duration::from_millis(500),
            fan_out: 8,
            suspect_after: Duration::from_millis(1500),
            dead_after: Duration::from_secs(5),
            confirm_patience: Duration::from_secs(30),
            fence_after: Duration::from_secs(2),
            delivery: Duration::from_secs(1),
            digest_half_life: Duration::from_secs(3),
            digest_limit: Duration::from_secs(15),
        }
    }
}

impl MemberSettings {
    /// Time in which the rotation covers `peers` peers.
    pub fn cover(&self, peers: usize) -> Duration {
        self.round * peers.div_ceil(self.fan_out.max(1)) as u32
    }

    /// Age up to which the heartbeat of one of `peers` peers confirms the slot split: a rotation
    /// and a late delivery, but at least the time of suspicion.
    pub fn fresh(&self, peers: usize) -> Duration {
        self.suspect_after.max(self.cover(peers) + self.delivery)
    }

    /// How long all peers must agree on a set of members before older sets are given up. It
    /// exceeds the age of any announcement that a peer may still rely on: paused at the sender,
    /// under way, paused at the receiver, and then fresh.
    pub fn settle(&self, peers: usize) -> Duration {
        self.fresh(peers) + self.fence_after * 2 + self.delivery
    }
}
