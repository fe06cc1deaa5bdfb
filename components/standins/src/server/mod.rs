//! Stand-in for a backend server: slots, service times, execution log and fault injection.

mod executions;
mod faults;
mod handler;
mod response;
mod slots;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_net::TcpListener;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

pub use executions::ExecutionStats;
pub use faults::{ResponseFault, ResponseFaultRule, ServerFaults};
pub use response::EchoBody;

use crate::connection::{self, ConnectionCounters, ListenerLimits};
use executions::ExecutionLog;
use slots::Slots;

const MAX_BODY_BYTES: u64 = 16 << 20;

#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Server name in the response bodies.
    pub name: Box<str>,
    /// Concurrent requests in service.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are shed.
    pub max_queue: usize,
    pub max_connections: usize,
    /// Mean service time, before stragglers and faults.
    pub service_time: Duration,
    /// Whether service times are exponentially distributed instead of constant.
    pub exponential: bool,
    /// Probability that a request is a straggler.
    pub straggler_probability: f64,
    /// Service time multiplier of stragglers.
    pub straggler_factor: f64,
    /// Whether the work is binding: an execution continues when its connection closes.
    pub binding: bool,
    /// Response size for requests without `x-answer-bytes`.
    pub default_response_bytes: usize,
    /// Number of distinct execution ids that the log keeps.
    pub max_logged_ids: usize,
    /// Seed of the service times and faults.
    pub seed: u64,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            name: "server".into(),
            slots: 3,
            max_queue: 3,
            max_connections: 330,
            service_time: Duration::from_millis(10),
            exponential: false,
            straggler_probability: 0.0,
            straggler_factor: 10.0,
            binding: false,
            default_response_bytes: 0,
            max_logged_ids: 200_000,
            seed: 1,
        }
    }
}

/// State that the server reports in `/health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    Ready,
    /// Stops soon.
    Leaving,
    /// Not ready yet.
    Starting,
}

/// Response body of `GET /health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    pub state: ServerState,
    /// Requests in service.
    pub busy: usize,
    /// Limit of `busy`.
    pub slots: usize,
}

/// Handle of a backend server stand-in; clones share its state.
#[derive(Clone)]
pub struct Server {
    settings: Arc<ServerSettings>,
    slots: Slots,
    counters: Arc<ConnectionCounters>,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: ServerFaults,
    /// Health when `ServerFaults::stale_health` was switched on.
    stale_health: Option<Health>,
    /// Start of the cold phase: when the server was created or `ServerFaults::cold_ms` last changed.
    cold_since: Instant,
    /// When the state was set to leaving.
    leaving_since: Option<Instant>,
    log: ExecutionLog,
    rng: Rng,
}

impl Server {
    pub fn new(settings: ServerSettings) -> Server {
        let state = State {
            faults: ServerFaults::default(),
            stale_health: None,
            cold_since: Instant::now(),
            leaving_since: None,
            log: ExecutionLog::new(settings.max_logged_ids),
            rng: Rng::with_seed(settings.seed),
        };
        Server {
            slots: Slots::new(settings.slots, settings.max_queue),
            settings: Arc::new(settings),
            counters: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServerFaults)) {
        let mut faults = self.state().faults.clone();
        change(&mut faults);
        self.replace_faults(faults);
    }

    pub fn stats(&self) -> ExecutionStats {
        let mut stats = self.state().log.snapshot();
        stats.in_service = self.slots.busy();
        stats.peak_in_service = self.slots.peak();
        stats.peak_present = self.slots.peak_present();
        stats.peak_connections = self.counters.peak.load(Ordering::Relaxed);
        stats.rejected_connections = self.counters.rejected.load(Ordering::Relaxed);
        stats
    }

    /// Returns the health that the server reports, which faults can make stale or wrong.
    pub fn health(&self) -> Health {
        let state = self.state();
        let faults = &state.faults;
        faults
            .health
            .or(state.stale_health)
            .unwrap_or_else(|| self.actual_health(faults))
    }

    fn actual_health(&self, faults: &ServerFaults) -> Health {
        Health {
            state: faults.state,
            busy: self.slots.busy(),
            slots: self.settings.slots,
        }
    }

    fn replace_faults(&self, faults: ServerFaults) {
        let mut state = self.state();
        if faults.stale_health && state.stale_health.is_none() {
            state.stale_health = Some(self.actual_health(&state.faults));
        } else if !faults.stale_health {
            state.stale_health = None;
        }
        if faults.cold_ms != state.faults.cold_ms {
            state.cold_since = Instant::now();
        }
        if faults.state != state.faults.state {
            let leaving = faults.state == ServerState::Leaving;
            state.leaving_since = leaving.then(Instant::now);
        }
        state.faults = faults;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a backend server stand-in until the channel `stop` is closed; then closes every connection
/// at once, as if the process had died.
pub async fn serve_server(listener: TcpListener, server: Server, stop: Receiver<()>) {
    let limits = ListenerLimits {
        max_connections: server.settings.max_connections,
        max_body_bytes: MAX_BODY_BYTES,
    };
    let counters = server.counters.clone();
    let handler = move |request| {
        let server = server.clone();
        async move { handler::handle_request(&server, request).await }
    };
    connection::serve(listener, limits, counters, stop, handler).await;
}
