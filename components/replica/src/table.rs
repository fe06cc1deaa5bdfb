//! Replica of one table with its tombstones.

use std::collections::{BTreeMap, BTreeSet};

use crate::kept::{Kept, KeptRow, KeptRows};

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
    /// Transaction that wrote or removed the row; 0 if no transaction removed it, but a restored store
    /// lacks it.
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

impl Rows {
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            version: self.version,
        }
    }
}

/// Place in the history of the store. Positions of a later era are later, whatever their versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// `None` if the store does not state an era.
    pub era: Option<Era>,
    /// Last transaction included.
    pub version: Version,
}

/// A snapshot is older than the replica, or the requested changes are older than its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTooOld;

/// Changes are of another era than the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherEra;

/// Value of a row (`None` for a tombstone) and the transaction that wrote it.
type Entry = (Option<Vec<u8>>, Version);

/// Replica of one table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows and tombstones of the current era by key.
    rows: BTreeMap<Box<str>, Entry>,
    position: Option<Position>,
    /// Transaction of the newest row or tombstone that was applied; 0 before the first.
    last_change: Version,
    /// Changes after this transaction are complete; earlier ones may be missing.
    history_start: Version,
    /// What stays in force of the era before.
    kept: KeptRows,
}

impl Table {
    /// Returns the last transaction applied; `None` before the first snapshot.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the transaction of the newest row or tombstone that was applied; version 0 before the
    /// first.
    pub fn last_change(&self) -> Position {
        Position {
            version: self.last_change,
            ..self.position.unwrap_or_default()
        }
    }

    /// Applies a snapshot; returns the rows that changed. A snapshot older than the replica is
    /// rejected, because rows missing from it may have been added later. That of a later era replaces
    /// all rows, except for those that are kept.
    pub fn apply_snapshot(&mut self, rows: Rows) -> Result<Vec<Row>, VersionTooOld> {
        let position = rows.position();
        match self.position {
            Some(p) if position < p => return Err(VersionTooOld),
            Some(p) if position.era > p.era => return Ok(self.replace(rows)),
            _ => {}
        }
        let version = rows.version;
        // Rows may have been added and removed since the last position without appearing here.
        if self.position != Some(position) {
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
        self.advance_position(position);
        Ok(changed)
    }

    /// Applies changes; returns the rows that changed locally.
    pub fn apply_changes(&mut self, rows: Rows) -> Result<Vec<Row>, OtherEra> {
        let position = rows.position();
        if self.position.is_some_and(|p| p.era != position.era) {
            return Err(OtherEra);
        }
        let changed = self.apply_newer(rows.rows);
        self.advance_position(position);
        Ok(changed)
    }

    /// Returns all rows of the current era without tombstones.
    pub fn snapshot(&self) -> Rows {
        let present = self.rows.iter().filter(|(_, (value, _))| value.is_some());
        self.collect_rows(present)
    }

    /// Returns the changes after a transaction of the current era, ordered by version, with
    /// tombstones.
    pub fn changes_after(&self, version: Version) -> Result<Rows, VersionTooOld> {
        if version < self.history_start {
            return Err(VersionTooOld);
        }
        let mut rows = self.collect_rows(self.rows.iter().filter(|(_, (_, at))| *at > version));
        rows.rows.sort_by_key(|r| r.version);
        Ok(rows)
    }

    /// Returns how many rows stay in force of the era before.
    pub fn kept_count(&self, reason: Kept) -> usize {
        self.kept.count(reason)
    }

    /// Returns the rows that stay in force of the era before, with tombstones.
    pub fn kept(&self) -> Rows {
        let position = self.position.unwrap_or_default();
        let rows = self.kept.iter().map(|(key, value)| Row {
            key: key.clone(),
            value: value.clone(),
            version: 0,
        });
        Rows {
            era: position.era,
            rows: rows.collect(),
            version: position.version,
        }
    }

    /// Keeps rows that another replica keeps in the same era, unless they were written again since its
    /// position; `missing` tells whether also those that this one does not have. Returns the rows that
    /// changed.
    pub fn adopt_kept(&mut self, kept: Rows, missing: bool) -> Vec<Row> {
        if self.position.is_none_or(|p| p.era != kept.era) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for row in kept.rows {
            let own = self.rows.get(&row.key);
            let written_again = own.is_some_and(|(_, at)| *at > kept.version);
            let value = own.and_then(|(value, _)| value.as_ref());
            if written_again || self.kept.contains(&row.key) || value == row.value.as_ref() {
                continue;
            }
            let reason = match value {
                Some(_) => Kept::Superseded,
                None if missing => Kept::Missing,
                None => continue,
            };
            let (key, value) = (row.key.clone(), row.value.clone());
            self.kept.insert(key, KeptRow { reason, value });
            changed.push(Row {
                version: kept.version,
                ..row
            });
        }
        changed
    }

    /// Ends the keeping of rows for a reason; returns the rows of the current era that come into
    /// force, and removals of those that it does not have.
    pub fn release(&mut self, reason: Kept) -> Vec<Row> {
        let released = self.kept.release(reason);
        let rows = released.into_iter().filter_map(|(key, value)| {
            let (current, at) = self.rows.get(&key).cloned().unwrap_or((None, 0));
            (current != value).then_some(Row {
                key,
                value: current,
                version: at,
            })
        });
        rows.collect()
    }

    /// Replaces all rows by a snapshot of a later era. Returns the rows that changed.
    fn replace(&mut self, rows: Rows) -> Vec<Row> {
        let position = rows.position();
        let before = std::mem::take(&mut self.rows);
        let in_force = self.kept.take_in_force(before);
        let newest = rows.rows.iter().map(|r| r.version).max();
        self.last_change = newest.unwrap_or(position.version);
        self.history_start = position.version;
        self.position = Some(position);
        let mut changed = Vec::new();
        for row in rows.rows {
            let known = in_force.get(&row.key);
            let entry = (row.value.clone(), row.version);
            if known.is_none_or(|value| *value != row.value)
                && !self.kept.keep_superseding(&row, known)
            {
                changed.push(row.clone());
            }
            self.rows.insert(row.key, entry);
        }
        for (key, value) in in_force {
            if value.is_some() && !self.rows.contains_key(&key) {
                let reason = Kept::Missing;
                self.kept.insert(key, KeptRow { reason, value });
            }
        }
        changed
    }

    fn collect_rows<'a>(&self, rows: impl Iterator<Item = (&'a Box<str>, &'a Entry)>) -> Rows {
        let rows = rows.map(|(key, (value, version))| Row {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        let position = self.position.unwrap_or_default();
        Rows {
            era: position.era,
            rows: rows.collect(),
            version: position.version,
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
            let mut in_force = local.and_then(|(value, _)| value.as_ref());
            if let Some((value, version)) = local {
                self.kept
                    .record_superseded(&row.key, value.as_ref(), *version);
            }
            let kept = self.kept.remove(&row.key);
            let unchanged = kept.as_ref().is_some_and(|k| k.value == row.value);
            if let Some(kept) = &kept {
                in_force = kept.value.as_ref();
            }
            let was_present = in_force.is_some();
            self.last_change = self.last_change.max(row.version);
            let entry = (row.value.clone(), row.version);
            self.rows.insert(row.key.clone(), entry);
            if !unchanged && (was_present || row.value.is_some()) {
                changed.push(row);
            }
        }
        changed
    }

    /// Moves the position forward and drops the oldest tombstones beyond the limit.
    fn advance_position(&mut self, position: Position) {
        self.position = self.position.max(Some(position));
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
