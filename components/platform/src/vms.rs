//! The list of live and leaving VMs.

use http::Method;
use http::client::build_request;

use crate::client::{Client, RequestKind, decode};
use crate::error::Result;
use crate::wire::VmListResponse;

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Running.
    Live,
    /// Going to be stopped.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name.
    pub id: Box<str>,
    /// State.
    pub state: VmState,
}

impl Client {
    /// The VM list; it may lag behind in both directions.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let res = self
            .exchange(RequestKind::Read, || build_request(Method::Get, "/vms"))
            .await?;
        let list: VmListResponse = decode(res).await?;
        Ok(list.vms.into_iter().map(Vm::from).collect())
    }
}
