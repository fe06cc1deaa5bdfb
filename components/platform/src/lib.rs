//! Client of the platform: table service, object store, VM list, and the configuration stored in
//! them.

mod apply;
mod client;
mod date;
mod error;
mod head;
mod objects;
mod settings;
mod table;
mod vms;
mod wire;

pub use apply::{ApplyError, apply};
pub use client::Client;
pub use date::format_time;
pub use error::{Error, Result};
pub use head::{HEAD_ROW, Head, VersionedHead, history_row};
pub use objects::object_name;
pub use settings::ClientSettings;
pub use table::{Precondition, Put, Row, TransactionOutcome};
pub use vms::{Vm, VmState};
