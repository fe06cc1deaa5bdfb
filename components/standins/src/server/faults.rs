//! Faults of the backend server stand-in.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use super::{Health, ServerState};

/// Faults in force; all off by default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Factor on all service times.
    pub slow_factor: f64,
    /// No request proceeds or is answered, not even `/health`.
    pub frozen: bool,
    /// Every request is shed with 503 and `x-not-run: 1`.
    pub shed_all: bool,
    /// State that the server reports; it serves what it gets in every state.
    pub state: ServerState,
    /// Length of the cold phase in milliseconds, counted from the moment when this value changes.
    pub cold_ms: u64,
    /// Factor on the service times in the cold phase.
    pub cold_factor: f64,
    /// `/health` keeps the values that were true when this was switched on.
    pub stale_health: bool,
    /// `/health` answers this instead of the truth.
    pub health: Option<Health>,
    /// Bad answers.
    pub bad_answers: Option<BadAnswers>,
}

impl Default for ServerFaults {
    fn default() -> Self {
        ServerFaults {
            slow_factor: 1.0,
            frozen: false,
            shed_all: false,
            state: ServerState::Ready,
            cold_ms: 0,
            cold_factor: 5.0,
            stale_health: false,
            health: None,
            bad_answers: None,
        }
    }
}

/// Which answers are bad.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadAnswers {
    /// What is wrong with them.
    pub kind: BadAnswer,
    /// Share of bad answers (0 to 1).
    #[serde(default = "one")]
    pub probability: f64,
    /// Number of bad answers left; unlimited without it.
    #[serde(default)]
    pub left: Option<u64>,
}

fn one() -> f64 {
    1.0
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadAnswer {
    /// The connection closes in the middle of the body.
    Cut,
    /// Two different `Content-Length` headers.
    TwoLengths,
    /// No `Content-Length`; the body ends with the connection.
    NoLength,
    /// The work runs and the connection closes without an answer.
    Close,
    /// The connection closes without an answer before the work runs.
    CloseBeforeWork,
}

impl ServerFaults {
    /// What is wrong with the next answer, if anything; counts it.
    pub(super) fn next_answer(&mut self, rng: &mut Rng) -> Option<BadAnswer> {
        let bad = self.bad_answers.as_mut()?;
        if bad.left == Some(0) || rng.f64() >= bad.probability {
            return None;
        }
        if let Some(left) = &mut bad.left {
            *left -= 1;
        }
        Some(bad.kind)
    }
}
