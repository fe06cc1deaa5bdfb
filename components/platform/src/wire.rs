//! JSON messages of the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::table::{Expect, Put, Row};
use crate::vms::{Vm, VmState};

/// Body of `POST /table/transact`.
#[derive(Serialize)]
pub(crate) struct Transaction<'a> {
    pub writes: Vec<WireWrite<'a>>,
}

/// One conditional put.
#[derive(Serialize)]
pub(crate) struct WireWrite<'a> {
    row: &'a str,
    expect: WireExpect,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
}

/// Condition of a put.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum WireExpect {
    Absent,
    Version(u64),
    Any,
}

impl<'a> From<&'a Put> for WireWrite<'a> {
    fn from(put: &'a Put) -> Self {
        let expect = match put.expect {
            Expect::Absent => WireExpect::Absent,
            Expect::Version(version) => WireExpect::Version(version),
            Expect::Any => WireExpect::Any,
        };
        WireWrite {
            row: &put.row,
            expect,
            value: put.value.as_ref(),
        }
    }
}

/// Answer to an accepted transaction.
#[derive(Deserialize)]
pub(crate) struct Accepted {
    pub version: u64,
}

/// Answer to a transaction without effect.
#[derive(Deserialize)]
pub(crate) struct Conflicts {
    pub conflicts: Vec<WireRow>,
}

/// Answer to a list request.
#[derive(Deserialize)]
pub(crate) struct Listed {
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
pub(crate) struct VmList {
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
