//! Small stand-ins for the platform and the backend servers, with switchable faults.

mod connection;
pub mod platform;
pub mod server;
