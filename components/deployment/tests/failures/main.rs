//! Failure tests of complete deployments inside the test process.
//!
//! Every test checks the outcomes that callers saw against the execution logs of the servers.

mod common;
mod configuration;
mod keys;
mod leaving;
mod partition;
mod refusal_copies;
mod server_faults;
mod slots;
