//! Small stand-ins for the platform, the store of the users' platform and the backend servers, with
//! switchable faults.

mod connection;
pub mod platform;
pub mod server;
pub mod store;
