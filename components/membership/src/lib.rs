//! Membership of a failure domain: heartbeats, failure detection, agreement on the slot split, and
//! digests of other failure domains.
//!
//! This crate does no I/O and reads no clock: messages, VM lists, the time since process start and
//! the random number generator are passed in.

mod digest;
mod heartbeat;
mod membership;
mod peer;
mod settings;
mod split;

pub use digest::{Digest, DigestWire, Digests};
pub use heartbeat::{Heartbeat, HeartbeatError, HeartbeatWire, ProcessState};
pub use membership::{Contacts, HeartbeatOutcome, Membership};
pub use peer::Liveness;
pub use settings::MembershipSettings;
pub use split::{HeldMemberSets, MemberSet};
