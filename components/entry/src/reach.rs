//! Which addresses this process can reach.
//!
//! Tests cut links here; a daemon reaches everything that the network lets it reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpStream;
use error_stack::Report;
use http::client;
use http::{Error, Result};

/// Tells whether packets to an address arrive.
pub type Reachable = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Reaches every address.
pub fn everything() -> Reachable {
    Arc::new(|_| true)
}

/// Opens a connection; over a cut link it times out as it does when packets are dropped.
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
