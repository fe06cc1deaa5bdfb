//! List of live and leaving VMs.

use http::Method;
use http::client::build_request;

use crate::client::{Client, RequestKind, decode};
use crate::error::Result;
use crate::wire::VmListResponse;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Running.
    Live,
    /// Will be stopped soon.
    Leaving,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    pub id: Box<str>,
    pub state: VmState,
}

impl Client {
    /// Reads the VM list, which may miss new VMs and still contain stopped ones.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let res = self
            .exchange(RequestKind::Read, || build_request(Method::Get, "/vms"))
            .await?;
        let list: VmListResponse = decode(res).await?;
        Ok(list.vms.into_iter().map(Vm::from).collect())
    }
}
