//! Errors of starting an entry VM.

use std::fmt;
use std::net::SocketAddr;

/// Why an entry VM could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The address could not be bound.
    Bind(SocketAddr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(address) => write!(
                f,
                "{address} could not be bound; check that the address is this machine's and free"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
