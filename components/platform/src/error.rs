//! Errors of the platform client.

use std::fmt;

/// Why an exchange with the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection to the platform could be opened; nothing was sent.
    NotSent,
    /// The platform refused the request with this status; it has no effect.
    Refused(u16),
    /// The request was sent and no valid answer came. A write may have taken effect, may take
    /// effect later, or never.
    Unknown,
    /// There is no such object.
    ObjectNotFound,
    /// An object doesn't match its hash.
    CorruptObject,
    /// A row has an unexpected format.
    InvalidRow,
    /// A name has characters that the platform does not accept; nothing was sent.
    InvalidName,
}

impl Error {
    /// Tells whether a write that failed like this may have an effect, now or later.
    pub fn may_have_effect(self) -> bool {
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

/// Result of this crate.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
