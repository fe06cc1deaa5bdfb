//! Errors of the ledger.

use error_stack::Report;

/// Result of a ledger operation.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a ledger operation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The server is not in the configuration in force.
    UnknownServer,
    /// The loan has ended or was never made.
    UnknownLoan,
    /// The reply arrived after the end of the lease.
    LeaseEnded,
    /// No slot is idle.
    NoIdleSlot,
    /// This process was paused and has not been confirmed since.
    Paused,
    /// A loan with a fixed term cannot be extended.
    FixedTerm,
    /// The wanted fixed term is longer than any that is lent.
    TermTooLong,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::UnknownServer => "server is not in the configuration in force",
            Error::UnknownLoan => "slot loan has ended or was never made",
            Error::LeaseEnded => "reply to a loan request arrived after the end of the lease",
            Error::NoIdleSlot => "no idle slot to lend",
            Error::Paused => "process was paused and is not confirmed by its peers yet",
            Error::FixedTerm => "slot loan has a fixed term and cannot be extended",
            Error::TermTooLong => "wanted term of the loan is longer than the longest one lent",
        })
    }
}

impl std::error::Error for Error {}
