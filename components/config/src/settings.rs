//! Settings of an entry VM process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EntryVmId};

/// Settings of an entry VM process, read from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of this entry VM.
    pub id: EntryVmId,
    pub domain: DomainId,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other entry VMs.
    pub peer_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses of other entry VMs that are queried when the platform cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// Keys for peer messages and tickets; the first key signs, all keys verify.
    pub keys: Vec<KeySettings>,
    /// Number of executor threads.
    pub threads: usize,
    /// Maximum size of a request body, in bytes.
    pub max_request_body: u64,
    /// Maximum size of a response body, in bytes.
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

/// A key of the keyed hash.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Key id, sent with each message.
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
