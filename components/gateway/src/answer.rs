//! Answers to callers.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use crate::codes::{CODE_HEADER, Code, OUTCOME_HEADER};
use crate::dispatcher::Slot;
use crate::http::{Body, Connection, Error, Header, ResponseHead, is_hop_by_hop};
use crate::memory::Reservation;

/// Remainder of a body that is too long to buffer, to be streamed from the server.
#[derive(Debug)]
pub struct Rest {
    /// Id of the request.
    pub id: Box<str>,
    /// Address of the server, or of the entry VM that relayed the request to it.
    pub address: SocketAddr,
    /// Connection to the server, or to the entry VM that relayed the request to it.
    pub connection: Connection,
    /// State of the body on that connection.
    pub body: Body,
    /// Uptime at which the deadline of the request passes. The body is cut then: it may have no end.
    pub deadline_at: Duration,
    /// Slot of the server, in use until the body is complete; `None` if another entry VM relayed
    /// the answer.
    pub _slot: Option<Slot>,
}

/// Why the body of an answer was cut after its start had been written to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutBy {
    /// The connection to the server failed or ended too early, or what it sent was malformed.
    Server,
    /// The connection to the caller failed.
    Caller,
    /// The deadline of the request, or the time limit for writing, passed.
    Deadline,
}

impl CutBy {
    fn label(self) -> &'static str {
        match self {
            CutBy::Server => "server",
            CutBy::Caller => "caller",
            CutBy::Deadline => "deadline",
        }
    }
}

impl Rest {
    /// Logs and counts an answer whose body is not passed on to its end.
    pub fn record_cut(&self, by: CutBy, error: Error) {
        let by = by.label();
        metrics::counter!("gateway_answers_cut_total", "by" => by).increment(1);
        log::info!(
            "event=answer_cut id={} address={} by={by} error=\"{error}\"",
            self.id,
            self.address
        );
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    reason: Box<str>,
    headers: Vec<Header>,
    /// Body, or the buffered start of it.
    pub body: Vec<u8>,
    /// Reservation of the memory that `body` takes, for answers of servers.
    pub memory: Option<Reservation>,
    /// Remainder of the body after `body`.
    pub rest: Option<Rest>,
    /// `Content-Length` of an answer to HEAD, which has no body.
    head_length: Option<u64>,
    /// Result code of an answer that the gateway generated itself.
    pub code: Option<Code>,
}

impl Answer {
    /// Creates an answer that the gateway generates itself, without a body.
    pub fn own(code: Code, retry_after: Option<Duration>) -> Self {
        let (status, reason) = code.status();
        let mut answer = Answer::plain(status, reason, Vec::new());
        answer.add(CODE_HEADER, &code.number().to_string());
        answer.add(OUTCOME_HEADER, code.outcome());
        if let Some(after) = retry_after {
            answer.add("Retry-After", &format!("{:.3}", after.as_secs_f64()));
        }
        answer.code = Some(code);
        answer
    }

    /// Creates an answer without header fields.
    pub fn plain(status: u16, reason: &str, body: Vec<u8>) -> Self {
        Answer {
            status,
            reason: reason.into(),
            headers: Vec::new(),
            body,
            memory: None,
            rest: None,
            head_length: None,
            code: None,
        }
    }

    /// Creates an answer from that of a server, without hop-by-hop header fields.
    pub fn passed_on(head: ResponseHead, method: &str, body: Vec<u8>, rest: Option<Rest>) -> Self {
        let head_length = (method == "HEAD")
            .then(|| head.get("content-length").and_then(|v| v.parse().ok()))
            .flatten();
        let headers = head
            .headers
            .into_iter()
            .filter(|h| !is_hop_by_hop(&h.name) && !h.name.eq_ignore_ascii_case("content-length"))
            .collect();
        Answer {
            status: head.status,
            reason: head.reason,
            headers,
            body,
            memory: None,
            rest,
            head_length,
            code: None,
        }
    }

    pub fn add(&mut self, name: &str, value: &str) {
        self.headers.push(Header {
            name: name.into(),
            value: value.as_bytes().into(),
        });
    }

    /// Like [`Answer::encode`], and frees the buffered part of the body.
    pub fn take_encoded(&mut self, close: bool) -> Vec<u8> {
        let bytes = self.encode(close);
        self.body = Vec::new();
        bytes
    }

    /// Encodes the head and the buffered part of the body. If more of the body follows, the
    /// transfer encoding is chunked.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(256 + self.body.len());
        // Writing to a vector cannot fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, self.reason);
        for h in &self.headers {
            out.extend_from_slice(h.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&h.value);
            out.extend_from_slice(b"\r\n");
        }
        if self.rest.is_some() {
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        } else if !matches!(self.status, 100..=199 | 204 | 304) {
            let length = self.head_length.unwrap_or(self.body.len() as u64);
            let _ = write!(out, "Content-Length: {length}\r\n");
        }
        if close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        if self.rest.is_some() {
            append_chunk(&mut out, &self.body);
        } else {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

/// Appends a chunk, unless `bytes` is empty: an empty chunk would end the body.
pub fn append_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
