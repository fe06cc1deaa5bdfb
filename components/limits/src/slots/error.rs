//! Errors of the slot ledger.

use error_stack::Report;

pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a ledger operation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The configuration in force has no such server.
    UnknownServer,
    /// The loan has expired, was returned or never existed.
    UnknownLoan,
    /// The reply to a loan request arrived too late to use the loan.
    LeaseEnded,
    /// No slot is free for the request or the loan.
    NoIdleSlot,
    /// This process was paused, or has just started, and its peers have not confirmed it since.
    Paused,
    /// A loan with a fixed term cannot be extended.
    FixedTerm,
    /// The requested term exceeds [`Settings::max_term`](super::Settings::max_term).
    TermTooLong,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::UnknownServer => "server is not in the configuration in force",
            Error::UnknownLoan => "slot loan has expired, was returned or never existed",
            Error::LeaseEnded => {
                "reply to a loan request arrived too late: the loan has expired or is about to"
            }
            Error::NoIdleSlot => "no free slot for the request or loan",
            Error::Paused => {
                "process was paused or has just started, and its peers have not confirmed it yet"
            }
            Error::FixedTerm => "slot loan has a fixed term and cannot be extended",
            Error::TermTooLong => "requested term of the slot loan exceeds the maximum",
        })
    }
}

impl std::error::Error for Error {}
