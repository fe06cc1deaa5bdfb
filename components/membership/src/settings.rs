//! Intervals, timeouts and limits of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between heartbeat rounds.
    pub round_interval: Duration,
    /// Maximum number of peers contacted per round.
    pub fan_out: usize,
    /// Time without a heartbeat after which a peer is suspected.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a peer is considered dead.
    pub dead_after: Duration,
    /// Time without a heartbeat after which a change of the slot split no longer waits for a
    /// peer, even if the VM list does not report it as gone.
    pub confirm_timeout: Duration,
    /// Pause of this process after which it holds no share until its peers confirm it again.
    pub fence_after: Duration,
    /// Maximum delivery time of a heartbeat between two running processes.
    pub max_delivery_delay: Duration,
    /// Age at which the weight of a digest has halved.
    pub digest_half_life: Duration,
    /// Age from which a digest has no weight.
    pub digest_max_age: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            round_interval: Duration::from_millis(500),
            fan_out: 8,
            suspect_after: Duration::from_millis(1500),
            dead_after: Duration::from_secs(5),
            confirm_timeout: Duration::from_secs(30),
            fence_after: Duration::from_secs(2),
            max_delivery_delay: Duration::from_secs(1),
            digest_half_life: Duration::from_secs(3),
            digest_max_age: Duration::from_secs(15),
        }
    }
}

impl MembershipSettings {
    /// Time in which the rotation contacts each of `peers` peers once.
    pub fn rotation_period(&self, peers: usize) -> Duration {
        self.round_interval * peers.div_ceil(self.fan_out.max(1)) as u32
    }

    /// Maximum age at which a heartbeat of one of `peers` peers confirms the slot split: one
    /// rotation plus the delivery delay, but at least `suspect_after`.
    pub fn max_confirmation_age(&self, peers: usize) -> Duration {
        self.suspect_after
            .max(self.rotation_period(peers) + self.max_delivery_delay)
    }

    /// How long all peers must agree on a set of members before older sets are released.
    ///
    /// This exceeds the age of any announcement that a peer may still rely on: it may be held up
    /// by a pause of the sender, in transit, and by a pause of the receiver, and is then valid for
    /// `max_confirmation_age`.
    pub fn settle_time(&self, peers: usize) -> Duration {
        self.max_confirmation_age(peers) + self.fence_after * 2 + self.max_delivery_delay
    }
}
