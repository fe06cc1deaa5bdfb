//! Rows that stay in force although a store that is back from an older copy contradicts them.
//!
//! The copy lacks what was written after it, until it is written again: rows, new values of rows and
//! removals. Rows of the copy that the replica has seen being overwritten or removed, and rows that
//! the copy does not have, do not come into force at once.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::table::{Row, Version};

/// Overwritten and removed rows that are remembered; more than are written in the time that a copy
/// goes back.
const MAX_SUPERSEDED: usize = 4000;

/// Why a row is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The copy does not have it.
    Missing,
    /// The copy has a value that was overwritten or removed after the copy.
    Superseded,
}

/// A value that was overwritten or removed, as its key, transaction and hash.
type Superseded = (Box<str>, Version, u64);

/// Values in force, `None` for a removed row, by key.
pub(crate) type InForce = BTreeMap<Box<str>, Option<Vec<u8>>>;

/// What stays in force of a row.
#[derive(Clone, Debug)]
pub(crate) struct KeptRow {
    pub reason: Kept,
    /// `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Kept rows of a table, and the values by which those of a copy are recognised as outdated.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptRows {
    rows: BTreeMap<Box<str>, KeptRow>,
    /// The last values that were overwritten or removed, oldest first.
    superseded: VecDeque<Superseded>,
}

impl KeptRows {
    pub fn count(&self, reason: Kept) -> usize {
        self.rows.values().filter(|r| r.reason == reason).count()
    }

    /// Records that the value that a transaction wrote is overwritten or removed.
    pub fn record_superseded(&mut self, key: &str, value: Option<&Vec<u8>>, version: Version) {
        if value.is_none() {
            return;
        }
        if self.superseded.len() == MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
        self.superseded
            .push_back((key.into(), version, hash(value)));
    }

    /// Removes and returns the values in force, given the rows of the era that ends.
    pub fn take_in_force(
        &mut self,
        rows: BTreeMap<Box<str>, (Option<Vec<u8>>, Version)>,
    ) -> InForce {
        let values = rows.into_iter().map(|(key, (value, _))| (key, value));
        let mut in_force: InForce = values.collect();
        let kept = std::mem::take(&mut self.rows);
        in_force.extend(kept.into_iter().map(|(key, row)| (key, row.value)));
        in_force
    }

    /// Keeps the value in force if the row is one that it has superseded; returns whether it does.
    pub fn keep_superseding(&mut self, row: &Row, in_force: Option<&Option<Vec<u8>>>) -> bool {
        let hash = hash(row.value.as_ref());
        let mut superseded = self.superseded.iter();
        let is_superseded = superseded
            .any(|(key, version, h)| *key == row.key && *version == row.version && *h == hash);
        if is_superseded {
            let kept = KeptRow {
                reason: Kept::Superseded,
                value: in_force.cloned().unwrap_or_default(),
            };
            self.rows.insert(row.key.clone(), kept);
        }
        is_superseded
    }

    pub fn insert(&mut self, key: Box<str>, row: KeptRow) {
        self.rows.insert(key, row);
    }

    pub fn contains(&self, key: &str) -> bool {
        self.rows.contains_key(key)
    }

    /// Returns the keys and values that stay in force.
    pub fn iter(&self) -> impl Iterator<Item = (&Box<str>, &Option<Vec<u8>>)> {
        self.rows.iter().map(|(key, row)| (key, &row.value))
    }

    /// Ends the keeping of a row that is written again.
    pub fn remove(&mut self, key: &str) -> Option<KeptRow> {
        self.rows.remove(key)
    }

    /// Removes and returns the rows that are kept for this reason.
    pub fn release(&mut self, reason: Kept) -> Vec<(Box<str>, Option<Vec<u8>>)> {
        let released = self.rows.extract_if(.., |_, r| r.reason == reason);
        released.map(|(key, row)| (key, row.value)).collect()
    }
}

fn hash(value: Option<&Vec<u8>>) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
