//! Names and formats that a platform chooses for the messages that the gateway exchanges with
//! callers and servers.

use std::net::SocketAddr;
use std::time::Duration;

/// Names of header fields; all in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: &'static str,
    /// Object that a request concerns.
    pub object: &'static str,
    /// Signature of a server under its answer.
    pub signature: &'static str,
    /// Id of the only server that may run the request.
    pub expected_server: &'static str,
    /// Load of the server that answers.
    pub load: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
}

/// A look-up of entry VMs by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookUpQuery {
    /// Host that the caller wants to reach.
    pub host: Box<str>,
    /// Region of the caller.
    pub region: Box<str>,
    /// Failure domain of the caller.
    pub domain: Box<str>,
}

/// Names and formats of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Path of look-ups.
    pub look_up_path: &'static str,
    /// Reads the query of a look-up.
    pub parse_look_up: fn(&str) -> LookUpQuery,
    /// Encodes the answer to a look-up: addresses and the time for which they may be kept.
    pub encode_look_up: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Media type of look-up answers.
    pub look_up_content_type: &'static str,
    /// Reads the load that a server reports.
    pub parse_load: fn(&str) -> Option<dispatch::LoadReport>,
}
