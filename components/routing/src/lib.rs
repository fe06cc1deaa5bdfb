//! Choice of failure domain, entry VM and backend server; client block map; shift limiter.

pub mod blocks;
pub mod domain;
pub mod entry_vm;
pub mod failover;
pub mod server;
pub mod shift;

/// Share of a service's traffic per failure domain; shares add up to 1.
pub type Shares = std::collections::BTreeMap<config::DomainId, f64>;
