//! Set-up of a deployment with child processes.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use config::Rules;
use deployment::history::{HistoryReport, Operation, check};
use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{self, LISTINGS, ORDERS, Shape};
use deployment::{Caller, Deployment, EntryVmMode, Options};
use rustix::process::{Pid, Signal, kill_process};

/// Seed of the stand-ins and callers.
pub const SEED: u64 = 20_261_204;
/// Threads of the executor in the test process.
const THREADS: usize = 4;
/// Time of a caller for one request.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// One test at a time, so that the load stays bounded.
static ONE: Mutex<()> = Mutex::new(());

/// How a test differs from the others.
pub struct Setup {
    /// Test, for its directory and output.
    pub name: &'static str,
    /// Shape of the deployment.
    pub shape: Shape,
    /// Rules.
    pub rules: Rules,
    /// Mean service time.
    pub service_time: Duration,
}

impl Setup {
    /// Two failure domains with two entry VMs each.
    pub fn new(name: &'static str) -> Setup {
        Setup {
            name,
            shape: Shape::default(),
            rules: Rules::default(),
            service_time: Duration::from_millis(5),
        }
    }

    /// Runs a test with all entry VMs ready.
    pub fn run(self, test: impl AsyncFnOnce(&mut Deployment)) {
        let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.name);
        // It exists only after an earlier run.
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).unwrap();
        let options = Options {
            configuration: sample::configuration(self.shape, self.rules),
            service_time: self.service_time,
            entry_vm_mode: EntryVmMode::ChildProcesses {
                program: env!("CARGO_BIN_EXE_rosemaryglade-entry").into(),
                directory,
            },
            seed: SEED,
            ..Options::default()
        };
        runtime::block_on(THREADS, async {
            let mut deployment = Deployment::start(options).await.unwrap();
            test(&mut deployment).await;
            deployment.stop().await;
        });
    }
}

/// Returns a caller that knows all running entry VMs.
pub fn caller(deployment: &Deployment) -> Caller {
    let known = deployment.running().into_iter().map(|v| v.caller_address);
    Caller {
        entry_vms: known.collect(),
        deadline: DEADLINE,
    }
}

/// Binding and idempotent work at once.
pub struct Both {
    orders: LoadGenerator,
    listings: LoadGenerator,
}

impl Both {
    /// Starts callers of both services.
    pub fn start(caller: &Caller) -> Both {
        let plan = |service: &str, binding| LoadProfile {
            service: service.into(),
            binding,
            seed: SEED,
            ..LoadProfile::default()
        };
        Both {
            orders: LoadGenerator::start(caller, &plan(ORDERS, true)),
            listings: LoadGenerator::start(caller, &plan(LISTINGS, false)),
        }
    }

    /// Ends the callers and returns what they were told.
    pub async fn finish(self) -> Vec<Operation> {
        let mut operations = self.orders.finish().await;
        operations.extend(self.listings.finish().await);
        operations
    }
}

/// Checks a history and prints its counts.
pub fn require(name: &str, deployment: &Deployment, operations: &[Operation]) -> HistoryReport {
    let verdict = check(operations, &deployment.execution_counts());
    verdict.assert_consistent(name, SEED);
    assert!(verdict.binding > 0, "{name}: no binding work was sent");
    verdict
}

/// Sends a signal to an entry VM.
pub fn signal(deployment: &Deployment, vm: &str, signal: Signal) {
    let id = deployment.process_id(vm).expect("the entry VM runs");
    let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
    kill_process(pid, signal).unwrap();
}

/// Waits.
pub async fn pause(milliseconds: u64) {
    runtime::sleep(Duration::from_millis(milliseconds)).await;
}
