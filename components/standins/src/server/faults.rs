//! Fault injection of the backend server stand-in.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use super::{Health, ServerState};

/// Active faults; none by default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Multiplier of all service times.
    pub slow_factor: f64,
    /// No request proceeds or gets a response, not even `/health`; `/executions` and `/faults` still
    /// work.
    pub frozen: bool,
    /// Every request except `/health` is refused with 503 and `x-not-run: 1`.
    pub shed_all: bool,
    /// State that the server reports; it serves requests in every state.
    pub state: ServerState,
    /// Duration of the cold phase in milliseconds, which starts when this value changes.
    pub cold_ms: u64,
    /// Multiplier of the service times in the cold phase.
    pub cold_factor: f64,
    /// `/health` keeps reporting the health at the time when this was switched on.
    pub stale_health: bool,
    /// `/health` reports this instead of the actual health.
    pub health: Option<Health>,
    /// Which requests get a faulty response.
    pub bad_answers: Option<ResponseFaultRule>,
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

/// Fault of responses, and how often it occurs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseFaultRule {
    pub kind: ResponseFault,
    /// Probability that a request gets the fault, from 0 to 1.
    #[serde(default = "one")]
    pub probability: f64,
    /// Number of requests that still get the fault; unlimited if `None`.
    #[serde(default)]
    pub left: Option<u64>,
}

fn one() -> f64 {
    1.0
}

/// Fault of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseFault {
    /// The connection closes in the middle of the body.
    #[serde(rename = "cut")]
    Truncate,
    /// Two different `Content-Length` headers.
    TwoLengths,
    /// No `Content-Length` header; the body ends when the connection closes.
    NoLength,
    /// The work runs, then the connection closes without a response.
    Close,
    /// The connection closes without a response before the work runs.
    CloseBeforeWork,
}

impl ServerFaults {
    /// Draws the fault of the next response and decrements the number of faults left.
    pub(super) fn next_response_fault(&mut self, rng: &mut Rng) -> Option<ResponseFault> {
        let rule = self.bad_answers.as_mut()?;
        if rule.left == Some(0) || rng.f64() >= rule.probability {
            return None;
        }
        if let Some(left) = &mut rule.left {
            *left -= 1;
        }
        Some(rule.kind)
    }
}
