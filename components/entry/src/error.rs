//! Errors of the daemon.

use std::fmt;

/// Reason why the daemon cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The keys in the settings are invalid.
    Settings,
    /// A listener cannot be opened.
    Listen,
    /// The signal handler cannot be installed.
    Signals,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Settings => "invalid settings",
            Error::Listen => "cannot open a listener; check the addresses in the settings",
            Error::Signals => "cannot install the signal handler",
        })
    }
}

impl std::error::Error for Error {}

pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
