//! Platform-specific header names and formats of the messages that the gateway exchanges with
//! callers and servers.

use std::net::SocketAddr;
use std::time::Duration;

/// Names of header fields, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: &'static str,
    /// Time for which the sender waits for the answer, in milliseconds.
    pub deadline_ms: &'static str,
    /// Object that the request concerns, for object affinity.
    pub object: &'static str,
    /// Signature of the answer by the server.
    pub signature: &'static str,
    /// Id of the server that the request is meant for; any other server must not run it.
    pub expected_server: &'static str,
    /// Load report of the server that answers.
    pub load: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
}

/// A look-up of entry VMs by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookUpQuery {
    /// Host that the caller wants to send requests to.
    pub host: Box<str>,
    /// Region of the caller.
    pub region: Box<str>,
    /// Failure domain of the caller.
    pub domain: Box<str>,
}

/// Header names, paths and formats of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    pub headers: HeaderNames,
    pub readiness_path: &'static str,
    pub look_up_path: &'static str,
    /// Parses the query string of a look-up.
    pub parse_look_up: fn(&str) -> LookUpQuery,
    /// Encodes the answer to a look-up from the addresses and the time for which they may be
    /// cached.
    pub encode_look_up: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Media type of the answer to a look-up.
    pub look_up_content_type: &'static str,
    /// Parses the load report of a server.
    pub parse_load: fn(&str) -> Option<dispatch::LoadReport>,
}
