//! Reads the status that an entry VM reports to operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{EntryVmId, Generation, ServiceId};
use error_stack::ResultExt;
use http::Method;
use http::client::{self, ClientOptions};
use serde::Deserialize;

use crate::error::{Error, Result};

/// The part of an entry VM's status that tests and the demo use.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// Generation of the configuration in force; 0 without a configuration.
    pub generation: Generation,
    /// Whether the process is shutting down.
    pub stopping: bool,
    /// Unused slots of this entry VM per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Records of binding work that the entry VM holds.
    pub binding_records: usize,
    /// Entry VMs that look-up responses may list.
    pub candidates: Vec<EntryVmId>,
}

/// Requests the status from the operator listener of an entry VM.
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
