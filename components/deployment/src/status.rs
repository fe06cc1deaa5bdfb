//! What an entry VM tells operators about itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{EntryVmId, Generation, ServiceId};
use error_stack::ResultExt;
use http::Method;
use http::client::{self, ClientOptions};
use serde::Deserialize;

use crate::error::{Error, Result};

/// Status of an entry VM.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// Generation in force; 0 without a configuration.
    pub generation: Generation,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Free slots per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Binding records kept.
    pub binding_records: usize,
    /// Entry VMs that look-ups name.
    pub candidates: Vec<EntryVmId>,
}

/// Reads the status at an operator listener.
pub async fn read(address: SocketAddr) -> Result<Status> {
    let req = client::build_request(Method::Get, "/status").change_context(Error::Exchange)?;
    let options = ClientOptions {
        timeout: Duration::from_secs(1),
        ..ClientOptions::default()
    };
    let mut res = Box::pin(client::request(address, req, &options))
        .await
        .change_context(Error::Exchange)?;
    client::parse_json(&mut res)
        .await
        .change_context(Error::Exchange)
}
