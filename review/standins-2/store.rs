//! Stand-in for the platform's store: rows, their feed and transactions. Each machine reaches it
//! through a listener of its own, with the delay of the link and the faults of that machine.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};
use crate::json::{self, Json, base64};

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    version: u64,
    /// Value in base64 and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Version, table, key and value of each change.
    history: Vec<(u64, String, String, Option<String>)>,
}

/// How a listener treats its machine.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None = 0,
    /// Answers 429.
    Busy = 1,
    /// Resets connections.
    Reset = 2,
}

/// The way of one machine to the store.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
    changed: Arc<(Mutex<State>, Condvar)>,
}

impl Link {
    pub fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::SeqCst);
        self.changed.1.notify_all();
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault.load(Ordering::SeqCst) == fault as u8
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Store {
            shared: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Writes a row, or removes it; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        state.apply(table, key, value.map(|v| base64(v.as_bytes())));
        self.shared.1.notify_all();
    }

    pub fn contains(&self, table: &str, key: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        state.rows.contains_key(&(table.to_owned(), key.to_owned()))
    }

    /// Opens a listener for a machine, `one_way` from the store.
    pub fn link(&self, one_way: Duration) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Link {
            address: listener.local_addr().expect("an address"),
            fault: Arc::default(),
            changed: self.shared.clone(),
        };
        let (store, accepted) = (self.clone(), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (store.clone(), accepted.clone());
                thread::spawn(move || store.serve(stream, &link, one_way));
            }
        });
        link
    }

    fn serve(&self, stream: TcpStream, link: &Link, one_way: Duration) {
        let mut connection = Connection::new(stream);
        // The handshake takes a round trip.
        let mut handshake = one_way * 2;
        while let Ok(Some(request)) = connection.read(None) {
            thread::sleep(handshake + one_way + ANSWER_TIME);
            handshake = Duration::ZERO;
            let reply = self.reply(&request, link);
            if link.is(Fault::Reset) {
                reset(&connection.stream);
                return;
            }
            thread::sleep(one_way);
            if connection.write(&reply).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message, link: &Link) -> Vec<u8> {
        let busy = || answer("429 Too Many Requests", &[], b"");
        if link.is(Fault::Busy) {
            return busy();
        }
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|p| p.split_once('='));
            fields
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
                .next()
                .unwrap_or_default()
        };
        let table = field("table");
        match path {
            "/rosemaryglade/rows-get" => {
                let start = field("range-start");
                let state = self.shared.0.lock().unwrap();
                let rows = state
                    .rows
                    .iter()
                    .filter(|((t, k), _)| *t == table && *k >= start);
                let rows: Vec<String> = rows
                    .map(|((t, k), (v, at))| row(t, k, Some(v), *at))
                    .collect();
                self.rows(&rows, state.version)
            }
            "/rosemaryglade/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut state = self.shared.0.lock().unwrap();
                loop {
                    if link.is(Fault::Busy) || link.is(Fault::Reset) {
                        return busy();
                    }
                    let changes = state.history.iter();
                    let changes = changes.filter(|(at, t, ..)| *at > after && *t == table);
                    let rows: Vec<String> = changes
                        .map(|(at, t, k, v)| row(t, k, v.as_deref(), *at))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return self.rows(&rows, state.version);
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/rosemaryglade/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn transact(&self, body: &str) -> Vec<u8> {
        let Some(call) = json::parse(body) else {
            return answer("400 Bad Request", &[], b"");
        };
        let id = |entry: &Json| {
            (
                entry.get("table").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let mut state = self.shared.0.lock().unwrap();
        for entry in call.get("precondition").list() {
            let current = state.rows.get(&id(entry)).map_or(0, |(_, at)| *at);
            if current != entry.get("version-number").number() {
                return answer("412 Precondition Failed", &[], b"{\"rows\":[]}");
            }
        }
        let changes = call.get("write").list().iter().map(|e| (e, true));
        for (entry, write) in changes.chain(call.get("remove").list().iter().map(|e| (e, false))) {
            let (table, key) = id(entry);
            if table == "op" || table == "servers" {
                return answer("403 Forbidden", &[], b"");
            }
            let value = write.then(|| entry.get("value").text().to_owned());
            state.apply(&table, &key, value);
        }
        self.shared.1.notify_all();
        self.rows(&[], state.version)
    }

    fn rows(&self, rows: &[String], version: u64) -> Vec<u8> {
        let now = self.started.elapsed().as_secs_f64();
        let body = format!(
            "{{\"rows\":[{}],\"has-more\":false,\"version-number\":{version},\"current-time-s\":{now:.3}}}",
            rows.join(",")
        );
        answer(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

impl State {
    fn apply(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let id = (table.to_owned(), key.to_owned());
        match &value {
            Some(v) => drop(self.rows.insert(id, (v.clone(), self.version))),
            None => drop(self.rows.remove(&id)),
        }
        self.history
            .push((self.version, table.to_owned(), key.to_owned(), value));
    }
}

fn row(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
    let value = value.map_or("\"removed\":true".to_owned(), |v| {
        format!("\"value\":\"{v}\"")
    });
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"version-number\":{version}}}"
    )
}

/// Closes a connection; unread or not, the peer sees its end at once.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
