//! A stand-in for the platform's store, by its published protocol: rows, feeds and refusals.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Rows in one answer.
const PAGE: usize = 10;

/// How the store misbehaves.
#[derive(Clone, Copy)]
pub enum Fault {
    /// Answers with this status and does nothing.
    Refuse(u16),
    /// Closes connections without an answer.
    Reset,
    /// Answers with bytes that are no JSON.
    Garbage,
    /// Lists as of this transaction.
    Stale(u64),
}

#[derive(Default)]
struct State {
    /// Newest transaction.
    version: u64,
    /// Value and transaction by table and key.
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Changes: transaction, table, key, value.
    history: Vec<(u64, String, String, Option<Vec<u8>>)>,
    /// Transactions up to this one are no longer in the history.
    dropped: u64,
    fault: Option<Fault>,
    calls: u32,
}

/// The stand-in.
pub struct StoreStandIn {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl StoreStandIn {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        StoreStandIn { address, shared }
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(|s| s.set(table, key, Some(value.as_bytes().to_vec())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(|s| s.set(table, key, None));
    }

    pub fn drop_history(&self) {
        self.change(|s| {
            s.dropped = s.version;
            s.history.clear();
        });
    }

    pub fn fault(&self, fault: Option<Fault>) {
        self.change(|s| s.fault = fault);
    }

    pub fn calls(&self) -> u32 {
        self.shared.0.lock().unwrap().calls
    }

    fn change(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let place = (table.to_owned(), key.to_owned());
        match &value {
            Some(v) => self.rows.insert(place, (v.clone(), self.version)),
            None => self.rows.remove(&place),
        };
        let change = (self.version, table.to_owned(), key.to_owned(), value);
        self.history.push(change);
    }

    fn list(&self, table: &str, start: &str) -> (u16, Value) {
        let mut version = self.version;
        let mut limit = u64::MAX;
        if let Some(Fault::Stale(at)) = self.fault {
            (version, limit) = (at, at);
        }
        let rows: Vec<Value> = self
            .rows
            .iter()
            .filter(|((t, k), (_, at))| t == table && k.as_str() >= start && *at <= limit)
            .map(|((t, k), (v, at))| row(t, k, Some(v), *at))
            .collect();
        let more = rows.len() > PAGE;
        let rows: Vec<Value> = rows.into_iter().take(PAGE).collect();
        (
            200,
            json!({"rows": rows, "has-more": more, "version-number": version, "current-time-s": 1.0}),
        )
    }

    /// Returns the changes after a transaction; `None` if there are none yet.
    fn changes(&self, table: &str, after: u64) -> Option<(u16, Value)> {
        if after < self.dropped {
            return Some((410, json!({"error": "history"})));
        }
        let rows: Vec<Value> = self
            .history
            .iter()
            .filter(|(at, t, ..)| *at > after && t == table)
            .map(|(at, t, k, v)| row(t, k, v.as_ref(), *at))
            .collect();
        let answer = json!({"rows": rows, "version-number": self.version, "current-time-s": 1.0});
        (!rows.is_empty()).then_some((200, answer))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        for write in body["write"].as_array().into_iter().flatten() {
            let value = STANDARD.decode(write["value"].as_str().unwrap()).unwrap();
            self.set(text(write, "table"), text(write, "key"), Some(value));
        }
        for remove in body["remove"].as_array().into_iter().flatten() {
            self.set(text(remove, "table"), text(remove, "key"), None);
        }
        (
            200,
            json!({"version-number": self.version, "current-time-s": 1.0}),
        )
    }
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().expect("a text")
}

fn row(table: &str, key: &str, value: Option<&Vec<u8>>, version: u64) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "version-number": version});
    match value {
        Some(v) => row["value"] = STANDARD.encode(v).into(),
        None => row["removed"] = true.into(),
    }
    row
}

fn serve(mut stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let Some((line, body)) = read(&mut stream) else {
        return;
    };
    let target = line.split(' ').nth(1).unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query: BTreeMap<String, String> = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .map(|(n, v)| (n.to_owned(), unescape(v)))
        .collect();
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    state.calls += 1;
    let table = query.get("table").cloned().unwrap_or_default();
    let mut answer = None;
    let mut waits = 0;
    // Calls that wait are ended by a fault, as by a store that goes down.
    while answer.is_none() {
        answer = match state.fault {
            Some(Fault::Refuse(status)) => Some((status, json!({}))),
            Some(Fault::Reset) => return,
            Some(Fault::Garbage) => Some((200, Value::Null)),
            _ => match path {
                "/rosemaryglade/rows-get" => {
                    let start = query.get("range-start").map_or("", String::as_str);
                    Some(state.list(&table, start))
                }
                "/rosemaryglade/rows-feed" => state.changes(&table, number("after").unwrap_or(0)),
                "/rosemaryglade/rows-tx" => {
                    let body: Value = serde_json::from_slice(&body).expect("a transaction");
                    Some(state.transact(&body))
                }
                _ => Some((404, json!({}))),
            },
        };
        if answer.is_none() {
            waits += 1;
            if waits > 100 {
                answer = Some((200, json!({"rows": [], "version-number": state.version})));
                break;
            }
            state = changed
                .wait_timeout(state, Duration::from_millis(200))
                .unwrap()
                .0;
        }
    }
    drop(state);
    let (status, value) = answer.expect("an answer");
    let body = value.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all((head + &body).as_bytes());
}

fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
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
        .map_or(0, |(_, v)| v.trim().parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head.lines().next()?.to_owned(), body))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&b, after)) = rest.split_first() {
        rest = after;
        if b == b'%' && rest.len() >= 2 {
            let hex = std::str::from_utf8(&rest[..2]).expect("hexadecimal");
            bytes.push(u8::from_str_radix(hex, 16).expect("hexadecimal"));
            rest = &rest[2..];
        } else {
            bytes.push(b);
        }
    }
    String::from_utf8(bytes).expect("UTF-8")
}
