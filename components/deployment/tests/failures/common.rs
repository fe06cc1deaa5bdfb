//! Fixtures for deployments inside the test process.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use config::{EntryVmId, Generation, Rules};
use deployment::history::{HistoryReport, Operation, check};
use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{self, ARCHIVE, LISTINGS, ORDERS, Shape};
use deployment::{Caller, Deployment, Options, status};

/// Seed of the stand-ins and callers.
pub const SEED: u64 = 20_261_204;
const THREADS: usize = 4;

/// Serializes the tests, so that the load on the machine stays bounded.
static SERIAL: Mutex<()> = Mutex::new(());

/// Runs a test while no other one runs; the test drops its deployment at its end.
pub fn run(test: impl Future<Output = ()>) {
    let _guard = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    runtime::block_on(THREADS, test);
}

/// Options for a sample configuration with a short ticket lifetime.
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

/// Returns a caller with the addresses of all running entry VMs.
pub fn caller(deployment: &Deployment) -> Caller {
    let entry_vms = deployment.running().into_iter().map(|v| v.caller_address);
    Caller {
        entry_vms: entry_vms.collect(),
        deadline: Duration::from_secs(2),
    }
}

/// Returns the load profile for a service.
pub fn profile(service: &str) -> LoadProfile {
    LoadProfile {
        service: service.into(),
        binding: service == ORDERS,
        seed: SEED,
        ..LoadProfile::default()
    }
}

/// Load on all three services.
pub struct AllServices(Vec<LoadGenerator>);

impl AllServices {
    /// Starts the callers; `change` adapts the profile of each service.
    pub fn start(caller: &Caller, change: impl Fn(&mut LoadProfile)) -> AllServices {
        let loads = [ORDERS, LISTINGS, ARCHIVE].map(|service| {
            let mut profile = profile(service);
            change(&mut profile);
            LoadGenerator::start(caller, &profile)
        });
        AllServices(loads.into())
    }

    /// Stops the callers and returns their history.
    pub async fn finish(self) -> Vec<Operation> {
        let mut operations = Vec::new();
        for load in self.0 {
            operations.extend(load.finish().await);
        }
        operations
    }
}

/// Prints the counts of a history; panics if it contradicts the execution logs.
pub fn assert_consistent(
    name: &str,
    deployment: &Deployment,
    operations: &[Operation],
) -> HistoryReport {
    let report = check(operations, &deployment.execution_counts());
    report.assert_consistent(name, SEED);
    report
}

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
