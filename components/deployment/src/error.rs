//! Errors from starting and using a deployment.

use std::fmt;

/// Why a deployment could not be started or used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// A listener could not be opened.
    Listen,
    /// The platform did not accept the configuration.
    Apply,
    /// The entry VMs did not reach the expected state in time.
    NotReady,
    /// No entry VM returned a valid look-up response.
    LookUp,
    /// A request could not be sent, or its response could not be read.
    Exchange,
    /// A child process could not be started, killed or waited for.
    Process,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Listen => "cannot open a listener on loopback",
            Error::Apply => "cannot apply the configuration",
            Error::NotReady => "the entry VMs did not reach the expected state in time",
            Error::LookUp => "no entry VM returned a valid look-up response",
            Error::Exchange => "the HTTP exchange with the entry VM failed",
            Error::Process => "cannot start, kill or wait for the child process of an entry VM",
        })
    }
}

impl std::error::Error for Error {}

pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
