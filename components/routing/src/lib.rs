//! Selection of failure domains, entry VMs and backend servers, look-up of client blocks, and
//! limits on the rate of traffic shifts.

pub mod blocks;
pub mod domain;
pub mod entry_vm;
pub mod failover;
pub mod server;
pub mod shift;

pub use config::Shares;
