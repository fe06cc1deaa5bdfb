//! One table.

use std::collections::{BTreeMap, BTreeSet};

/// Number of a transaction of the store.
pub type Version = u64;

/// Removed rows that are remembered, so that others can be told. More than the store removes
/// while a follower is away for a few seconds.
const REMOVED_ROWS: usize = 1000;

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within the table.
    pub key: Box<str>,
    /// Bytes; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Transaction that wrote or removed it.
    pub version: Version,
}

/// Rows as of one moment, or the changes up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Rows in the order of their keys, or of their changes.
    pub rows: Vec<Row>,
    /// Newest transaction.
    pub version: Version,
}

/// What was read is older than what is known, or than what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated;

/// Value of a row, `None` if it was removed, and the transaction that wrote it.
type Entry = (Option<Vec<u8>>, Version);

/// A table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows by key, removed ones too.
    rows: BTreeMap<Box<str>, Entry>,
    position: Option<Version>,
    /// Changes after this transaction are known.
    remembered_from: Version,
}

impl Table {
    /// Returns the transaction up to which the table is known; `None` before it was listed.
    pub fn position(&self) -> Option<Version> {
        self.position
    }

    /// Takes over all rows; returns those that changed. A list that is older than what is known is
    /// refused, since rows that it lacks may have been added after it.
    pub fn list(&mut self, rows: Rows) -> Result<Vec<Row>, Outdated> {
        if self.position.is_some_and(|p| rows.version < p) {
            return Err(Outdated);
        }
        let version = rows.version;
        // Rows may have come and gone since the last position without being seen here.
        if self.position != Some(version) {
            self.remembered_from = version;
        }
        let listed: BTreeSet<Box<str>> = rows.rows.iter().map(|r| r.key.clone()).collect();
        let mut changed = self.take(rows.rows);
        let missing: Vec<Row> = self
            .rows
            .iter()
            .filter(|(key, (value, at))| {
                value.is_some() && *at <= version && !listed.contains(*key)
            })
            .map(|(key, _)| Row {
                key: key.clone(),
                value: None,
                version,
            })
            .collect();
        changed.extend(self.take(missing));
        self.advance(version);
        Ok(changed)
    }

    /// Takes over changes; returns the rows that changed here.
    pub fn merge(&mut self, rows: Rows) -> Vec<Row> {
        let changed = self.take(rows.rows);
        self.advance(rows.version);
        changed
    }

    /// Returns all rows.
    pub fn all(&self) -> Rows {
        let present = self.rows.iter().filter(|(_, (value, _))| value.is_some());
        self.rows_of(present)
    }

    /// Returns the changes after a transaction.
    pub fn after(&self, version: Version) -> Result<Rows, Outdated> {
        if version < self.remembered_from {
            return Err(Outdated);
        }
        let mut rows = self.rows_of(self.rows.iter().filter(|(_, (_, at))| *at > version));
        rows.rows.sort_by_key(|r| r.version);
        Ok(rows)
    }

    fn rows_of<'a>(&self, rows: impl Iterator<Item = (&'a Box<str>, &'a Entry)>) -> Rows {
        let rows = rows.map(|(key, (value, version))| Row {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Rows {
            rows: rows.collect(),
            version: self.position.unwrap_or(0),
        }
    }

    /// Takes the rows that are newer than the known ones.
    fn take(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key);
            if known.is_some_and(|(_, at)| *at >= row.version) {
                continue;
            }
            let was_present = known.is_some_and(|(value, _)| value.is_some());
            let entry = (row.value.clone(), row.version);
            self.rows.insert(row.key.clone(), entry);
            if was_present || row.value.is_some() {
                changed.push(row);
            }
        }
        changed
    }

    fn advance(&mut self, version: Version) {
        self.position = Some(self.position.map_or(version, |p| p.max(version)));
        let mut removed: Vec<(Version, Box<str>)> = self
            .rows
            .iter()
            .filter(|(_, (value, _))| value.is_none())
            .map(|(key, (_, at))| (*at, key.clone()))
            .collect();
        if removed.len() <= REMOVED_ROWS {
            return;
        }
        removed.sort();
        for (at, key) in removed.drain(..removed.len() - REMOVED_ROWS) {
            self.rows.remove(&key);
            self.remembered_from = self.remembered_from.max(at);
        }
    }
}
