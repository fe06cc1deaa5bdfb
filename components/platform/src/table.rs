//! Table service: versioned rows and conditional transactions.

use http::client::{build_request, json_request};
use http::{Method, StatusCode};
use serde_json::Value;

use crate::client::{Client, RequestKind, check_name, decode};
use crate::error::Result;
use crate::wire::{
    ConflictResponse, ListResponse, TransactionRequest, TransactionResponse, WireRow,
};

/// Precondition of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Always holds.
    Any,
}

/// Conditional write of one row in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    pub row: Box<str>,
    /// If the precondition of any put fails, the whole transaction has no effect.
    pub precondition: Precondition,
    /// New value; `None` removes the row.
    pub value: Option<Value>,
}

/// State of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub name: Box<str>,
    /// Changes with each write; 0 if the row does not exist.
    pub version: u64,
    /// `None` if the row does not exist.
    pub value: Option<Value>,
}

/// Known outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// All puts took effect; holds the new version of the rows.
    Committed(u64),
    /// No put took effect; holds the current state of the rows whose precondition failed.
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

    /// Lists up to `limit` rows with a prefix that follow the row `after`, in the order of their
    /// names; also returns whether there are more.
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

    /// Executes all puts atomically.
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
