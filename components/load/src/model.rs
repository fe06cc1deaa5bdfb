//! Fakes of servers, clients and the network, driven by one event loop in virtual time.

pub mod breaker;
pub mod events;
pub mod link;
pub mod run;
pub mod scenario;
pub mod server;
pub mod spill;
pub mod stats;
pub mod vm;
