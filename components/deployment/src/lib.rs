//! A whole deployment inside one process, for the demo and for tests, and a caller for it.

mod addresses;
mod caller;
mod error;
mod running;

pub use caller::{Answer, Caller, Work};
pub use error::{Error, Result};
pub use running::{Deployment, Options};
