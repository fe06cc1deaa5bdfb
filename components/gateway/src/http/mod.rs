//! HTTP/1.1 messages on one connection, based on the parser `httparse`.
//!
//! The relay needs the end of each message, skips responses to other requests and reads pipelined
//! requests ahead; HTTP client and server libraries do not expose these.

mod body;
mod connection;
mod error;
mod head;
mod sent_ids;

pub use body::{Body, Framing};
pub use connection::{Connection, ConnectionHistory};
pub use error::{Error, Result};
pub use head::{Header, RequestHead, ResponseHead, is_hop_by_hop};
pub use sent_ids::MAX_SENT_IDS;
