//! Responses of the backend server stand-in, well-formed or with faults.

use serde::{Deserialize, Serialize};

use super::faults::ResponseFault;
use crate::connection::{ReceivedRequest, Reply, Response};

/// Limit of the size that `x-answer-bytes` asks for.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Response body with which a client verifies that the response is complete and belongs to its
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoBody {
    /// [`ServerSettings::name`](super::ServerSettings::name).
    pub server: Box<str>,
    pub method: Box<str>,
    /// Path and query of the request.
    pub path: Box<str>,
    /// Size of the request body in bytes.
    pub body_length: usize,
    /// `x-request-id` of the request.
    pub request_id: Box<str>,
    /// Padding up to the requested size.
    pub pad: String,
    /// `x-request-id` again as the last field, so that a truncated body is noticed.
    pub end: Box<str>,
}

/// Builds the response to a request, padded to the size in `x-answer-bytes` or to `default_bytes`.
pub(super) fn echo_response(
    server: &str,
    request: &ReceivedRequest,
    default_bytes: usize,
) -> Response {
    let url = request.head.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let request_id: Box<str> = request.header("x-request-id").unwrap_or_default().into();
    let mut echo_body = EchoBody {
        server: server.into(),
        method: request.head.method().to_string().into(),
        path: path.into(),
        body_length: request.body.len(),
        end: request_id.clone(),
        request_id,
        pad: String::new(),
    };
    let requested = request
        .header_as_number("x-answer-bytes")
        .map_or(default_bytes, |n| n as usize);
    let length = serde_json::to_vec(&echo_body).map_or(0, |body| body.len());
    echo_body.pad = "x".repeat(requested.min(MAX_RESPONSE_BYTES).saturating_sub(length));
    Response::json(200, &echo_body)
}

/// Applies a fault to a well-formed response.
pub(super) fn apply_fault(response: &Response, fault: ResponseFault) -> Reply {
    let length = response.body.len();
    let (lengths, sent): (&[usize], usize) = match fault {
        ResponseFault::Truncate => (&[length], length / 2),
        ResponseFault::TwoLengths => (&[length, length / 2], length),
        ResponseFault::NoLength => (&[], length),
        ResponseFault::Close | ResponseFault::CloseBeforeWork => return Reply::Close,
    };
    let mut bytes = response.head(lengths);
    bytes.extend_from_slice(&response.body[..sent]);
    Reply::Raw(bytes)
}
