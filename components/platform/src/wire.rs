//! JSON messages of the platform API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::table::{Precondition, Put, Row};
use crate::vms::{Vm, VmState};

/// Body of `POST /table/transact`.
#[derive(Serialize)]
pub(crate) struct TransactionRequest<'a> {
    pub writes: Vec<WireWrite<'a>>,
}

#[derive(Serialize)]
pub(crate) struct WireWrite<'a> {
    row: &'a str,
    #[serde(rename = "expect")]
    precondition: WirePrecondition,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum WirePrecondition {
    Absent,
    Version(u64),
    Any,
}

impl<'a> From<&'a Put> for WireWrite<'a> {
    fn from(put: &'a Put) -> Self {
        let precondition = match put.precondition {
            Precondition::Absent => WirePrecondition::Absent,
            Precondition::Version(version) => WirePrecondition::Version(version),
            Precondition::Any => WirePrecondition::Any,
        };
        WireWrite {
            row: &put.row,
            precondition,
            value: put.value.as_ref(),
        }
    }
}

/// Response to a transaction that took effect.
#[derive(Deserialize)]
pub(crate) struct TransactionResponse {
    pub version: u64,
}

/// Response to a transaction whose preconditions failed.
#[derive(Deserialize)]
pub(crate) struct ConflictResponse {
    pub conflicts: Vec<WireRow>,
}

/// Response to `GET /table`.
#[derive(Deserialize)]
pub(crate) struct ListResponse {
    pub rows: Vec<WireRow>,
    pub more: bool,
}

/// State of a row; version 0 means that the row does not exist.
#[derive(Deserialize)]
pub(crate) struct WireRow {
    row: Box<str>,
    version: u64,
    value: Option<Value>,
}

impl From<WireRow> for Row {
    fn from(wire: WireRow) -> Self {
        Row {
            name: wire.row,
            version: wire.version,
            value: wire.value,
        }
    }
}

/// Response to `GET /vms`.
#[derive(Deserialize)]
pub(crate) struct VmListResponse {
    pub vms: Vec<WireVm>,
}

#[derive(Deserialize)]
pub(crate) struct WireVm {
    id: Box<str>,
    state: WireVmState,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireVmState {
    Live,
    Leaving,
}

impl From<WireVm> for Vm {
    fn from(wire: WireVm) -> Self {
        let state = match wire.state {
            WireVmState::Live => VmState::Live,
            WireVmState::Leaving => VmState::Leaving,
        };
        Vm { id: wire.id, state }
    }
}
