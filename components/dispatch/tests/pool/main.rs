//! Pools of slots.

mod common;
mod decisions;
mod placement;
mod shift;
mod simulation;
