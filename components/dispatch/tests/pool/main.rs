//! Tests of server pools.

mod common;
mod decisions;
mod placement;
mod shift;
mod simulation;
