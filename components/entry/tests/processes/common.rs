//! Fixture: a deployment whose entry VMs are child processes.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use config::Rules;
use deployment::history::{HistoryReport, Operation, check};
use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{self, LISTINGS, ORDERS, Shape};
use deployment::{Caller, Deployment, EntryVmMode, Options};
use rustix::process::{Pid, Signal, kill_process};

/// Random seed of the stand-ins and the load.
pub const SEED: u64 = 20_261_204;
/// Number of executor threads in the test process.
const THREADS: usize = 4;
/// Deadline of a caller for one request.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Serialises the tests, which bounds the load on the machine.
static SERIAL: Mutex<()> = Mutex::new(());

/// Parameters of a test deployment.
pub struct Setup {
    /// Test name, used for the directory and in the output.
    pub name: &'static str,
    pub shape: Shape,
    pub rules: Rules,
    /// Mean service time of the servers.
    pub service_time: Duration,
}

impl Setup {
    /// Returns the default parameters: two failure domains with two entry VMs each.
    pub fn new(name: &'static str) -> Setup {
        Setup {
            name,
            shape: Shape::default(),
            rules: Rules::default(),
            service_time: Duration::from_millis(5),
        }
    }

    /// Starts the deployment, runs `test` once all entry VMs are ready, and stops the deployment.
    pub fn run(self, test: impl AsyncFnOnce(&mut Deployment)) {
        let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.name);
        // The directory exists only after an earlier run.
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

/// Concurrent load of binding and idempotent work.
pub struct MixedLoad {
    orders: LoadGenerator,
    listings: LoadGenerator,
}

impl MixedLoad {
    /// Starts callers of both services.
    pub fn start(caller: &Caller) -> MixedLoad {
        let plan = |service: &str, binding| LoadProfile {
            service: service.into(),
            binding,
            seed: SEED,
            ..LoadProfile::default()
        };
        MixedLoad {
            orders: LoadGenerator::start(caller, &plan(ORDERS, true)),
            listings: LoadGenerator::start(caller, &plan(LISTINGS, false)),
        }
    }

    /// Stops the callers and returns their operations with the answers.
    pub async fn finish(self) -> Vec<Operation> {
        let mut operations = self.orders.finish().await;
        operations.extend(self.listings.finish().await);
        operations
    }
}

/// Checks that the answers are consistent with the execution logs of the servers, and prints the
/// counts.
pub fn require_consistent(
    name: &str,
    deployment: &Deployment,
    operations: &[Operation],
) -> HistoryReport {
    let verdict = check(operations, &deployment.execution_counts());
    verdict.assert_consistent(name, SEED);
    assert!(verdict.binding > 0, "{name}: no binding work was sent");
    verdict
}

/// Sends a signal to an entry VM.
pub fn signal(deployment: &Deployment, vm: &str, signal: Signal) {
    let id = deployment
        .process_id(vm)
        .expect("the entry VM must be running");
    let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
    kill_process(pid, signal).unwrap();
}

pub async fn sleep_ms(milliseconds: u64) {
    runtime::sleep(Duration::from_millis(milliseconds)).await;
}
