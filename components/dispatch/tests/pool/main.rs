//! Tests of server pools.

mod common;
mod decisions;
mod placement;
mod refusals;
mod shift;
mod simulation;
