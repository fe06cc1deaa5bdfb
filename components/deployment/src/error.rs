//! Errors of a deployment inside one process.

use std::fmt;

/// Why a deployment could not be started or used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// A listener could not be opened.
    Listen,
    /// The configuration could not be applied.
    Apply,
    /// The entry VMs did not become ready in time.
    NotReady,
    /// A look-up failed.
    LookUp,
    /// A request could not be sent or its answer not be read.
    Exchange,
    /// A child process could not be started, ended or signalled.
    Process,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Listen => "a listener cannot be opened on loopback",
            Error::Apply => "the configuration cannot be applied",
            Error::NotReady => "the entry VMs did not become ready in time",
            Error::LookUp => "the look-up failed",
            Error::Exchange => "the exchange failed",
            Error::Process => "a child process of an entry VM failed",
        })
    }
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
