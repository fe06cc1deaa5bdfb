//! A stand-in for the store of the users' platform, by its published protocol: rows with
//! preconditions, ranges, feeds, and the ways in which it fails.

mod serve;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Rows in one answer; few, so that tests read several pages.
const PAGE: usize = 10;
/// Window in which calls are counted against their rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers with this status and does nothing.
    Refuse(u16),
    /// Closes connections without an answer and does nothing.
    Reset,
    /// Does what is asked and closes the connection without an answer.
    LoseAnswers,
    /// Answers with bytes that are no JSON object.
    Garbage,
    /// Lists as of this transaction.
    Stale(u64),
    /// Answers with this delay.
    Slow(Duration),
    /// Answers 429 beyond this many calls a second.
    Rate(u32),
}

/// The stand-in.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Signals changes of rows and faults to calls that wait.
    changed: Condvar,
}

/// A change of a row.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    table: String,
    key: String,
    /// `None` if the row was removed.
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    /// Newest transaction.
    version: u64,
    /// Value and transaction by table and key.
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    history: Vec<Change>,
    /// Transactions up to this one are no longer in the history.
    dropped: u64,
    fault: Option<Fault>,
    calls: u32,
    /// Start of the rate window, and the calls in it.
    rate: Option<(Instant, u32)>,
}

impl StoreStandIn {
    /// Starts a store on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = StoreStandIn {
            address,
            shared: Arc::default(),
        };
        let shared = store.shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve::serve(stream, &shared));
            }
        });
        store
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(|s| s.set(table, key, Some(value.as_bytes().to_vec())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(|s| s.set(table, key, None));
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock();
        let rows = state.rows.keys().filter(|(t, _)| t == table);
        rows.map(|(_, k)| k.clone()).collect()
    }

    /// Forgets all changes up to now.
    pub fn drop_history(&self) {
        self.change(|s| {
            s.dropped = s.version;
            s.history.clear();
        });
    }

    /// Sets how the store misbehaves.
    pub fn fault(&self, fault: Option<Fault>) {
        self.change(|s| s.fault = fault);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u32 {
        self.shared.lock().calls
    }

    fn change(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.shared.lock());
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.history.push(Change {
            version: self.version,
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        });
    }

    /// Counts a call; returns whether its rate is exceeded.
    fn count(&mut self) -> bool {
        self.calls += 1;
        let Some(Fault::Rate(limit)) = self.fault else {
            return false;
        };
        let now = Instant::now();
        match &mut self.rate {
            Some((since, calls)) if *since + RATE_WINDOW > now => {
                *calls += 1;
                *calls > limit
            }
            rate => {
                *rate = Some((now, 1));
                limit == 0
            }
        }
    }

    fn list(&self, table: &str, start: &str) -> (u16, Value) {
        let limit = match self.fault {
            Some(Fault::Stale(at)) => at,
            _ => u64::MAX,
        };
        let rows: Vec<Value> = self
            .rows
            .iter()
            .filter(|((t, k), (_, at))| t == table && k.as_str() >= start && *at <= limit)
            .map(|((t, k), (v, at))| row(t, k, Some(v), *at))
            .collect();
        let more = rows.len() > PAGE;
        let rows: Vec<Value> = rows.into_iter().take(PAGE).collect();
        let mut answer = self.answer(&rows);
        answer["has-more"] = more.into();
        answer["version-number"] = self.version.min(limit).into();
        (200, answer)
    }

    /// Returns the changes after a transaction; `None` if there are none yet.
    fn changes(&self, table: &str, after: u64) -> Option<(u16, Value)> {
        if after < self.dropped {
            return Some((410, json!({"error": "history"})));
        }
        let changes = self.history.iter();
        let rows: Vec<Value> = changes
            .filter(|c| c.version > after && c.table == table)
            .map(|c| row(&c.table, &c.key, c.value.as_ref(), c.version))
            .collect();
        (!rows.is_empty()).then(|| (200, self.answer(&rows)))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let held = |e: &Value| {
            let place = (text(e, "table"), text(e, "key"));
            self.rows.get(&place).map_or(0, |(_, at)| *at)
        };
        let required = |e: &Value| e["version-number"].as_u64().unwrap_or(0);
        if entries("precondition")
            .iter()
            .any(|e| held(e) != required(e))
        {
            return (412, self.answer(&[]));
        }
        for write in entries("write") {
            let value = STANDARD.decode(text(&write, "value")).unwrap_or_default();
            self.set(&text(&write, "table"), &text(&write, "key"), Some(value));
        }
        for remove in entries("remove") {
            self.set(&text(&remove, "table"), &text(&remove, "key"), None);
        }
        (200, self.answer(&[]))
    }

    fn answer(&self, rows: &[Value]) -> Value {
        json!({"rows": rows, "version-number": self.version, "current-time-s": 1.0})
    }
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn row(table: &str, key: &str, value: Option<&Vec<u8>>, version: u64) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "version-number": version});
    match value {
        Some(v) => row["value"] = STANDARD.encode(v).into(),
        None => row["removed"] = true.into(),
    }
    row
}
