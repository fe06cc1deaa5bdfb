//! One attempt at a backend server or at an entry VM of another failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use http::client::{self, ClientOptions};
use http::codes::{self, Code};
use http::{Body, Error, Request, Response};

use crate::node::Node;
use crate::reach;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of an attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The server answered.
    Answer(Box<Response>),
    /// It is certain that the server did not run the request.
    NotRun(NotRun),
    /// The server may have run the request.
    Unknown(Code),
}

/// Reason why a request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The connection could not be opened.
    Connect,
    /// The server must not get the request any more; nothing was sent.
    Withdrawn,
    /// The server refused the request without running it.
    Shed,
}

/// Limits of the answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLimits {
    /// Longest body in bytes; a longer one fails the attempt.
    pub max_body: u64,
    /// Bodies up to this many bytes are read whole before the first byte is forwarded.
    pub max_buffered: u64,
}

/// Opens a new connection; `None` means that nothing was sent.
pub async fn connect(node: &Node, addr: SocketAddr, remaining: Duration) -> Option<TcpStream> {
    reach::connect(&node.reachable, addr, CONNECT_TIMEOUT.min(remaining))
        .await
        .ok()
}

/// Sends a request on a connection and reads the answer.
pub async fn send_on(
    tcp: TcpStream,
    req: Request,
    remaining: Duration,
    limits: AnswerLimits,
) -> Attempt {
    let options = ClientOptions {
        timeout: remaining,
        max_body: limits.max_body,
        limit_delivery: true,
        ..ClientOptions::default()
    };
    let started = std::time::Instant::now();
    let mut res = match Box::pin(client::send(tcp, req, &options)).await {
        Ok(res) => res,
        Err(report) => return Attempt::Unknown(error_code(*report.current_context())),
    };
    // Only entry VMs set these headers; those of a server must not reach the caller.
    res.remove_header(codes::CODE_HEADER);
    res.remove_header(codes::OUTCOME_HEADER);
    if codes::is_shed(&res) {
        return Attempt::NotRun(NotRun::Shed);
    }
    match res.len() {
        Some(length) if length as u64 <= limits.max_buffered => {
            buffer_body(res, remaining.saturating_sub(started.elapsed())).await
        }
        _ => Attempt::Answer(Box::new(res)),
    }
}

/// Reads the whole body into memory.
async fn buffer_body(mut res: Response, limit: Duration) -> Attempt {
    match runtime::timeout(limit, res.body_bytes()).await {
        Some(Ok(bytes)) => {
            res.set_body(Body::from_bytes(bytes));
            Attempt::Answer(Box::new(res))
        }
        Some(Err(_)) => Attempt::Unknown(Code::AnswerCut),
        None => Attempt::Unknown(Code::AnswerTimeout),
    }
}

fn error_code(error: Error) -> Code {
    match error {
        Error::Timeout => Code::AnswerTimeout,
        Error::Truncated => Code::AnswerCut,
        Error::InvalidHead(_) | Error::HeadTooLong | Error::BodyTooLong => Code::AnswerInvalid,
        _ => Code::ConnectionLost,
    }
}
