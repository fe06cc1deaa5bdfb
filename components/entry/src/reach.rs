//! Filter for the addresses to which this process opens connections.
//!
//! Tests use it to simulate network partitions; the daemon allows all addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpStream;
use error_stack::Report;
use http::client;
use http::{Error, Result};

/// Returns whether packets to an address arrive.
pub type Reachable = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Allows every address.
pub fn all_addresses() -> Reachable {
    Arc::new(|_| true)
}

/// Opens a connection. For an unreachable address it fails after `limit`, as it does when packets
/// are dropped.
pub async fn connect(
    reachable: &Reachable,
    address: SocketAddr,
    limit: Duration,
) -> Result<TcpStream> {
    if reachable(address) {
        return client::connect(address, limit).await;
    }
    runtime::sleep(limit).await;
    Err(Report::new(Error::Connect).attach(address))
}
