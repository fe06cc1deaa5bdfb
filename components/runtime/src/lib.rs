//! Process-wide runtime: executor, timers, clock, signals, logger and metrics recorder.

mod clock;
mod executor;
pub mod logger;
pub mod recorder;
pub mod signals;
mod tcp;
mod timer;

pub use async_executor::Task;
pub use clock::Clock;
pub use executor::{YieldBudget, block_on, spawn, spawn_control, spawn_service, timeout};
pub use tcp::{connect, discard_on_close, enable_keep_alive, limit_delivery_time};
pub use timer::{TimerService, sleep};
