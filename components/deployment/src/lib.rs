//! Runs a complete deployment on loopback for the demo and for tests, with a client for its
//! callers.

mod addresses;
mod caller;
mod deployment;
mod error;
pub mod history;
pub mod load;
mod network_faults;
mod process;
pub mod sample;
mod standin_servers;
pub mod status;

pub use caller::{Caller, CallerRequest, CandidateVm, Credential, LookUpResponse, RequestOutcome};
pub use deployment::{Deployment, Options};
pub use error::{Error, Result};
pub use network_faults::NetworkFaults;
pub use process::EntryVmMode;
