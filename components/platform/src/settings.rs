//! Settings of the platform client.

use std::net::SocketAddr;
use std::time::Duration;

/// Addresses and limits of a platform client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Platform addresses, tried in this order until one responds; a write that may have been
    /// received is not sent to the next one.
    pub addresses: Vec<SocketAddr>,
    pub connect_timeout: Duration,
    /// Time for one request and its response.
    pub timeout: Duration,
    /// Size limit of a response body in bytes.
    pub max_body: u64,
    /// Limit of attempts for each step of a configuration change.
    pub apply_attempts: u32,
    /// Longest pause after the first failed attempt; doubles with each further attempt.
    pub backoff: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings {
            addresses: Vec::new(),
            connect_timeout: Duration::from_secs(1),
            timeout: Duration::from_secs(3),
            max_body: 64 << 20,
            apply_attempts: 5,
            backoff: Duration::from_millis(100),
        }
    }
}
