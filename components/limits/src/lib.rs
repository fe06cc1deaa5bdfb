//! Admission control of an entry VM: slot quotas and loans, queues, retry budgets, hedging and link
//! pacing.
//!
//! The crate does no I/O and reads no clock. Time is passed in as a `Duration` since process start,
//! as are the random number generator and measurements, so tests are deterministic.

pub mod budget;
pub mod hedge;
pub mod pacing;
pub mod queue;
pub mod slots;
