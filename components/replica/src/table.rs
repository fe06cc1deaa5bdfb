//! Replica of one table with its tombstones.

use std::collections::{BTreeMap, BTreeSet};

/// Transaction number of the store.
pub type Version = u64;

/// Number that the store raises each time it comes back from an older copy of its data. Transactions
/// after the copy are gone then, and their numbers are given out again.
pub type Era = u64;

/// Tombstones kept so that followers learn of removed rows. More than the store removes while a
/// follower is disconnected for a few seconds.
const MAX_TOMBSTONES: usize = 1000;

/// Versioned row or tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key within the table.
    pub key: Box<str>,
    /// `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Transaction that wrote or removed the row.
    pub version: Version,
}

/// Snapshot of a table, or a list of changes, as of transaction `version`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Era of the store, if it states one.
    pub era: Option<Era>,
    /// Ordered by key in a snapshot, by version in a list of changes.
    pub rows: Vec<Row>,
    /// Last transaction included.
    pub version: Version,
}

/// A snapshot is older than the replica, or the requested changes are older than its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTooOld;

/// Value of a row (`None` for a tombstone) and the transaction that wrote it.
type Entry = (Option<Vec<u8>>, Version);

/// Replica of one table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows and tombstones by key.
    rows: BTreeMap<Box<str>, Entry>,
    position: Option<Version>,
    /// Transaction of the newest row or tombstone that was applied; 0 before the first.
    last_change: Version,
    /// Changes after this transaction are complete; earlier ones may be missing.
    history_start: Version,
}

impl Table {
    /// Returns the last transaction applied; `None` before the first snapshot.
    pub fn position(&self) -> Option<Version> {
        self.position
    }

    /// Returns the transaction of the newest row or tombstone that was applied; 0 before the first.
    pub fn last_change(&self) -> Version {
        self.last_change
    }

    /// Applies a snapshot; returns the rows that changed. A snapshot older than the replica is
    /// rejected, because rows missing from it may have been added later.
    pub fn apply_snapshot(&mut self, rows: Rows) -> Result<Vec<Row>, VersionTooOld> {
        if self.position.is_some_and(|p| rows.version < p) {
            return Err(VersionTooOld);
        }
        let version = rows.version;
        // Rows may have been added and removed since the last position without appearing here.
        if self.position != Some(version) {
            self.history_start = version;
        }
        let present: BTreeSet<Box<str>> = rows.rows.iter().map(|r| r.key.clone()).collect();
        let mut changed = self.apply_newer(rows.rows);
        let missing: Vec<Row> = self
            .rows
            .iter()
            .filter(|(key, (value, at))| {
                value.is_some() && *at <= version && !present.contains(*key)
            })
            .map(|(key, _)| Row {
                key: key.clone(),
                value: None,
                version,
            })
            .collect();
        changed.extend(self.apply_newer(missing));
        self.advance_position(version);
        Ok(changed)
    }

    /// Applies changes; returns the rows that changed locally.
    pub fn apply_changes(&mut self, rows: Rows) -> Vec<Row> {
        let changed = self.apply_newer(rows.rows);
        self.advance_position(rows.version);
        changed
    }

    /// Returns all rows without tombstones.
    pub fn snapshot(&self) -> Rows {
        let present = self.rows.iter().filter(|(_, (value, _))| value.is_some());
        self.collect_rows(present)
    }

    /// Returns the changes after transaction `version`, ordered by version, with tombstones.
    pub fn changes_after(&self, version: Version) -> Result<Rows, VersionTooOld> {
        if version < self.history_start {
            return Err(VersionTooOld);
        }
        let mut rows = self.collect_rows(self.rows.iter().filter(|(_, (_, at))| *at > version));
        rows.rows.sort_by_key(|r| r.version);
        Ok(rows)
    }

    fn collect_rows<'a>(&self, rows: impl Iterator<Item = (&'a Box<str>, &'a Entry)>) -> Rows {
        let rows = rows.map(|(key, (value, version))| Row {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Rows {
            era: None,
            rows: rows.collect(),
            version: self.position.unwrap_or(0),
        }
    }

    /// Stores the rows that are newer than the local ones; returns those that changed.
    fn apply_newer(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let local = self.rows.get(&row.key);
            if local.is_some_and(|(_, at)| *at >= row.version) {
                continue;
            }
            let was_present = local.is_some_and(|(value, _)| value.is_some());
            self.last_change = self.last_change.max(row.version);
            let entry = (row.value.clone(), row.version);
            self.rows.insert(row.key.clone(), entry);
            if was_present || row.value.is_some() {
                changed.push(row);
            }
        }
        changed
    }

    /// Moves the position forward and drops the oldest tombstones beyond the limit.
    fn advance_position(&mut self, version: Version) {
        self.position = Some(self.position.map_or(version, |p| p.max(version)));
        let mut removed: Vec<(Version, Box<str>)> = self
            .rows
            .iter()
            .filter(|(_, (value, _))| value.is_none())
            .map(|(key, (_, at))| (*at, key.clone()))
            .collect();
        if removed.len() <= MAX_TOMBSTONES {
            return;
        }
        removed.sort();
        for (at, key) in removed.drain(..removed.len() - MAX_TOMBSTONES) {
            self.rows.remove(&key);
            self.history_start = self.history_start.max(at);
        }
    }
}
