//! Heartbeats, incarnations, slot split members and digests of other failure domains.
//!
//! All code here is pure: messages, VM lists, the time since process start and randomness are
//! passed in.

mod digest;
mod heartbeat;
mod membership;
mod peer;
mod settings;
mod split;

pub use digest::{Digest, DigestWire, Digests};
pub use heartbeat::{Heartbeat, HeartbeatError, HeartbeatWire, VmState};
pub use membership::{Contacts, Heard, Membership};
pub use peer::Liveness;
pub use settings::MemberSettings;
pub use split::{Members, Split};
