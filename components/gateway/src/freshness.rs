//! Detects that this process did not run for a while, after which its view of the servers may be old.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use runtime::Clock;

/// Gap between two observations from which the process counts as paused. Longer than the delay that
/// a busy processor causes.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// Time after a pause in which requests wait for the platform to confirm the view. An entry VM
/// without a connection to the platform then goes on with what it knows.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval between checks of a waiting request.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// When this process was last seen running, and how recent its view of the servers is. Moments are
/// times since boot, which include those for which the machine was suspended.
#[derive(Debug)]
pub(crate) struct Freshness {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    last_seen: Duration,
    /// End of the last pause; zero before the first.
    resumed_at: Duration,
    /// When the newest answer of the platform was requested.
    confirmed_at: Duration,
}

impl Default for Freshness {
    fn default() -> Self {
        let state = State {
            last_seen: Clock::boot_time(),
            resumed_at: Duration::ZERO,
            confirmed_at: Duration::ZERO,
        };
        Freshness {
            state: Mutex::new(state),
        }
    }
}

impl Freshness {
    /// Records that the process is running; detects a pause since the last call.
    pub fn observe(&self) {
        let now = Clock::boot_time();
        let mut state = self.lock();
        let gap = now.saturating_sub(state.last_seen);
        state.last_seen = now;
        if gap >= MIN_PAUSE {
            state.resumed_at = now;
            log::warn!("event=process_paused gap_ms={}", gap.as_millis());
        }
    }

    /// Returns whether the process was paused after a time since boot.
    pub fn paused_since(&self, at: Duration) -> bool {
        self.observe();
        self.lock().resumed_at > at
    }

    /// Records an answer of the platform to a poll that started at this time since boot.
    pub fn confirm(&self, polled_at: Duration) {
        let mut state = self.lock();
        state.confirmed_at = state.confirmed_at.max(polled_at);
    }

    /// Waits until the view is as new as the end of the last pause, until `MAX_WAIT` after it.
    pub async fn wait(&self) {
        self.observe();
        while self.must_wait() {
            runtime::sleep(WAIT_STEP).await;
        }
    }

    fn must_wait(&self) -> bool {
        let state = self.lock();
        let confirmed = state.confirmed_at >= state.resumed_at;
        !confirmed && Clock::boot_time().saturating_sub(state.resumed_at) < MAX_WAIT
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
