//! Whole deployments in this process under failure.
//!
//! Every test compares what callers were told with the execution logs of the servers.

mod common;
mod configuration;
mod keys;
mod leaving;
mod partition;
mod server_faults;
mod slots;
