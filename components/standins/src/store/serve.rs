//! The store's calls over HTTP, one for each connection.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Fault, Shared, State};

/// Longest wait of a feed call.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// A call.
struct Call {
    path: String,
    query: BTreeMap<String, String>,
    body: Value,
}

/// Answers the call on a connection.
pub(super) fn serve(mut stream: TcpStream, shared: &Shared) {
    let Some(call) = read(&mut stream) else {
        return;
    };
    let Some((status, value)) = answer(&call, shared) else {
        return;
    };
    let body = value.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    // A caller that has left needs no answer.
    let _ = stream.write_all((head + &body).as_bytes());
}

/// Returns the answer, or `None` if the connection is closed without one.
fn answer(call: &Call, shared: &Shared) -> Option<(u16, Value)> {
    let mut state = shared.lock();
    if state.count() {
        return Some((429, json!({})));
    }
    if let Some(Fault::Slow(delay)) = state.fault {
        drop(state);
        thread::sleep(delay);
        state = shared.lock();
    }
    let wait = Duration::from_millis(call.number("wait-ms")).min(LONGEST_WAIT);
    let until = Instant::now() + wait;
    loop {
        // Calls that wait are ended by a fault, as by a store that goes down.
        match state.fault {
            Some(Fault::Refuse(status)) => return Some((status, json!({}))),
            Some(Fault::Reset) => return None,
            Some(Fault::Garbage) => return Some((200, Value::Null)),
            _ => {}
        }
        if let Some(answer) = state.handle(call) {
            let lost = state.fault == Some(Fault::LoseAnswers);
            return (!lost).then_some(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Some((200, state.answer(&[])));
        }
        state = match shared.changed.wait_timeout(state, left) {
            Ok((state, _)) => state,
            Err(e) => e.into_inner().0,
        };
    }
}

impl State {
    /// Handles a call; returns `None` while it has to wait.
    fn handle(&mut self, call: &Call) -> Option<(u16, Value)> {
        let table = call.query.get("table").map_or("", String::as_str);
        match &*call.path {
            "/rosemaryglade/rows-get" => {
                let start = call.query.get("range-start").map_or("", String::as_str);
                Some(self.list(table, start))
            }
            "/rosemaryglade/rows-feed" => self.changes(table, call.number("after")),
            "/rosemaryglade/rows-tx" => Some(self.transact(&call.body)),
            _ => Some((404, json!({}))),
        }
    }
}

impl Call {
    fn number(&self, name: &str) -> u64 {
        let value = self.query.get(name);
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

fn read(stream: &mut TcpStream) -> Option<Call> {
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
    Some(Call {
        path: path.to_owned(),
        query: query.map(|(n, v)| (n.to_owned(), unescape(v))).collect(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

fn unescape(text: &str) -> String {
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
