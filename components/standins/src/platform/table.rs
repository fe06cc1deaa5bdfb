//! Rows with versions, changed by atomic lists of conditional puts.

use std::collections::{BTreeMap, HashSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Most conditional puts in one transaction.
const MAX_WRITES: usize = 256;
/// Longest value of a row in bytes of JSON.
const MAX_VALUE: usize = 64 << 10;
/// Longest row name in bytes.
const MAX_NAME: usize = 256;

/// Condition of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// One conditional put.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Name of the row.
    pub row: Box<str>,
    /// Condition.
    pub expect: Expect,
    /// New value; without one the row is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// Current state of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowState {
    /// Name of the row.
    pub row: Box<str>,
    /// Version of the last transaction that wrote it; 0 if it does not exist.
    pub version: u64,
    /// Value; none if the row does not exist.
    pub value: Option<Value>,
}

/// Why a transaction had no effect.
#[derive(Debug)]
pub(super) enum Denied {
    /// Some conditions did not hold; the rows in question as they are.
    Conflict(Vec<RowState>),
    /// The transaction is not valid.
    Invalid(String),
    /// There is no space for more rows.
    Full,
}

/// All rows.
pub(super) struct Table {
    rows: BTreeMap<Box<str>, (u64, Value)>,
    version: u64,
    max_rows: usize,
}

impl Table {
    /// An empty table for at most `max_rows` rows.
    pub fn new(max_rows: usize) -> Table {
        Table {
            rows: BTreeMap::new(),
            version: 0,
            max_rows,
        }
    }

    /// State of a row.
    pub fn get(&self, row: &str) -> RowState {
        let found = self.rows.get(row);
        RowState {
            row: row.into(),
            version: found.map_or(0, |(version, _)| *version),
            value: found.map(|(_, value)| value.clone()),
        }
    }

    /// Rows with a prefix after the row `after`, and whether there are more than `limit`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<RowState>, bool) {
        let start: &str = prefix.max(after);
        let mut rows: Vec<_> = self
            .rows
            .range::<str, _>((Bound::Included(start), Bound::Unbounded))
            .take_while(|(row, _)| row.starts_with(prefix))
            .filter(|(row, _)| after.is_empty() || row.as_ref() > after)
            .take(limit.saturating_add(1))
            .map(|(row, _)| self.get(row))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        (rows, more)
    }

    /// Executes all puts or none; returns the new version of the rows.
    pub fn transact(&mut self, writes: &[Write]) -> Result<u64, Denied> {
        check(writes).map_err(Denied::Invalid)?;
        let failed: Vec<RowState> = writes
            .iter()
            .filter(|write| !self.holds(write))
            .map(|write| self.get(&write.row))
            .collect();
        if !failed.is_empty() {
            return Err(Denied::Conflict(failed));
        }
        if self.rows.len() + writes.len() > self.max_rows {
            return Err(Denied::Full);
        }
        self.version += 1;
        for write in writes {
            match &write.value {
                Some(value) => {
                    self.rows
                        .insert(write.row.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.row);
                }
            }
        }
        Ok(self.version)
    }

    fn holds(&self, write: &Write) -> bool {
        let found = self.rows.get(&write.row).map(|(version, _)| *version);
        match write.expect {
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
            Expect::Any => true,
        }
    }
}

fn check(writes: &[Write]) -> Result<(), String> {
    if writes.is_empty() || writes.len() > MAX_WRITES {
        return Err(format!("a transaction has 1 to {MAX_WRITES} writes"));
    }
    let mut names = HashSet::new();
    for write in writes {
        check_name(&write.row)?;
        if !names.insert(&write.row) {
            return Err(format!("row {} occurs twice", write.row));
        }
        if write
            .value
            .as_ref()
            .is_some_and(|value| value.to_string().len() > MAX_VALUE)
        {
            return Err(format!(
                "value of row {} exceeds {MAX_VALUE} bytes",
                write.row
            ));
        }
    }
    Ok(())
}

/// Checks the name of a row, object or VM.
pub(super) fn check_name(name: &str) -> Result<(), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "/_.:-".contains(c);
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(plain) {
        return Err(format!(
            "name {name:?} has 1 to {MAX_NAME} characters of [A-Za-z0-9/_.:-]"
        ));
    }
    Ok(())
}
