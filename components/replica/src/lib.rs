//! Tables of rows as this process knows them, merged from several sources by version.
//!
//! All sources copy the same store, whose transactions are numbered. A row is taken if it is newer
//! than the known one, so the order in which sources answer does not matter, and what is known
//! never goes back.

mod table;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

pub use table::{Outdated, Row, Rows, Table, Version};

/// Tables by name, with a signal for those that wait for changes.
#[derive(Debug, Default)]
pub struct Replica {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tables: BTreeMap<Box<str>, Table>,
    /// Whether the rows come from the store itself, not through another process.
    first_hand: BTreeMap<Box<str>, bool>,
    /// Replaced at each change; closing it wakes those that wait.
    changed: (Sender<()>, Receiver<()>),
}

impl Default for State {
    fn default() -> Self {
        State {
            tables: BTreeMap::new(),
            first_hand: BTreeMap::new(),
            changed: async_channel::bounded(1),
        }
    }
}

impl Replica {
    /// Returns the transaction up to which a table is known; `None` before it was listed.
    pub fn position(&self, table: &str) -> Option<Version> {
        self.lock().tables.get(table).and_then(Table::position)
    }

    /// Takes over all rows of a table; returns those that changed.
    pub fn list(&self, table: &str, rows: Rows) -> Result<Vec<Row>, Outdated> {
        self.change(table, |t| t.list(rows))
    }

    /// Takes over changes that follow the position at which they were asked for; returns the rows
    /// that changed here.
    pub fn merge(&self, table: &str, rows: Rows) -> Vec<Row> {
        self.change(table, |t| t.merge(rows))
    }

    /// Reads a table; `None` before it was listed.
    pub fn read<T>(&self, table: &str, f: impl FnOnce(&Table) -> T) -> Option<T> {
        let state = self.lock();
        let table = state.tables.get(table)?;
        table.position().map(|_| f(table))
    }

    /// Sets whether a table is followed at the store itself.
    pub fn set_first_hand(&self, table: &str, first_hand: bool) {
        let mut state = self.lock();
        state.first_hand.insert(table.into(), first_hand);
        state.wake();
    }

    /// Tells whether a table is followed at the store itself.
    pub fn first_hand(&self, table: &str) -> bool {
        self.lock().first_hand.get(table).copied().unwrap_or(false)
    }

    /// Returns a channel that closes at the next change.
    pub fn changed(&self) -> Receiver<()> {
        self.lock().changed.1.clone()
    }

    fn change<T>(&self, table: &str, f: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.lock();
        let result = f(state.tables.entry(table.into()).or_default());
        state.wake();
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self) {
        self.changed = async_channel::bounded(1);
    }
}
