//! Fault injection of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Active faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every request closes its connection without a response, except `/faults` and `/stats`.
    pub down: bool,
    /// Delay before a request takes effect, in milliseconds. A write takes effect after it even if
    /// the client has timed out.
    pub slow_ms: u64,
    /// Number of following writes that take effect but get no response.
    pub lose_answers: u64,
    /// Number of following writes that have no effect and get no response; applied before
    /// `lose_answers`.
    pub lose_requests: u64,
    /// `lose_answers` and `lose_requests` apply to transactions only, not to object writes.
    pub lose_only_transactions: bool,
    /// Changes of the VM list do not become visible.
    pub freeze_vms: bool,
    /// Fault of object reads.
    pub objects: ObjectFault,
    /// Added to the platform's clock, in milliseconds.
    pub time_offset_ms: i64,
}

/// Fault of object reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectFault {
    /// Objects are returned as written.
    #[default]
    None,
    /// One bit of the object is flipped.
    Corrupt,
    /// The second half of the object is missing.
    Truncate,
}

/// Fault of a single write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteFault {
    /// The write takes effect and gets a response.
    None,
    /// The write takes effect and gets no response.
    LoseResponse,
    /// The write has no effect and gets no response.
    LoseRequest,
}

impl PlatformFaults {
    /// Returns the fault of the next write and decrements the counter of that fault.
    pub(super) fn next_write_fault(&mut self, transaction: bool) -> WriteFault {
        if self.lose_only_transactions && !transaction {
            WriteFault::None
        } else if self.lose_requests > 0 {
            self.lose_requests -= 1;
            WriteFault::LoseRequest
        } else if self.lose_answers > 0 {
            self.lose_answers -= 1;
            WriteFault::LoseResponse
        } else {
            WriteFault::None
        }
    }
}
