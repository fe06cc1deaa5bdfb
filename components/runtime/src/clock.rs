//! Process clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Moment of the process start.
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start; wall clock steps do not change it.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the wall clock in milliseconds since the Unix epoch.
    pub fn wall_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}
