//! Admission and load-balancing decisions of the gateway, free of I/O: route matching, server
//! selection, queueing, refusal, and which entry VM owns the server pool of a service.
//!
//! All times are durations since the start of the process; callers pass the current time in.

mod balance;
mod cache_model;
mod health;
mod look_up;
mod members;
mod pool;
mod queue;
mod reachability;
mod routes;
mod server;
mod settings;
mod shift;
mod window;

pub use health::Outcome;
pub use look_up::{Candidate, Distance, HostRoute, LookUp, Quality, Selection, select};
pub use members::{Capacity, Member, MemberList, MemberState};
pub use pool::{
    AdmissionRequest, Decision, Grant, Placement, Pool, PoolSnapshot, RefuseReason, RequestId,
};
pub use reachability::Reachability;
pub use routes::{
    ClientLimits, HostRoutes, Route, RouteMatch, RouteTable, Service, WeightedService,
};
pub use server::{LoadReport, Server};
pub use settings::PoolSettings;
pub use window::SlidingWindow;
