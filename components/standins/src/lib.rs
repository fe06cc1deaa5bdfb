//! In-memory stand-ins for the platform, the store of the users' platform and the backend servers,
//! with fault injection for tests and load runs.

pub mod address;
mod connection;
pub mod partition;
pub mod platform;
pub mod server;
pub mod store;
