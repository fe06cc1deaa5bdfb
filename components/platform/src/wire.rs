//! JSON messages of the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::table::{Precondition, Put, Row};
use crate::vms::{Vm, VmState};

/// Body of `POST /table/transact`.
#[derive(Serialize)]
pub(crate) struct TransactionRequest<'a> {
    pub writes: Vec<WireWrite<'a>>,
}

/// One conditional put.
#[derive(Serialize)]
pub(crate) struct WireWrite<'a> {
    row: &'a str,
    #[serde(rename = "expect")]
    precondition: WirePrecondition,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
}

/// Condition of a put.
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

/// Answer to an accepted transaction.
#[derive(Deserialize)]
pub(crate) struct TransactionResponse {
    pub version: u64,
}

/// Answer to a transaction without effect.
#[derive(Deserialize)]
pub(crate) struct ConflictResponse {
    pub conflicts: Vec<WireRow>,
}

/// Answer to a list request.
#[derive(Deserialize)]
pub(crate) struct ListResponse {
    pub rows: Vec<WireRow>,
    pub more: bool,
}

/// State of a row; version 0 means that it doesn't exist.
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

/// Answer of the VM list.
#[derive(Deserialize)]
pub(crate) struct VmListResponse {
    pub vms: Vec<WireVm>,
}

/// One VM of the list.
#[derive(Deserialize)]
pub(crate) struct WireVm {
    id: Box<str>,
    state: WireVmState,
}

/// State of a VM.
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
