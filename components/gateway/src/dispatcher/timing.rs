//! Periods and time limits of messages between entry VMs.

use std::time::Duration;

/// Time between two rounds of repeats and decisions.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between heartbeats to entry VMs of the region.
pub const OWN_REGION_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between heartbeats to other regions by an entry VM that speaks for its region.
pub const OTHER_REGION_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(550);
/// Time between heartbeats to other regions by any entry VM; keeps it known there. Half of the
/// silence after which heartbeats to it become few.
pub const RARE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(30);
/// Time between heartbeats to entry VMs that have been silent for long; bounds how late two sides
/// of a partition meet again.
pub const SILENT_MEMBER_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between measurements of the round trips to other regions.
pub const ROUND_TRIP_INTERVAL: Duration = Duration::from_millis(1100);
/// Time between comparisons of the known entry VMs with those that another one knows. Each finds
/// what was missed when both started at the same time, or without the platform.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(5);
/// Time between reports of pools to other regions.
pub const POOL_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered ask is repeated; over ten round trips between domains.
pub const REQUEST_RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// Unanswered asks after which the own pool decides.
pub const MAX_UNANSWERED: u32 = 3;
/// Time between checks that a waiting request is still known to the keeper.
pub const QUEUED_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an unconfirmed end is repeated.
pub const END_RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Unconfirmed ends after which the grant is left to expire.
pub const MAX_END_SENDS: u32 = 8;
/// Round trip to another region before it was measured.
pub const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(110);
