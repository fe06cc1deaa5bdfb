//! Stand-in for the store of the users' platform, with its published protocol: range reads, change
//! feeds and transactions with preconditions, and fault injection.

mod serve;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Rows in a page of a list; few, so that tests read several pages.
const PAGE_SIZE: usize = 10;
/// Era before the first restoration.
const FIRST_ERA: u64 = 1;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Responds with this status to every call, which has no effect.
    Refuse(u16),
    /// Closes connections without a response; calls have no effect.
    Reset,
    /// Closes connections without a response after the calls have taken effect.
    LoseAnswers,
    /// Responds 200 with a body that is not a JSON object; calls have no effect.
    Garbage,
    /// Lists omit rows that were written after this version.
    Stale(u64),
    /// Delays every call by this time.
    Slow(Duration),
    /// Responds 429 to calls beyond this number per second.
    Rate(u32),
    /// Sends a response without end to every call, which has no effect.
    Endless(EndlessPart),
    /// Never responds to calls that arrive or become due meanwhile, and keeps their connections
    /// open; calls have no effect.
    Silent,
    /// States this instead of the era, or nothing, in `Store-Era`; calls take effect.
    Era(Option<&'static str>),
}

/// Part of a response that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    Head,
    Body,
    /// The pages of a list; each is a complete response with rows that the others do not have. Feeds
    /// respond 410, so that clients list.
    Pages,
}

/// Copy of the store's data, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy(Data);

/// Handle of a store stand-in; clones share its state.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    /// Address that the store listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Wakes waiting feed calls after a change of rows or faults.
    changed: Condvar,
}

/// Entry of the history.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    table: String,
    key: String,
    /// `None` if the row was removed.
    value: Option<Vec<u8>>,
}

#[derive(Clone, Debug, Default)]
struct Data {
    /// Version of the last change.
    version: u64,
    /// Value and version by table and key.
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// Changes after `dropped_up_to`, oldest first.
    history: Vec<Change>,
    /// Changes up to this version are no longer in the history.
    dropped_up_to: u64,
}

#[derive(Debug, Default)]
struct State {
    data: Data,
    /// Number of times that the data was replaced by a copy.
    restorations: u64,
    fault: Option<StoreFault>,
    /// Calls since the start.
    calls: u32,
    /// Start of the current rate limit window, and the calls in it.
    rate_window: Option<(Instant, u32)>,
}

impl StoreStandIn {
    /// Starts a store on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind to a free loopback port");
        let address = listener.local_addr().expect("address of the listener");
        let store = StoreStandIn {
            address,
            shared: Arc::default(),
        };
        let shared = store.shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve::serve_connection(stream, &shared));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(|s| s.set(table, key, Some(value.as_bytes().to_vec())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(|s| s.set(table, key, None));
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock();
        let rows = state.data.rows.keys().filter(|(t, _)| t == table);
        rows.map(|(_, k)| k.clone()).collect()
    }

    /// Deletes the history, so that feeds from an older version get 410.
    pub fn drop_history(&self) {
        self.change(|s| {
            s.data.dropped_up_to = s.data.version;
            s.data.history.clear();
        });
    }

    /// Sets or clears the fault, which also applies to waiting calls.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.change(|s| s.fault = fault);
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().data.clone())
    }

    /// Replaces all data by an earlier copy and raises the era. Later versions are unknown from now
    /// on and are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.change(|s| {
            s.restorations += 1;
            s.data.clone_from(&copy.0);
        });
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.shared.lock().data.version
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
        self.data.version += 1;
        let row_key = (table.to_owned(), key.to_owned());
        match &value {
            Some(v) => self
                .data
                .rows
                .insert(row_key, (v.clone(), self.data.version)),
            None => self.data.rows.remove(&row_key),
        };
        self.data.history.push(Change {
            version: self.data.version,
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        });
    }

    /// Counts a call; returns whether it exceeds the rate limit.
    fn count_call(&mut self) -> bool {
        self.calls += 1;
        let Some(StoreFault::Rate(limit)) = self.fault else {
            return false;
        };
        let now = Instant::now();
        match &mut self.rate_window {
            Some((start, calls)) if *start + RATE_WINDOW > now => {
                *calls += 1;
                *calls > limit
            }
            window => {
                *window = Some((now, 1));
                limit == 0
            }
        }
    }

    fn list(&self, table: &str, start: &str) -> (u16, Value) {
        let max_version = match self.fault {
            Some(StoreFault::Stale(version)) => version,
            _ => u64::MAX,
        };
        let rows: Vec<Value> = self
            .data
            .rows
            .iter()
            .filter(|((t, k), (_, version))| {
                t == table && k.as_str() >= start && *version <= max_version
            })
            .map(|((t, k), (v, version))| encode_row(t, k, Some(v), *version))
            .collect();
        let more = rows.len() > PAGE_SIZE;
        let rows: Vec<Value> = rows.into_iter().take(PAGE_SIZE).collect();
        let mut response = self.response_body(&rows);
        response["has-more"] = more.into();
        response["version-number"] = self.data.version.min(max_version).into();
        (200, response)
    }

    /// Returns the changes of a table after a version; `None` if there are none yet.
    fn changes(&self, table: &str, after: u64) -> Option<(u16, Value)> {
        if after < self.data.dropped_up_to || after > self.data.version {
            return Some((410, json!({"error": "history"})));
        }
        let changes = self.data.history.iter();
        let rows: Vec<Value> = changes
            .filter(|c| c.version > after && c.table == table)
            .map(|c| encode_row(&c.table, &c.key, c.value.as_ref(), c.version))
            .collect();
        (!rows.is_empty()).then(|| (200, self.response_body(&rows)))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let current_version = |e: &Value| {
            let row_key = (string_field(e, "table"), string_field(e, "key"));
            self.data
                .rows
                .get(&row_key)
                .map_or(0, |(_, version)| *version)
        };
        let required_version = |e: &Value| e["version-number"].as_u64().unwrap_or(0);
        if entries("precondition")
            .iter()
            .any(|e| current_version(e) != required_version(e))
        {
            return (412, self.response_body(&[]));
        }
        for write in entries("write") {
            let value = STANDARD
                .decode(string_field(&write, "value"))
                .unwrap_or_default();
            self.set(
                &string_field(&write, "table"),
                &string_field(&write, "key"),
                Some(value),
            );
        }
        for remove in entries("remove") {
            self.set(
                &string_field(&remove, "table"),
                &string_field(&remove, "key"),
                None,
            );
        }
        (200, self.response_body(&[]))
    }

    /// Returns the value of `Store-Era`; `None` if it is not sent.
    fn era_header(&self) -> Option<String> {
        match self.fault {
            Some(StoreFault::Era(text)) => text.map(str::to_owned),
            _ => Some((FIRST_ERA + self.restorations).to_string()),
        }
    }

    fn response_body(&self, rows: &[Value]) -> Value {
        json!({"rows": rows, "version-number": self.data.version, "current-time-s": 1.0})
    }
}

fn string_field(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn encode_row(table: &str, key: &str, value: Option<&Vec<u8>>, version: u64) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "version-number": version});
    match value {
        Some(v) => row["value"] = STANDARD.encode(v).into(),
        None => row["removed"] = true.into(),
    }
    row
}
