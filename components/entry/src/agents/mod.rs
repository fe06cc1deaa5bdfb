//! Periodic background tasks of an entry VM. Each ends when its tick channel closes.

pub mod configuration;
pub mod digests;
pub mod health;
pub mod heartbeats;
pub mod vm_list;

use std::time::Duration;

use http::client::ClientOptions;

/// Client options for a short exchange with a peer or a server.
pub(crate) fn short_exchange_options() -> ClientOptions {
    ClientOptions {
        connect_timeout: Duration::from_millis(500),
        timeout: Duration::from_secs(1),
        max_body: 1 << 20,
        ..ClientOptions::default()
    }
}
