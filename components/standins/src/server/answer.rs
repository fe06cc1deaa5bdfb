//! Answers of the backend server stand-in, good and bad ones.

use serde::{Deserialize, Serialize};

use super::faults::BadAnswer;
use crate::connection::{Answer, Call, Reply};

/// Longest answer body in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Body of an answer; shows to which request it belongs and that it is complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the server.
    pub server: Box<str>,
    /// Method of the request.
    pub method: Box<str>,
    /// Path and query of the request.
    pub path: Box<str>,
    /// Length of the request body.
    pub body_length: usize,
    /// `x-request-id` of the request.
    pub request_id: Box<str>,
    /// Fills the answer up to the size that was asked for.
    pub pad: String,
    /// `x-request-id` once more, at the end of the body.
    pub end: Box<str>,
}

/// The answer to a request, with at least `default_bytes` or the size that was asked for.
pub(super) fn echo(server: &str, call: &Call, default_bytes: usize) -> Answer {
    let url = call.req.url();
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let request_id: Box<str> = call.header("x-request-id").unwrap_or_default().into();
    let mut echo = Echo {
        server: server.into(),
        method: call.req.method().to_string().into(),
        path: path.into(),
        body_length: call.body.len(),
        end: request_id.clone(),
        request_id,
        pad: String::new(),
    };
    let wanted = call
        .number("x-answer-bytes")
        .map_or(default_bytes, |n| n as usize);
    let length = serde_json::to_vec(&echo).map_or(0, |body| body.len());
    echo.pad = "x".repeat(wanted.min(MAX_ANSWER).saturating_sub(length));
    Answer::json(200, &echo)
}

/// Turns an answer into a bad one.
pub(super) fn spoil(answer: &Answer, bad: BadAnswer) -> Reply {
    let length = answer.body.len();
    let (lengths, sent): (&[usize], usize) = match bad {
        BadAnswer::Cut => (&[length], length / 2),
        BadAnswer::TwoLengths => (&[length, length / 2], length),
        BadAnswer::NoLength => (&[], length),
        BadAnswer::Close | BadAnswer::CloseBeforeWork => return Reply::Close,
    };
    let mut bytes = answer.head(lengths);
    bytes.extend_from_slice(&answer.body[..sent]);
    Reply::Raw(bytes)
}
