//! Load generator, named experiments and capacity measurements.
//!
//! Most experiments run the decision code of `limits` and `routing` in a discrete-event simulation
//! of servers, callers and the network. [`drain`] and [`live`] run whole entry VMs over real
//! sockets.

pub mod capacity;
pub mod drain;
pub mod experiment;
pub mod live;
pub mod shift;
pub mod simulation;
