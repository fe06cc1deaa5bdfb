//! Pools of slots.

mod common;
mod decisions;
mod shift;
