//! Errors of HTTP exchanges.

use std::fmt;

/// Why an HTTP message or exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    Connect,
    /// The head violates HTTP/1.1 or a stricter rule of this crate.
    InvalidHead(&'static str),
    /// The head exceeds the size limit.
    HeadTooLong,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The connection ended inside a message.
    Truncated,
    /// The connection ended before the first byte of a message.
    Closed,
    /// A timeout expired.
    Timeout,
    /// The operating system reported an error on the connection.
    Io,
    /// The body could not be decoded.
    InvalidBody,
    /// The message authentication code (MAC) is missing or wrong.
    InvalidMac,
}

impl Error {
    /// Returns whether the peer may have received the request.
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

pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
