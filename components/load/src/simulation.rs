//! Discrete-event simulation of servers, callers and the network in virtual time.

pub mod breaker;
pub mod domain_choice;
pub mod events;
pub mod link;
pub mod run;
pub mod scenario;
pub mod server;
pub mod stats;
pub mod vm;
