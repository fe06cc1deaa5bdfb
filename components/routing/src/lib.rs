//! Choice of failure domain, entry VM and backend server; client block map; shift limiter.

pub mod blocks;
pub mod domain;
pub mod entry_vm;
pub mod failover;
pub mod server;
pub mod shift;

pub use config::Shares;
