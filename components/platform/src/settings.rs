//! Settings of the platform client.

use std::net::SocketAddr;
use std::time::Duration;

/// Addresses and limits of a platform client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Addresses of the platform; the next one is tried when one doesn't answer.
    pub addresses: Vec<SocketAddr>,
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time for one exchange.
    pub timeout: Duration,
    /// Longest answer in bytes.
    pub max_body: u64,
    /// Attempts to settle one configuration change.
    pub apply_attempts: u32,
    /// Pause after the first failed attempt; doubles with each further one.
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
