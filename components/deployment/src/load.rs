//! Callers that send work until they are told to stop, and keep a history.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_executor::Task;
use fastrand::Rng;
use futures_lite::future;
use http::Error as HttpError;

use crate::caller::{Answer, Caller, Credential, LookUp, Work};
use crate::history::{Attempt, Operation};

/// Pause after a failed look-up.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(20);

/// What the callers do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Service.
    pub service: Box<str>,
    /// Whether its work must run at most once.
    pub binding: bool,
    /// Callers at once.
    pub callers: usize,
    /// Pause of a caller between two operations.
    pub pause: Duration,
    /// Most attempts of one operation; all use the same ticket.
    pub attempts: usize,
    /// Share of operations that are not repeated, so that each refusal is checked alone (0 to 1).
    pub single: f64,
    /// Share of operations whose first attempt goes to two entry VMs at once (0 to 1).
    pub doubled: f64,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// Seed of the choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            service: crate::sample::LISTINGS.into(),
            binding: false,
            callers: 4,
            pause: Duration::from_millis(5),
            attempts: 4,
            single: 0.3,
            doubled: 0.1,
            answer_bytes: 2_000,
            seed: 1,
        }
    }
}

/// Callers at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<Task<Vec<Operation>>>,
}

impl Load {
    /// Starts callers.
    pub fn start(caller: &Caller, plan: &Plan) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..plan.callers)
            .map(|i| runtime::spawn(work(caller.clone(), plan.clone(), i, stop.clone())))
            .collect();
        Load { stop, tasks }
    }

    /// Ends the callers after their current operations and returns their history.
    pub async fn finish(self) -> Vec<Operation> {
        self.stop.store(true, Ordering::Release);
        let mut operations = Vec::new();
        for task in self.tasks {
            operations.extend(task.await);
        }
        operations
    }
}

async fn work(caller: Caller, plan: Plan, index: usize, stop: Arc<AtomicBool>) -> Vec<Operation> {
    let mut rng = Rng::with_seed(plan.seed * 1_000 + index as u64);
    let mut operations = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let id = format!(
            "{}-{}-{index}-{}",
            plan.service,
            plan.seed,
            operations.len()
        );
        if let Ok(found) = caller.look_up(&plan.service).await {
            let operation = Operation {
                id: id.into(),
                binding: plan.binding,
                begun: Instant::now(),
                attempts: Vec::new(),
            };
            operations.push(operate(&caller, &plan, &found, operation, &mut rng).await);
        } else {
            runtime::sleep(LOOK_UP_PAUSE).await;
        }
        runtime::sleep(plan.pause.mul_f64(2.0 * rng.f64())).await;
    }
    operations
}

/// Does one operation; every attempt uses the ticket of the one look-up.
async fn operate(
    caller: &Caller,
    plan: &Plan,
    found: &LookUp,
    mut operation: Operation,
    rng: &mut Rng,
) -> Operation {
    let work = Work {
        service: plan.service.clone(),
        house: format!("house-{}", rng.u32(..4)).into(),
        id: operation.id.clone(),
        binding: plan.binding,
        answer_bytes: plan.answer_bytes,
    };
    let credential = Credential::from(found.ticket.as_deref());
    let vms = &found.entry_vms;
    let kind = rng.f64();
    if kind < plan.doubled && vms.len() > 1 {
        let first = attempt(caller, &work, credential, vms[0].address);
        let second = attempt(caller, &work, credential, vms[1].address);
        let (first, second) = future::zip(first, second).await;
        operation.attempts.extend(first.into_iter().chain(second));
        return operation;
    }
    let most = if kind < plan.doubled + plan.single {
        1
    } else {
        plan.attempts
    };
    for vm in vms.iter().cycle().take(most) {
        let Some(attempt) = attempt(caller, &work, credential, vm.address).await else {
            continue;
        };
        let is_last = matches!(attempt.answer, Answer::Whole | Answer::Wrong);
        operation.attempts.push(attempt);
        if is_last {
            break;
        }
    }
    operation
}

/// Sends a request once; `None` if nothing was sent.
async fn attempt(
    caller: &Caller,
    work: &Work,
    credential: Credential<'_>,
    address: SocketAddr,
) -> Option<Attempt> {
    let answer = match Box::pin(caller.send(address, work, credential)).await {
        Err(HttpError::Connect) => return None,
        Ok(answer) => answer,
        Err(_) => Answer::Unknown(0),
    };
    Some(Attempt { address, answer })
}
