//! One attempt at a backend server or at an entry VM of another failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use http::client::{self, ClientOptions};
use http::codes::{self, Code};
use http::{Body, Error, Response};

use crate::request::Outgoing;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How an attempt ended.
#[derive(Debug)]
pub enum Attempt {
    /// The server answered.
    Answer(Response),
    /// The server surely did not run the request.
    NotRun(&'static str),
    /// The server may have run the request.
    Unknown(Code),
}

/// Limits of the answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Longest body in bytes.
    pub max_body: u64,
    /// Bodies up to this many bytes are read whole before the caller sees the first byte.
    pub buffered: u64,
}

/// Sends a request once, on a new connection.
///
/// A reused idle connection that closes under the write would leave the outcome unsure.
pub async fn attempt(
    addr: SocketAddr,
    outgoing: &Outgoing,
    remaining: Duration,
    limits: AnswerLimits,
) -> Attempt {
    let options = ClientOptions {
        connect_timeout: CONNECT_TIMEOUT.min(remaining),
        timeout: remaining,
        max_body: limits.max_body,
    };
    let Ok(tcp) = client::connect(addr, options.connect_timeout).await else {
        return Attempt::NotRun("connect");
    };
    let sent = Box::pin(client::send(tcp, outgoing.build(remaining), &options)).await;
    let res = match sent {
        Ok(res) => res,
        Err(report) => return Attempt::Unknown(code_of(*report.current_context())),
    };
    if codes::is_shed(&res) {
        return Attempt::NotRun("shed");
    }
    match res.len() {
        Some(length) if length as u64 <= limits.buffered => buffer(res, remaining).await,
        _ => Attempt::Answer(res),
    }
}

/// Reads the whole body.
pub async fn buffer(mut res: Response, limit: Duration) -> Attempt {
    match runtime::timeout(limit, res.body_bytes()).await {
        Some(Ok(bytes)) => {
            res.set_body(Body::from_bytes(bytes));
            Attempt::Answer(res)
        }
        Some(Err(_)) => Attempt::Unknown(Code::AnswerCut),
        None => Attempt::Unknown(Code::AnswerTimeout),
    }
}

fn code_of(error: Error) -> Code {
    match error {
        Error::Timeout => Code::AnswerTimeout,
        Error::Truncated => Code::AnswerCut,
        Error::BadHead(_) | Error::HeadTooLong | Error::BodyTooLong => Code::AnswerInvalid,
        _ => Code::ConnectionLost,
    }
}
