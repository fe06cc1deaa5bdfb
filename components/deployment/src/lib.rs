//! A whole deployment on loopback, for the demo and for tests, and a caller for it.

mod addresses;
mod caller;
mod cuts;
mod error;
pub mod history;
pub mod load;
mod machines;
mod process;
mod running;
pub mod sample;
pub mod status;

pub use caller::{Answer, Caller, Credential, LookUp, NamedVm, Work};
pub use cuts::Cuts;
pub use error::{Error, Result};
pub use process::Place;
pub use running::{Deployment, Options};
