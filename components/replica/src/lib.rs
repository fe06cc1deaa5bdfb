//! In-memory replicas of the tables of the store, merged from several sources by row version.
//!
//! All sources replicate the same store, whose transactions are numbered. A row replaces the local
//! one only if its version is higher, so the result does not depend on the order in which sources
//! answer, and a row never reverts to an older version.
//!
//! A store that is back from an older copy begins a new era and gives versions out again. Versions
//! are compared only within an era: a snapshot of a later one replaces a table, and what is of an
//! earlier one is rejected.

mod kept;
mod table;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

pub use kept::Kept;
pub use table::{Era, OtherEra, Position, Row, Rows, Table, Version, VersionTooOld};

/// Replicated tables by name, with a change notification.
#[derive(Debug, Default)]
pub struct Replica {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tables: BTreeMap<Box<str>, Table>,
    /// Per table: whether the rows come directly from the store, not through another process.
    follows_store: BTreeMap<Box<str>, bool>,
    /// Replaced at each change; dropping the sender closes the channel and wakes all waiters.
    changed: (Sender<()>, Receiver<()>),
}

impl Default for State {
    fn default() -> Self {
        State {
            tables: BTreeMap::new(),
            follows_store: BTreeMap::new(),
            changed: async_channel::bounded(1),
        }
    }
}

impl Replica {
    /// Returns the last transaction applied to a table; `None` before the first snapshot.
    pub fn position(&self, table: &str) -> Option<Position> {
        self.lock().tables.get(table).and_then(Table::position)
    }

    /// Applies a snapshot of a table; returns the rows that changed.
    pub fn apply_snapshot(&self, table: &str, rows: Rows) -> Result<Vec<Row>, VersionTooOld> {
        self.modify(table, |t| t.apply_snapshot(rows))
    }

    /// Applies the changes after the position for which they were requested; returns the rows that
    /// changed locally.
    pub fn apply_changes(&self, table: &str, rows: Rows) -> Result<Vec<Row>, OtherEra> {
        self.modify(table, |t| t.apply_changes(rows))
    }

    /// Ends the keeping of a table's rows for a reason; returns the rows that changed.
    pub fn release(&self, table: &str, reason: Kept) -> Vec<Row> {
        self.modify(table, |t| t.release(reason))
    }

    /// Keeps rows that another process keeps in the same era; `missing` tells whether also those that
    /// this replica does not have. Returns the rows that changed.
    pub fn adopt_kept(&self, table: &str, kept: Rows, missing: bool) -> Vec<Row> {
        self.modify(table, |t| t.adopt_kept(kept, missing))
    }

    /// Reads a table; `None` before the first snapshot.
    pub fn read<T>(&self, table: &str, f: impl FnOnce(&Table) -> T) -> Option<T> {
        let state = self.lock();
        let table = state.tables.get(table)?;
        table.position().map(|_| f(table))
    }

    /// Sets whether a table is replicated directly from the store.
    pub fn set_follows_store(&self, table: &str, follows_store: bool) {
        let mut state = self.lock();
        state.follows_store.insert(table.into(), follows_store);
        state.notify();
    }

    /// Returns whether a table is replicated directly from the store.
    pub fn follows_store(&self, table: &str) -> bool {
        self.lock()
            .follows_store
            .get(table)
            .copied()
            .unwrap_or(false)
    }

    /// Returns a channel that closes at the next change.
    pub fn changed(&self) -> Receiver<()> {
        self.lock().changed.1.clone()
    }

    fn modify<T>(&self, table: &str, f: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.lock();
        let result = f(state.tables.entry(table.into()).or_default());
        state.notify();
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn notify(&mut self) {
        self.changed = async_channel::bounded(1);
    }
}
