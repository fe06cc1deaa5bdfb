//! Monotonic and wall clock of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that measures the uptime of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start; adjustments of the wall clock do not affect it.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time since the machine was booted, including the time for which it was suspended.
    pub fn boot_time() -> Duration {
        clock_gettime(ClockId::Boottime)
            .try_into()
            .unwrap_or_default()
    }

    /// Returns the wall clock time in milliseconds since the Unix epoch.
    pub fn wall_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}
