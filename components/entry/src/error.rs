//! Errors of the daemon.

use std::fmt;

/// Why the daemon could not start or go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The settings are not usable.
    Settings,
    /// A listener could not be opened.
    Listen,
    /// Signals could not be subscribed to.
    Signals,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Settings => "the settings cannot be used",
            Error::Listen => "a listener cannot be opened; check the addresses in the settings",
            Error::Signals => "signals cannot be received",
        })
    }
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
