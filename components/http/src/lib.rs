//! Strict HTTP/1.1 client and server on top of async-h1, with result codes and authenticated
//! messages between entry VMs.
//!
//! async-h1 accepts a body shorter than its Content-Length as complete and takes the last of
//! several Content-Length headers. This crate therefore reads and validates each message head
//! itself and passes async-h1 a stream that ends exactly at the end of the message, or fails.

pub mod client;
pub mod codes;
mod error;
pub mod head;
pub mod peer;
pub mod server;
mod stream;

pub use error::{Error, Result};
pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
