//! HTTP/1.1 messages on one connection, over the parser of `httparse`.
//!
//! A relay has to see where each message ends, skip answers that belong to other requests and read
//! pipelined requests, which client and server libraries hide.

mod body;
mod connection;
mod error;
mod head;

pub use body::{Body, Framing};
pub use connection::Connection;
pub use error::{Error, Result};
pub use head::{Header, RequestHead, ResponseHead, is_hop_by_hop};
