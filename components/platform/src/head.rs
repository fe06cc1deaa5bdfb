//! Head row of the configuration in force and the history of its generations.

use config::Generation;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::client::Client;
use crate::error::{Error, Result};
use crate::table::Row;

/// Row that refers to the configuration in force.
pub const HEAD_ROW: &str = "config/head";
/// Prefix of the history rows, one for each accepted configuration.
const HISTORY_PREFIX: &str = "config/history/";
const PAGE_ROWS: usize = 500;

/// Metadata of an accepted configuration; its content is in an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub generation: Generation,
    /// Generation that this one replaced; 0 for the first one.
    pub parent: Generation,
    /// Name of the object with the content.
    pub object: Box<str>,
    /// Random id of the change.
    pub operation: Box<str>,
    /// Operator who made the change.
    pub author: Box<str>,
    /// Platform time of the change in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Configuration in force, with the version of the head row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedHead {
    /// Version of the head row; 0 if there is no configuration yet.
    pub version: u64,
    pub head: Option<Head>,
}

impl VersionedHead {
    /// Returns the generation in force; 0 if there is no configuration yet.
    pub fn generation(&self) -> Generation {
        self.head.as_ref().map_or(0, |head| head.generation)
    }
}

/// Returns the name of the history row of a generation; names sort in the order of generations.
pub fn history_row(generation: Generation) -> Box<str> {
    format!("{HISTORY_PREFIX}{generation:020}").into()
}

/// Decodes the head row or a history row; `None` if the row does not exist.
pub(crate) fn decode_head(row: Row) -> Result<Option<Head>> {
    let Row { name, value, .. } = row;
    let Some(value) = value else {
        return Ok(None);
    };
    let head: Head = serde_json::from_value(value)
        .change_context(Error::InvalidRow)
        .attach_with(|| format!("row {name}"))?;
    if &*name != HEAD_ROW && name != history_row(head.generation) {
        return Err(Report::new(Error::InvalidRow).attach(format!("row {name}")));
    }
    Ok(Some(head))
}

impl Client {
    /// Reads the configuration in force.
    pub async fn head(&self) -> Result<VersionedHead> {
        let row = self.get(HEAD_ROW).await?;
        Ok(VersionedHead {
            version: row.version,
            head: decode_head(row)?,
        })
    }

    /// Reads the history row of a generation.
    pub async fn history_entry(&self, generation: Generation) -> Result<Option<Head>> {
        decode_head(self.get(&history_row(generation)).await?)
    }

    /// Reads the newest `limit` accepted configurations, oldest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<Head>> {
        let newest = self.head().await?.generation();
        let mut after = history_row(newest.saturating_sub(limit as u64));
        let mut heads = Vec::new();
        loop {
            let (rows, more) = self.list(HISTORY_PREFIX, &after, PAGE_ROWS).await?;
            if let Some(last) = rows.last() {
                after = last.name.clone();
            }
            for row in rows {
                heads.extend(decode_head(row)?);
            }
            if !more || heads.len() >= limit {
                heads.truncate(limit);
                return Ok(heads);
            }
        }
    }
}
