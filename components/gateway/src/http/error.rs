//! Errors of HTTP messages on a connection.

use std::fmt;

/// Why a message could not be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection ended before the first byte of a message.
    Closed,
    /// The connection ended inside a message.
    Truncated,
    /// The message violates HTTP/1.1 or a rule of the gateway.
    Malformed(&'static str),
    /// The status of a response is not within 100 to 599.
    InvalidStatus(u16),
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// A connection was not opened, or a response not written, within its time limit.
    Timeout,
    /// The operating system reported an error.
    Io(std::io::ErrorKind),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Closed => f.write_str("connection closed"),
            Error::Truncated => f.write_str("connection ended inside a message"),
            Error::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Error::InvalidStatus(status) => {
                write!(
                    f,
                    "malformed message: status {status:03} is not within 100 to 599"
                )
            }
            Error::HeadTooLong => f.write_str("message head is too long"),
            Error::BodyTooLong => f.write_str("message body is too long"),
            Error::Timeout => f.write_str("time limit passed"),
            Error::Io(kind) => write!(f, "connection failed: {kind}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Error::Io(e.kind())
    }
}

pub type Result<T> = std::result::Result<T, Error>;
