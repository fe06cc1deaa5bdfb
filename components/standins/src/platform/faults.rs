//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Faults in force; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every connection is closed instead of answered; `/faults` and `/stats` still work.
    pub down: bool,
    /// Delay before a request takes effect, in milliseconds. A write whose client has given up
    /// still takes effect after it.
    pub slow_ms: u64,
    /// Number of next writes that take effect without an answer.
    pub lose_answers: u64,
    /// Number of next writes that are dropped without effect and without an answer.
    pub lose_requests: u64,
    /// Lost answers and requests concern only transactions, not object writes.
    pub lose_only_transactions: bool,
    /// The VM list does not change any more.
    pub freeze_vms: bool,
    /// How objects are read.
    pub objects: ObjectFault,
    /// Added to the platform's clock, in milliseconds.
    pub time_offset_ms: i64,
}

/// How the object store returns objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectFault {
    /// As they were written.
    #[default]
    None,
    /// With one wrong byte.
    Corrupt,
    /// Without their second half.
    Truncate,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteFate {
    /// Takes effect and is answered.
    Answered,
    /// Takes effect without an answer.
    AnswerLost,
    /// Neither takes effect nor is answered.
    RequestLost,
}

impl PlatformFaults {
    /// Decides about the next write and counts it.
    pub(super) fn next_write(&mut self, transaction: bool) -> WriteFate {
        if self.lose_only_transactions && !transaction {
            WriteFate::Answered
        } else if self.lose_requests > 0 {
            self.lose_requests -= 1;
            WriteFate::RequestLost
        } else if self.lose_answers > 0 {
            self.lose_answers -= 1;
            WriteFate::AnswerLost
        } else {
            WriteFate::Answered
        }
    }
}
