//! Errors of the platform client.

use std::fmt;

/// Why a request to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection to the platform could be opened, so nothing was sent.
    NotSent,
    /// The platform rejected the request with this HTTP status; the request has no effect.
    Refused(u16),
    /// The request was sent, but no valid response was received. A write may have taken effect, may
    /// take effect later, or may never do so.
    Unknown,
    /// The object does not exist.
    ObjectNotFound,
    /// The content of an object does not match the hash in its name.
    CorruptObject,
    /// The value of a row has an unexpected format.
    InvalidRow,
    /// A row or object name is not valid; nothing was sent.
    InvalidName,
}

impl Error {
    /// Returns whether a write that failed with this error may take effect, now or later.
    pub fn may_take_effect(self) -> bool {
        self == Error::Unknown
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent => f.write_str("the platform cannot be reached; nothing was sent"),
            Error::Refused(status) => {
                write!(f, "the platform refused the request with status {status}")
            }
            Error::Unknown => f.write_str("the platform did not answer a request that was sent"),
            Error::ObjectNotFound => f.write_str("the object does not exist"),
            Error::CorruptObject => f.write_str("the object does not match its hash"),
            Error::InvalidRow => f.write_str("the row has an unexpected format"),
            Error::InvalidName => f.write_str("names have 1 to 256 characters of [A-Za-z0-9/_.:-]"),
        }
    }
}

impl std::error::Error for Error {}

pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
