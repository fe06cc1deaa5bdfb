//! Slot split and loans, class queues, retry budget, hedging and link pacing.
//!
//! All modules are pure: time is a `Duration` since process start, and randomness and
//! measurements are arguments.

pub mod budget;
pub mod hedge;
pub mod pacing;
pub mod queue;
pub mod slots;
