//! Settings of one entry VM process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId};

/// Settings of an entry VM process, read from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of this entry VM.
    pub id: EntryVmId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Listener for other entry VMs.
    pub peer_address: SocketAddr,
    /// Listener for operators.
    pub operator_address: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses of other entry VMs to ask when the platform cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Keys for peer messages and tickets; the first one signs, all verify.
    pub keys: Vec<KeySettings>,
    /// Executor threads.
    pub threads: usize,
    /// Longest request body, in bytes.
    pub max_request_body: u64,
    /// Longest response body, in bytes.
    pub max_response_body: u64,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            id: Box::default(),
            domain: Box::default(),
            caller_address: any,
            peer_address: any,
            operator_address: any,
            platform: Vec::new(),
            seeds: Vec::new(),
            keys: Vec::new(),
            threads: 2,
            max_request_body: 1 << 20,
            max_response_body: 64 << 20,
        }
    }
}

/// One key of the keyed hash.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Key id sent with each message.
    pub id: u32,
    /// Secret of at least 16 characters.
    pub secret: Box<str>,
}

impl std::fmt::Debug for KeySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySettings")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
