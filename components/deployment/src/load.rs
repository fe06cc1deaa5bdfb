//! Generates load from concurrent callers and records the history of their operations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_executor::Task;
use fastrand::Rng;
use futures_lite::future;
use http::Error as HttpError;

use crate::caller::{Caller, CallerRequest, Credential, LookUpResponse, RequestOutcome};
use crate::history::{Attempt, Operation};

/// Delay before a failed look-up is retried.
const LOOK_UP_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Load that the callers of one service generate.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    pub service: Box<str>,
    /// Whether its requests must be executed at most once.
    pub binding: bool,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Mean pause of a caller between two operations.
    pub mean_pause: Duration,
    /// Maximum number of attempts of one operation; all use the same ticket.
    pub max_attempts: usize,
    /// Share of operations without retries, so that each refusal is checked by itself (0 to 1).
    pub single_attempt_share: f64,
    /// Share of operations that are sent to two entry VMs at once, without retries (0 to 1).
    pub duplicate_share: f64,
    /// Size of a response in bytes.
    pub response_bytes: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for LoadProfile {
    fn default() -> Self {
        LoadProfile {
            service: crate::sample::LISTINGS.into(),
            binding: false,
            callers: 4,
            mean_pause: Duration::from_millis(5),
            max_attempts: 4,
            single_attempt_share: 0.3,
            duplicate_share: 0.1,
            response_bytes: 2_000,
            seed: 1,
        }
    }
}

/// Running callers of one service.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    tasks: Vec<Task<Vec<Operation>>>,
}

impl LoadGenerator {
    /// Starts the callers.
    pub fn start(caller: &Caller, profile: &LoadProfile) -> LoadGenerator {
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..profile.callers)
            .map(|i| runtime::spawn(run_caller(caller.clone(), profile.clone(), i, stop.clone())))
            .collect();
        LoadGenerator { stop, tasks }
    }

    /// Stops the callers after their current operations and returns the history.
    pub async fn finish(self) -> Vec<Operation> {
        self.stop.store(true, Ordering::Release);
        let mut operations = Vec::new();
        for task in self.tasks {
            operations.extend(task.await);
        }
        operations
    }
}

async fn run_caller(
    caller: Caller,
    profile: LoadProfile,
    caller_index: usize,
    stop: Arc<AtomicBool>,
) -> Vec<Operation> {
    let mut rng = Rng::with_seed(profile.seed * 1_000 + caller_index as u64);
    let mut operations = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let id = format!(
            "{}-{}-{caller_index}-{}",
            profile.service,
            profile.seed,
            operations.len()
        );
        if let Ok(found) = caller.look_up(&profile.service).await {
            let operation = Operation {
                id: id.into(),
                binding: profile.binding,
                started_at: Instant::now(),
                attempts: Vec::new(),
            };
            operations.push(run_operation(&caller, &profile, &found, operation, &mut rng).await);
        } else {
            runtime::sleep(LOOK_UP_RETRY_DELAY).await;
        }
        runtime::sleep(profile.mean_pause.mul_f64(2.0 * rng.f64())).await;
    }
    operations
}

/// Runs one operation; all attempts use the ticket of the same look-up.
async fn run_operation(
    caller: &Caller,
    profile: &LoadProfile,
    found: &LookUpResponse,
    mut operation: Operation,
    rng: &mut Rng,
) -> Operation {
    let request = CallerRequest {
        service: profile.service.clone(),
        house: format!("house-{}", rng.u32(..4)).into(),
        id: operation.id.clone(),
        binding: profile.binding,
        response_bytes: profile.response_bytes,
    };
    let credential = Credential::from(found.ticket.as_deref());
    let vms = &found.entry_vms;
    let choice = rng.f64();
    if choice < profile.duplicate_share && vms.len() > 1 {
        let first = send_attempt(caller, &request, credential, vms[0].address);
        let second = send_attempt(caller, &request, credential, vms[1].address);
        let (first, second) = future::zip(first, second).await;
        operation.attempts.extend(first.into_iter().chain(second));
        return operation;
    }
    let max_attempts = if choice < profile.duplicate_share + profile.single_attempt_share {
        1
    } else {
        profile.max_attempts
    };
    for vm in vms.iter().cycle().take(max_attempts) {
        let Some(attempt) = send_attempt(caller, &request, credential, vm.address).await else {
            continue;
        };
        let is_last = matches!(
            attempt.outcome,
            RequestOutcome::Complete | RequestOutcome::Invalid
        );
        operation.attempts.push(attempt);
        if is_last {
            break;
        }
    }
    operation
}

/// Sends a request once; `None` if no connection could be opened, so that nothing was sent.
async fn send_attempt(
    caller: &Caller,
    request: &CallerRequest,
    credential: Credential<'_>,
    address: SocketAddr,
) -> Option<Attempt> {
    let outcome = match Box::pin(caller.send(address, request, credential)).await {
        Err(HttpError::Connect) => return None,
        Ok(outcome) => outcome,
        Err(_) => RequestOutcome::Unknown(0),
    };
    Some(Attempt { address, outcome })
}
