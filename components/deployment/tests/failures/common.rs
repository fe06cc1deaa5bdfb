//! Set-up of a deployment inside this process.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use config::{EntryVmId, Generation, Rules};
use deployment::history::{Operation, Verdict, check};
use deployment::load::{Load, Plan};
use deployment::sample::{self, ARCHIVE, LISTINGS, ORDERS, Shape};
use deployment::{Caller, Deployment, Options, status};

/// Seed of the stand-ins and callers.
pub const SEED: u64 = 20_261_204;
/// Threads of the executor.
const THREADS: usize = 4;

/// One test at a time, so that the load stays bounded.
static ONE: Mutex<()> = Mutex::new(());

/// Runs a test; the deployment is dropped at its end.
pub fn run(test: impl Future<Output = ()>) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    runtime::block_on(THREADS, test);
}

/// Options of a sample.
pub fn options(shape: Shape) -> Options {
    let rules = Rules {
        ticket_lifetime_ms: 2_000,
        ..Rules::default()
    };
    Options {
        configuration: sample::configuration(shape, rules),
        seed: SEED,
        ..Options::default()
    }
}

/// Returns a caller that knows all running entry VMs.
pub fn caller(deployment: &Deployment) -> Caller {
    let known = deployment.running().into_iter().map(|v| v.caller_address);
    Caller {
        known: known.collect(),
        deadline: Duration::from_secs(2),
    }
}

/// Returns the plan of a service's callers.
pub fn plan(service: &str) -> Plan {
    Plan {
        service: service.into(),
        binding: service == ORDERS,
        seed: SEED,
        ..Plan::default()
    }
}

/// Callers of all three services.
pub struct All(Vec<Load>);

impl All {
    /// Starts them; `change` adapts each plan.
    pub fn start(caller: &Caller, change: impl Fn(&mut Plan)) -> All {
        let loads = [ORDERS, LISTINGS, ARCHIVE].map(|service| {
            let mut plan = plan(service);
            change(&mut plan);
            Load::start(caller, &plan)
        });
        All(loads.into())
    }

    /// Ends them and returns what they were told.
    pub async fn finish(self) -> Vec<Operation> {
        let mut operations = Vec::new();
        for load in self.0 {
            operations.extend(load.finish().await);
        }
        operations
    }
}

/// Checks a history and prints its counts.
pub fn require(name: &str, deployment: &Deployment, operations: &[Operation]) -> Verdict {
    let verdict = check(operations, &deployment.runs());
    verdict.require(name, SEED);
    verdict
}

/// Waits.
pub async fn pause(milliseconds: u64) {
    runtime::sleep(Duration::from_millis(milliseconds)).await;
}

/// Returns the generation in force at each running entry VM that answers.
pub async fn generations(deployment: &Deployment) -> Vec<(EntryVmId, Generation)> {
    let mut all = Vec::new();
    for vm in deployment.running() {
        if let Ok(status) = status::read(vm.operator_address).await {
            all.push((vm.id.clone(), status.generation));
        }
    }
    all
}
