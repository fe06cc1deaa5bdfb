//! The table service.

use http::client::{build_request, json_request};
use http::{Method, StatusCode};
use serde_json::Value;

use crate::client::{Client, RequestKind, check_name, decode};
use crate::error::Result;
use crate::wire::{
    ConflictResponse, ListResponse, TransactionRequest, TransactionResponse, WireRow,
};

/// Condition of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// One conditional put of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Name of the row.
    pub row: Box<str>,
    /// Condition; if one fails, the whole transaction has no effect.
    pub precondition: Precondition,
    /// New value; none removes the row.
    pub value: Option<Value>,
}

/// State of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name.
    pub name: Box<str>,
    /// Changes with each write; 0 if the row does not exist.
    pub version: u64,
    /// Value; none if the row does not exist.
    pub value: Option<Value>,
}

/// Definite outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Every put took effect; the new version of the rows.
    Committed(u64),
    /// Nothing took effect; the rows whose condition failed, as they are.
    Conflict(Vec<Row>),
}

impl Client {
    /// Reads a row; a row that does not exist has version 0.
    pub async fn get(&self, row: &str) -> Result<Row> {
        check_name(row)?;
        let path = format!("/table/{row}");
        let res = self
            .exchange(RequestKind::Read, || build_request(Method::Get, &path))
            .await?;
        Ok(decode::<WireRow>(res).await?.into())
    }

    /// Lists up to `limit` rows with a prefix after the row `after`, in the order of their
    /// names, and tells whether there are more.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<(Vec<Row>, bool)> {
        check_name(prefix)?;
        if !after.is_empty() {
            check_name(after)?;
        }
        let path = format!("/table?prefix={prefix}&after={after}&limit={limit}");
        let res = self
            .exchange(RequestKind::Read, || build_request(Method::Get, &path))
            .await?;
        let listed: ListResponse = decode(res).await?;
        Ok((
            listed.rows.into_iter().map(Row::from).collect(),
            listed.more,
        ))
    }

    /// Executes all puts or none.
    pub async fn transact(&self, puts: &[Put]) -> Result<TransactionOutcome> {
        for put in puts {
            check_name(&put.row)?;
        }
        let body = TransactionRequest {
            writes: puts.iter().map(Into::into).collect(),
        };
        let build = || json_request(Method::Post, "/table/transact", &body);
        let res = self.exchange(RequestKind::Write, build).await?;
        if res.status() == StatusCode::Conflict {
            let conflicts: ConflictResponse = decode(res).await?;
            let rows = conflicts.conflicts.into_iter().map(Row::from).collect();
            return Ok(TransactionOutcome::Conflict(rows));
        }
        Ok(TransactionOutcome::Committed(
            decode::<TransactionResponse>(res).await?.version,
        ))
    }
}
