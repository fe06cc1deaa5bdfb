//! Decisions of the gateway, without input or output: which route a request takes, which server
//! may run it and when, what is refused, and which entry VM decides that for a service.
//!
//! Time is passed in as the uptime of the process.

mod balance;
mod health;
mod members;
mod pool;
mod queue;
mod routes;
mod server;
mod settings;
mod shift;
mod warmth;
mod window;

pub use health::Outcome;
pub use members::{Member, Members, State};
pub use pool::{Ask, AskId, Decision, Grant, Placement, Pool, RefuseReason, Snapshot};
pub use routes::{Choice, ClientLimits, Host, Part, Route, RouteTable, Service};
pub use server::{Load, Server};
pub use settings::PoolSettings;
pub use window::Window;
