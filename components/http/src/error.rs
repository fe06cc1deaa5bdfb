//! Errors of HTTP exchanges.

use std::fmt;

/// What went wrong with an HTTP message or exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    Connect,
    /// The head breaks HTTP/1.1 or a rule of this system.
    InvalidHead(&'static str),
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The connection ended inside a message.
    Truncated,
    /// The connection ended before the first byte of a message.
    Closed,
    /// A time limit passed.
    Timeout,
    /// The operating system reported an error on the connection.
    Io,
    /// The body could not be decoded.
    InvalidBody,
    /// The keyed hash is missing or wrong.
    InvalidMac,
}

impl Error {
    /// Tells whether the peer may have seen the request.
    pub fn may_have_been_sent(self) -> bool {
        self != Error::Connect
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect => f.write_str("connection could not be opened"),
            Error::InvalidHead(reason) => write!(f, "invalid message head: {reason}"),
            Error::HeadTooLong => f.write_str("message head is too long"),
            Error::BodyTooLong => f.write_str("message body is too long"),
            Error::Truncated => f.write_str("connection ended inside a message"),
            Error::Closed => f.write_str("connection closed"),
            Error::Timeout => f.write_str("time limit passed"),
            Error::Io => f.write_str("connection failed"),
            Error::InvalidBody => f.write_str("message body could not be decoded"),
            Error::InvalidMac => f.write_str("keyed hash is missing or wrong"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
