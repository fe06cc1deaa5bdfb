//! Strict HTTP/1.1 on async-h1: whole bodies, head checks, timeouts, result codes and
//! authenticated peer messages.
//!
//! async-h1 accepts a body shorter than its Content-Length as complete and takes the last of
//! several Content-Length headers. This crate therefore reads and checks each message head
//! itself and hands async-h1 a stream that ends exactly where the message ends, or fails.

pub mod client;
pub mod codes;
mod error;
pub mod head;
pub mod peer;
pub mod server;
mod stream;

pub use error::{Error, Result};
pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
