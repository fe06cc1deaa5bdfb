//! Binding work with keys chosen by callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::history::{Attempt, Operation};
use deployment::sample::{ORDERS, Shape};
use deployment::{Caller, CallerRequest, Credential, Deployment, RequestOutcome};

use crate::common::{assert_consistent, caller, options, pause, run};

fn request(id: &str) -> CallerRequest {
    CallerRequest {
        service: ORDERS.into(),
        house: "house".into(),
        id: id.into(),
        binding: true,
        response_bytes: 2_000,
    }
}

/// Sends a request with the same key to all entry VMs at once.
async fn send_to_all(caller: &Caller, id: &str) -> Operation {
    let tasks: Vec<_> = caller
        .entry_vms
        .iter()
        .map(|address| {
            let (caller, request, address) = (caller.clone(), request(id), *address);
            runtime::spawn(async move {
                let outcome = caller
                    .send(address, &request, Credential::Key(&request.id))
                    .await;
                Attempt {
                    address,
                    outcome: outcome.unwrap_or(RequestOutcome::Unknown(0)),
                }
            })
        })
        .collect();
    let mut attempts = Vec::new();
    for task in tasks {
        attempts.push(task.await);
    }
    Operation {
        id: id.into(),
        binding: true,
        started_at: Instant::now(),
        attempts,
    }
}

async fn send_many_to_all(d: &Deployment, prefix: &str, count: usize) -> Vec<Operation> {
    let caller = caller(d);
    let mut operations = Vec::new();
    for round in 0..count / 8 {
        let tasks: Vec<_> = (0..8)
            .map(|i| {
                let (caller, id) = (caller.clone(), format!("{prefix}-{round}-{i}"));
                runtime::spawn(async move { send_to_all(&caller, &id).await })
            })
            .collect();
        for task in tasks {
            operations.push(task.await);
        }
    }
    operations
}

/// Guards against a key that two entry VMs both hold.
#[test]
fn key_at_all_entry_vms_at_once_runs_once() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let operations = send_many_to_all(&d, "at-once", 160).await;
        let report = assert_consistent("keys-at-once", &d, &operations);
        let served = operations.iter().filter(|o| {
            o.attempts
                .iter()
                .any(|a| a.outcome == RequestOutcome::Complete)
        });
        // Without failures, at least one entry VM executes each key and returns the response.
        assert_eq!(served.count(), operations.len(), "{report}");
    });
}

/// Guards against a claim whose response from the table service is lost and that is then taken for
/// a failed claim, or for one by another entry VM.
#[test]
fn lost_table_responses_execute_no_key_twice() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let platform = d.platform.clone();
        let fault_task = runtime::spawn(async move {
            for i in 0.. {
                platform.set_faults(|f| {
                    f.lose_only_transactions = true;
                    if i % 2 == 0 {
                        f.lose_answers = 2;
                    } else {
                        f.lose_requests = 1;
                    }
                });
                pause(150).await;
            }
        });
        let operations = send_many_to_all(&d, "lost", 80).await;
        drop(fault_task);
        let report = assert_consistent("keys-lost-answers", &d, &operations);
        let stats = d.platform.stats();
        println!(
            "lost_answers={} lost_requests={}",
            stats.lost_answers, stats.lost_requests
        );
        assert!(
            stats.lost_answers > 0 && stats.lost_requests > 0,
            "{report}"
        );
    });
}

/// Sends requests with different keys one after the other, to the entry VMs in turn.
async fn send_one_by_one(caller: &Caller, prefix: &str, count: usize) -> Vec<Operation> {
    let mut operations = Vec::new();
    for i in 0..count {
        let id = format!("{prefix}-{i}");
        let address = caller.entry_vms[i % caller.entry_vms.len()];
        operations.push(Operation {
            id: id.into(),
            binding: true,
            started_at: Instant::now(),
            attempts: Vec::new(),
        });
        send_attempt(caller, &mut operations[i], address).await;
    }
    operations
}

async fn send_attempt(caller: &Caller, operation: &mut Operation, address: SocketAddr) {
    let request = request(&operation.id);
    let outcome = caller
        .send(address, &request, Credential::Key(&request.id))
        .await
        .unwrap();
    operation.attempts.push(Attempt { address, outcome });
}

/// Guards against work that is executed without a claim while the platform is unreachable, and
/// against a refusal after which the key cannot be used.
#[test]
fn keys_are_refused_as_not_run_without_platform() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let caller = caller(&d);
        let domains = d.configuration.inventory.domains.clone();
        for domain in &domains {
            d.disconnect_platform(&domain.id);
        }
        let mut operations = send_one_by_one(&caller, "cut", 24).await;
        for o in &operations {
            assert_eq!(o.attempts[0].outcome, RequestOutcome::NotRun(207), "{o:?}");
        }
        // Work with a ticket does not need the platform.
        let outcome_with_ticket = caller.send_with_retries(&request("ticketed")).await;
        assert_eq!(outcome_with_ticket, RequestOutcome::Complete);
        for domain in &domains {
            d.reconnect_platform(&domain.id).await.unwrap();
        }
        pause(1_000).await;
        for o in &mut operations {
            // A different entry VM from the first attempt.
            let index = caller
                .entry_vms
                .iter()
                .position(|a| *a == o.attempts[0].address)
                .unwrap();
            let next = caller.entry_vms[(index + 1) % caller.entry_vms.len()];
            send_attempt(&caller, o, next).await;
            assert_eq!(o.attempts[1].outcome, RequestOutcome::Complete, "{o:?}");
        }
        assert_consistent("keys-platform-cut", &d, &operations);
    });
}

/// Guards against work that is executed without a claim, and against keys that stay unusable, when
/// the platform closes connections without a response: no entry VM knows whether its claim took
/// effect.
#[test]
fn keys_are_not_executed_while_claim_outcomes_are_unknown() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let caller = Caller {
            deadline: Duration::from_secs(1),
            ..caller(&d)
        };
        d.platform.set_faults(|f| f.down = true);
        let mut tasks = Vec::new();
        for i in 0..24 {
            let mut caller = caller.clone();
            caller.entry_vms.rotate_left(i % 4);
            tasks.push(runtime::spawn(async move {
                send_one_by_one(&caller, &format!("down-{i}"), 1).await
            }));
            // Some claims run concurrently, others start after the first failure.
            pause(20).await;
        }
        let mut operations = Vec::new();
        for task in tasks {
            operations.extend(task.await);
        }
        for o in &operations {
            assert_eq!(o.attempts[0].outcome, RequestOutcome::NotRun(207), "{o:?}");
        }
        let execution_counts = d.execution_counts();
        assert!(
            operations
                .iter()
                .all(|o| !execution_counts.contains_key(&o.id))
        );
        assert!(
            operations
                .iter()
                .any(|o| o.attempts[0].outcome == RequestOutcome::NotRun(207))
        );
        d.platform.set_faults(|f| f.down = false);
        pause(1_000).await;
        for o in &mut operations {
            let address = o.attempts[0].address;
            send_attempt(&caller, o, address).await;
        }
        assert_consistent("keys-platform-down", &d, &operations);
    });
}
