//! Errors of starting an entry VM.

use std::fmt;
use std::net::SocketAddr;

/// Reason for which an entry VM could not start.
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
                "cannot bind {address}: check that it is an address of this machine and not in use"
            ),
        }
    }
}

impl std::error::Error for Error {}

pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
