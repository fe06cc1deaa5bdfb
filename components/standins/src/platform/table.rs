//! Table of versioned rows, changed by atomic transactions of conditional puts.

use std::collections::{BTreeMap, HashSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Limit of a single transaction.
const MAX_PUTS: usize = 256;
/// Size limit of a row's value as JSON.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// Size limit of the names of rows, objects and VMs.
const MAX_NAME_BYTES: usize = 256;

/// Precondition of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Always holds.
    Any,
}

/// Conditional write of one row in a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    pub row: Box<str>,
    #[serde(rename = "expect")]
    pub precondition: Precondition,
    /// New value; `None` removes the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

/// State of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    #[serde(rename = "row")]
    pub name: Box<str>,
    /// Version of the transaction that last wrote the row; 0 if the row does not exist.
    pub version: u64,
    /// `None` if the row does not exist.
    pub value: Option<Value>,
}

/// Reason why a transaction had no effect.
#[derive(Debug)]
pub(super) enum TransactionError {
    /// Preconditions failed; holds the current state of their rows.
    Conflict(Vec<Row>),
    /// The transaction is malformed; holds the reason.
    Invalid(String),
    /// The transaction could exceed the row limit. Every put counts as a new row.
    TableFull,
}

pub(super) struct Table {
    /// Version and value by row name.
    rows: BTreeMap<Box<str>, (u64, Value)>,
    /// Version of the last committed transaction.
    version: u64,
    max_rows: usize,
}

impl Table {
    pub fn new(max_rows: usize) -> Table {
        Table {
            rows: BTreeMap::new(),
            version: 0,
            max_rows,
        }
    }

    /// Reads a row; a row that does not exist has version 0.
    pub fn get(&self, row: &str) -> Row {
        let found = self.rows.get(row);
        Row {
            name: row.into(),
            version: found.map_or(0, |(version, _)| *version),
            value: found.map(|(_, value)| value.clone()),
        }
    }

    /// Lists up to `limit` rows with a prefix that follow the row `after`, in the order of their
    /// names; also returns whether there are more.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Row>, bool) {
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

    /// Executes all puts or none; returns the new version of the written rows.
    pub fn transact(&mut self, puts: &[Put]) -> Result<u64, TransactionError> {
        validate(puts).map_err(TransactionError::Invalid)?;
        let conflicts: Vec<Row> = puts
            .iter()
            .filter(|put| !self.precondition_holds(put))
            .map(|put| self.get(&put.row))
            .collect();
        if !conflicts.is_empty() {
            return Err(TransactionError::Conflict(conflicts));
        }
        if self.rows.len() + puts.len() > self.max_rows {
            return Err(TransactionError::TableFull);
        }
        self.version += 1;
        for put in puts {
            match &put.value {
                Some(value) => {
                    self.rows
                        .insert(put.row.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&put.row);
                }
            }
        }
        Ok(self.version)
    }

    fn precondition_holds(&self, put: &Put) -> bool {
        let found = self.rows.get(&put.row).map(|(version, _)| *version);
        match put.precondition {
            Precondition::Absent => found.is_none(),
            Precondition::Version(version) => found == Some(version),
            Precondition::Any => true,
        }
    }
}

fn validate(puts: &[Put]) -> Result<(), String> {
    if puts.is_empty() || puts.len() > MAX_PUTS {
        return Err(format!("a transaction has 1 to {MAX_PUTS} writes"));
    }
    let mut row_names = HashSet::new();
    for put in puts {
        check_name(&put.row)?;
        if !row_names.insert(&put.row) {
            return Err(format!("row {} occurs twice", put.row));
        }
        if put
            .value
            .as_ref()
            .is_some_and(|value| value.to_string().len() > MAX_VALUE_BYTES)
        {
            return Err(format!(
                "value of row {} exceeds {MAX_VALUE_BYTES} bytes",
                put.row
            ));
        }
    }
    Ok(())
}

/// Validates the name of a row, object or VM.
pub(super) fn check_name(name: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/_.:-".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(format!(
            "name {name:?} has 1 to {MAX_NAME_BYTES} characters of [A-Za-z0-9/_.:-]"
        ));
    }
    Ok(())
}
