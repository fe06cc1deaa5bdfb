//! Load generator, named experiments and capacity measurements.
//!
//! The experiments run the decision code of `limits` and `routing` in a small event loop with
//! virtual time; servers, clients and the network are fakes.

pub mod capacity;
pub mod drain;
pub mod experiment;
pub mod live;
pub mod model;
pub mod shift;
