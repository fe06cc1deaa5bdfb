//! Stand-in for a backend server: slots, service times, an execution log and faults.

mod answer;
mod executions;
mod faults;
mod slots;
mod work;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_net::TcpListener;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

pub use answer::Echo;
pub use executions::Executions;
pub use faults::{BadAnswer, BadAnswers, ServerFaults};

use crate::connection::{self, Counters, Limits};
use executions::Log;
use slots::Slots;

/// Longest request body in bytes.
const MAX_BODY: u64 = 16 << 20;

/// Settings of a backend server stand-in.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Name that its answers carry.
    pub name: Box<str>,
    /// Requests in service at once.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are shed.
    pub queue: usize,
    /// Connections open at once.
    pub connections: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Whether service times are distributed exponentially instead of fixed.
    pub exponential: bool,
    /// Probability of a straggler.
    pub straggler_probability: f64,
    /// Factor on the service time of a straggler.
    pub straggler_factor: f64,
    /// Whether the work is binding: a closed connection doesn't cancel it.
    pub binding: bool,
    /// Size of an answer without `x-answer-bytes`.
    pub answer_bytes: usize,
    /// Most execution ids in the log.
    pub logged_ids: usize,
    /// Seed of the service times and faults.
    pub seed: u64,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            name: "server".into(),
            slots: 3,
            queue: 3,
            connections: 330,
            service_time: Duration::from_millis(10),
            exponential: false,
            straggler_probability: 0.0,
            straggler_factor: 10.0,
            binding: false,
            answer_bytes: 0,
            logged_ids: 200_000,
            seed: 1,
        }
    }
}

/// State that a server reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Will stop soon.
    Leaving,
    /// Isn't ready yet.
    Starting,
}

/// Answer of `GET /health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// State.
    pub state: ServerState,
    /// Requests in service.
    pub busy: usize,
    /// Requests in service at most.
    pub slots: usize,
}

/// Handle of one backend server stand-in; clones share the state.
#[derive(Clone)]
pub struct Server {
    settings: Arc<ServerSettings>,
    slots: Slots,
    counters: Arc<Counters>,
    state: Arc<Mutex<State>>,
}

/// Everything that a server remembers besides its slots.
struct State {
    faults: ServerFaults,
    /// Health at the moment when it was made stale.
    stale_health: Option<Health>,
    /// Start of the cold phase.
    cold_since: Instant,
    /// When the server began to leave.
    leaving_since: Option<Instant>,
    log: Log,
    rng: Rng,
}

impl Server {
    /// An idle server.
    pub fn new(settings: ServerSettings) -> Server {
        let state = State {
            faults: ServerFaults::default(),
            stale_health: None,
            cold_since: Instant::now(),
            leaving_since: None,
            log: Log::new(settings.logged_ids),
            rng: Rng::with_seed(settings.seed),
        };
        Server {
            slots: Slots::new(settings.slots, settings.queue),
            settings: Arc::new(settings),
            counters: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServerFaults)) {
        let mut faults = self.state().faults.clone();
        change(&mut faults);
        self.switch(faults);
    }

    /// What has been executed so far.
    pub fn executions(&self) -> Executions {
        let mut executions = self.state().log.executions();
        executions.in_service = self.slots.busy();
        executions.peak_in_service = self.slots.peak();
        executions.peak_present = self.slots.peak_present();
        executions.peak_connections = self.counters.peak.load(Ordering::Relaxed);
        executions.rejected_connections = self.counters.rejected.load(Ordering::Relaxed);
        executions
    }

    /// What the server reports about itself, true or not.
    pub fn health(&self) -> Health {
        let state = self.state();
        let faults = &state.faults;
        faults
            .health
            .or(state.stale_health)
            .unwrap_or_else(|| self.true_health(faults))
    }

    fn true_health(&self, faults: &ServerFaults) -> Health {
        Health {
            state: faults.state,
            busy: self.slots.busy(),
            slots: self.settings.slots,
        }
    }

    fn switch(&self, faults: ServerFaults) {
        let mut state = self.state();
        if faults.stale_health && state.stale_health.is_none() {
            state.stale_health = Some(self.true_health(&state.faults));
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

/// Serves a backend server stand-in until `stop` closes; then every connection is closed at
/// once, as when the process dies.
pub async fn serve_server(listener: TcpListener, server: Server, stop: Receiver<()>) {
    let limits = Limits {
        connections: server.settings.connections,
        body: MAX_BODY,
    };
    let counters = server.counters.clone();
    let handler = move |call| {
        let server = server.clone();
        async move { work::answer(&server, call).await }
    };
    connection::serve(listener, limits, counters, stop, handler).await;
}
