//! Intervals and limits for messages between entry VMs.

use std::time::Duration;

/// Interval of the periodic work: resending of messages and decisions about queued requests.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of heartbeats to entry VMs of the same region.
pub const OWN_REGION_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of heartbeats to other regions from an entry VM that represents its region there.
pub const OTHER_REGION_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(550);
/// Interval of heartbeats to other regions from every entry VM, so that it stays in their member
/// lists. Half of the silence after which it gets heartbeats less often.
pub const RARE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(30);
/// Interval of heartbeats to entry VMs that have been silent for a long time. Bounds how long the
/// two sides of a network partition take to find each other again.
pub const SILENT_MEMBER_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of measurements of the round-trip time to other regions.
pub const ROUND_TRIP_INTERVAL: Duration = Duration::from_millis(1100);
/// Interval at which the member list is compared with that of a random other member. This finds
/// members that were missed because both started at the same time, or without the platform.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of pool snapshots to other regions.
pub const POOL_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered admission request is sent again; more than ten round trips
/// between failure domains of a region.
pub const REQUEST_RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// Unanswered sends of an admission request after which the own pool decides about it.
pub const MAX_UNANSWERED: u32 = 3;
/// Time after which a queued request is sent again, in case the pool owner has lost it.
pub const QUEUED_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an unconfirmed end of a request is sent again.
pub const END_RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Number of times that the end of a request is sent; after that, the grant is left to expire at
/// the pool owner.
pub const MAX_END_SENDS: u32 = 8;
/// Assumed round-trip time to another region that has not been measured yet.
pub const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(110);
