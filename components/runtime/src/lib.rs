//! Process-wide runtime: executor, timers, clock, signals, logger and metrics recorder.

mod clock;
mod executor;
mod keep_alive;
pub mod logger;
pub mod recorder;
pub mod signals;
mod timer;

pub use async_executor::Task;
pub use clock::Clock;
pub use executor::{YieldBudget, block_on, spawn, spawn_control, timeout};
pub use keep_alive::enable_keep_alive;
pub use timer::{TimerService, sleep};
