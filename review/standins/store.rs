//! Stand-in for the platform's store: rows in tables, transactions and the feed of changes, as in
//! PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Value};

#[derive(Default)]
struct State {
    version: u64,
    /// Value (`None` if removed) and version, by table and key.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Last heartbeat of each server.
    beats: Arc<Mutex<BTreeMap<String, String>>>,
    start: Instant,
    /// End of an outage in which calls get no answer.
    silent_until: Arc<Mutex<Option<Instant>>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let store = Store {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            beats: Arc::default(),
            start: Instant::now(),
            silent_until: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        if store.is_silent() {
                            // The call gets no answer, and its connection delivers nothing further.
                            while matches!(connection.read(), Ok(Some(_))) {}
                            return;
                        }
                        let (status, body) = store.answer(&request);
                        let head = format!(
                            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                             Content-Length: {}\r\n\r\n",
                            body.len()
                        );
                        if connection
                            .stream
                            .write_all((head + &body).as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(|s| s.set(table, key, Some(base64(value.as_bytes()))));
    }

    /// Writes a server's heartbeat. The row changes when more than its sequence changes.
    pub fn beat(&self, key: &str, value: &str) {
        let without_sequence =
            |text: &str| text.split(",\"sequence\"").next().unwrap_or("").to_owned();
        let mut beats = self.beats.lock().unwrap();
        if beats
            .get(key)
            .is_none_or(|old| without_sequence(old) != without_sequence(value))
        {
            self.put("servers", key, value);
        }
        beats.insert(key.to_owned(), value.to_owned());
    }

    /// Removes the row of a server that has left.
    pub fn remove_server(&self, key: &str) {
        self.beats.lock().unwrap().remove(key);
        self.change(|s| s.set("servers", key, None));
    }

    /// Begins an outage: calls that arrive in it get no answer.
    pub fn silence(&self, length: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + length);
    }

    fn is_silent(&self) -> bool {
        self.silent_until
            .lock()
            .unwrap()
            .is_some_and(|end| Instant::now() < end)
    }

    fn change(&self, f: impl FnOnce(&mut State)) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        f(&mut state);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        // The platform's store takes 4 ms an answer.
        thread::sleep(Duration::from_millis(4));
        let (path, query) = request
            .second()
            .split_once('?')
            .unwrap_or((request.second(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let parameter = |name: &str| query.get(name).copied().unwrap_or("");
        match path {
            "/rosemaryglade/rows-get" => {
                let state = self.state.0.lock().unwrap();
                (200, self.rows(&state, parameter("table"), 0, false))
            }
            "/rosemaryglade/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0));
                self.feed(parameter("table"), after, wait)
            }
            "/rosemaryglade/rows-tx" => self.transact(&request.body),
            _ => (404, String::new()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state
                .rows
                .iter()
                .any(|((t, _), (_, at))| t == table && *at > after);
            let left = deadline.saturating_duration_since(Instant::now());
            if changed || left.is_zero() {
                return (200, self.rows(&state, table, after, true));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, String::new());
        };
        let name = |v: &Value| {
            (
                v.get("table").text().to_owned(),
                v.get("key").text().to_owned(),
            )
        };
        let mut state = self.state.0.lock().unwrap();
        for row in call.get("precondition").list() {
            let current = state.rows.get(&name(row));
            let version = current
                .filter(|(v, _)| v.is_some())
                .map_or(0, |(_, at)| *at);
            if version != row.get("version-number").number() {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let changes = call.get("write").list().iter().map(|r| (r, true));
        let changes: Vec<(&Value, bool)> = changes
            .chain(call.get("remove").list().iter().map(|r| (r, false)))
            .collect();
        if changes
            .iter()
            .any(|(r, _)| ["op", "servers"].contains(&r.get("table").text()))
        {
            return (403, String::new());
        }
        state.version += 1;
        for (row, write) in changes {
            let (table, key) = name(row);
            let value = write.then(|| row.get("value").text().to_owned());
            state.set(&table, &key, value);
        }
        self.state.1.notify_all();
        (
            200,
            format!(
                "{{\"version-number\":{},\"current-time-s\":{:.3}}}",
                state.version,
                self.time()
            ),
        )
    }

    fn rows(&self, state: &State, table: &str, after: u64, removed: bool) -> String {
        let rows = state
            .rows
            .iter()
            .filter(|((t, _), (v, at))| t == table && *at > after && (removed || v.is_some()));
        let mut rows: Vec<_> = rows.collect();
        if removed {
            rows.sort_by_key(|(_, (_, at))| *at);
        }
        let rows: Vec<String> = rows
            .into_iter()
            .map(|((t, k), (v, at))| {
                let value = v.as_ref().map_or("\"removed\":true".to_owned(), |v| format!("\"value\":\"{v}\""));
                format!("{{\"table\":\"{t}\",\"part\":\"\",\"key\":\"{k}\",{value},\"version-number\":{at}}}")
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"version-number\":{},\"current-time-s\":{:.3}}}",
            rows.join(","),
            state.version,
            self.time()
        )
    }

    fn time(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        let version = self.version;
        self.rows
            .insert((table.to_owned(), key.to_owned()), (value, version));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let n = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
