//! HTTP API of the store stand-in; each connection carries a single call.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{EndlessPart, Shared, State, StoreFault};

/// Bytes of one write of a response without end.
const ENDLESS_WRITE_BYTES: usize = 64 * 1024;
/// Rows and bytes of each value in a page of a list without end.
const ENDLESS_PAGE: (u32, usize) = (500, 1500);
/// Limit of `wait-ms`.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// What happens to a call.
enum Outcome {
    /// It gets this status and body, and this value of `Store-Era` if any.
    Response {
        status: u16,
        value: Value,
        era: Option<String>,
    },
    /// Its connection is closed without a response.
    Close,
    /// It gets the start of a response, and the rest again and again until the client closes the
    /// connection.
    Endless(&'static str, &'static str),
    /// It gets no response, and its connection stays open.
    Silence,
}

/// Request of a call.
struct Request {
    path: String,
    query: BTreeMap<String, String>,
    body: Value,
}

/// Handles the single call of a connection.
pub(super) fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let Some(request) = read_request(&mut stream) else {
        return;
    };
    let (status, value, era) = match respond(&request, shared) {
        Outcome::Response { status, value, era } => (status, value, era),
        Outcome::Close => return,
        Outcome::Endless(start, repeated) => {
            let mut sent = stream.write_all(start.as_bytes());
            let bytes = repeated
                .as_bytes()
                .repeat(ENDLESS_WRITE_BYTES / repeated.len());
            while sent.is_ok() {
                sent = stream.write_all(&bytes);
            }
            return;
        }
        Outcome::Silence => {
            // Returns when the client closes the connection.
            let _ = stream.read(&mut [0]);
            return;
        }
    };
    let body = value.to_string();
    let era = era.map_or(String::new(), |e| format!("Store-Era: {e}\r\n"));
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
        body.len()
    );
    // Fails if the client has closed the connection, which needs no handling.
    let _ = stream.write_all((head + &body).as_bytes());
}

fn respond(request: &Request, shared: &Shared) -> Outcome {
    let mut state = shared.lock();
    if state.count_call() {
        return state.response(429, json!({}));
    }
    if let Some(StoreFault::Slow(delay)) = state.fault {
        drop(state);
        thread::sleep(delay);
        state = shared.lock();
    }
    if state.fault == Some(StoreFault::Silent) {
        return Outcome::Silence;
    }
    let wait = Duration::from_millis(request.query_number("wait-ms")).min(MAX_FEED_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        // A fault also ends waiting calls, as when the store goes down.
        match state.fault {
            Some(StoreFault::Refuse(status)) => return state.response(status, json!({})),
            Some(StoreFault::Reset) => return Outcome::Close,
            Some(StoreFault::Endless(EndlessPart::Head)) => {
                return Outcome::Endless("HTTP/1.1 200 OK\r\n", "A: b\r\n");
            }
            Some(StoreFault::Endless(EndlessPart::Body)) => {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                return Outcome::Endless(head, "4\r\n    \r\n");
            }
            Some(StoreFault::Endless(EndlessPart::Pages)) => {
                return match &*request.path {
                    "/rosemaryglade/rows-get" => state.response(200, endless_page(request)),
                    _ => state.response(410, json!({})),
                };
            }
            Some(StoreFault::Garbage) => return state.response(200, Value::Null),
            _ => {}
        }
        if let Some((status, value)) = state.handle(request) {
            return match state.fault {
                Some(StoreFault::LoseAnswers) => Outcome::Close,
                Some(StoreFault::Silent) => Outcome::Silence,
                _ => state.response(status, value),
            };
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            if state.fault == Some(StoreFault::Silent) {
                return Outcome::Silence;
            }
            return state.response(200, state.response_body(&[]));
        }
        state = match shared.changed.wait_timeout(state, remaining) {
            Ok((state, _)) => state,
            Err(e) => e.into_inner().0,
        };
    }
}

/// Returns the page of a list without end that begins after the `range-start` of a call.
fn endless_page(request: &Request) -> Value {
    let start = request.query.get("range-start").map_or("", String::as_str);
    let first: u32 = start.parse().unwrap_or(0);
    let value = "A".repeat(ENDLESS_PAGE.1);
    let keys = (1..=ENDLESS_PAGE.0).map(|i| format!("{:010}", first + i));
    let rows: Vec<Value> = keys
        .map(|key| json!({"key": key, "value": value, "version-number": 1}))
        .collect();
    json!({"rows": rows, "version-number": 1_000_000, "has-more": true})
}

impl State {
    fn response(&self, status: u16, value: Value) -> Outcome {
        Outcome::Response {
            status,
            value,
            era: self.era_header(),
        }
    }

    /// Executes a call; returns `None` if a feed has no changes yet.
    fn handle(&mut self, request: &Request) -> Option<(u16, Value)> {
        let table = request.query.get("table").map_or("", String::as_str);
        match &*request.path {
            "/rosemaryglade/rows-get" => {
                let start = request.query.get("range-start").map_or("", String::as_str);
                Some(self.list(table, start))
            }
            "/rosemaryglade/rows-feed" => self.changes(table, request.query_number("after")),
            "/rosemaryglade/rows-tx" => Some(self.transact(&request.body)),
            _ => Some((404, json!({}))),
        }
    }
}

impl Request {
    fn query_number(&self, name: &str) -> u64 {
        let value = self.query.get(name);
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head
        .lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
        .map_or(Some(0), |(_, v)| v.trim().parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let target = head.split(' ').nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query
            .map(|(n, v)| (n.to_owned(), percent_decode(v)))
            .collect(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&b, after)) = rest.split_first() {
        let hex = (b == b'%')
            .then(|| after.get(..2))
            .flatten()
            .and_then(|h| std::str::from_utf8(h).ok())
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        bytes.push(hex.unwrap_or(b));
        rest = if hex.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
