//! Binding work under keys of the callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::history::{Attempt, Operation};
use deployment::sample::{ORDERS, Shape};
use deployment::{Answer, Caller, Credential, Deployment, Work};

use crate::common::{caller, options, pause, require, run};

fn work(id: &str) -> Work {
    Work {
        service: ORDERS.into(),
        house: "house".into(),
        id: id.into(),
        binding: true,
        answer_bytes: 2_000,
    }
}

/// Presents one key at every entry VM at once.
async fn present_everywhere(caller: &Caller, id: &str) -> Operation {
    let tasks: Vec<_> = caller
        .known
        .iter()
        .map(|address| {
            let (caller, work, address) = (caller.clone(), work(id), *address);
            runtime::spawn(async move {
                let answer = caller.send(address, &work, Credential::Key(&work.id)).await;
                Attempt {
                    address,
                    answer: answer.unwrap_or(Answer::Unknown(0)),
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
        begun: Instant::now(),
        attempts,
    }
}

async fn present_many(d: &Deployment, prefix: &str, count: usize) -> Vec<Operation> {
    let caller = caller(d);
    let mut operations = Vec::new();
    for round in 0..count / 8 {
        let tasks: Vec<_> = (0..8)
            .map(|i| {
                let (caller, id) = (caller.clone(), format!("{prefix}-{round}-{i}"));
                runtime::spawn(async move { present_everywhere(&caller, &id).await })
            })
            .collect();
        for task in tasks {
            operations.push(task.await);
        }
    }
    operations
}

/// Guards against two entry VMs that both believe they hold a key.
#[test]
fn key_at_all_entry_vms_at_once_runs_once() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let operations = present_many(&d, "at-once", 160).await;
        let verdict = require("keys-at-once", &d, &operations);
        let served = operations
            .iter()
            .filter(|o| o.attempts.iter().any(|a| a.answer == Answer::Whole));
        // Nothing fails here, so each key is settled at one entry VM at least.
        assert_eq!(served.count(), operations.len(), "{verdict}");
    });
}

/// Guards against a lost answer of the table service that is taken for a lost claim, or for a
/// claim of somebody else.
#[test]
fn lost_table_answers_run_no_key_twice() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let platform = d.platform.clone();
        let loser = runtime::spawn(async move {
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
        let operations = present_many(&d, "lost", 80).await;
        drop(loser);
        let verdict = require("keys-lost-answers", &d, &operations);
        let stats = d.platform.stats();
        println!(
            "lost_answers={} lost_requests={}",
            stats.lost_answers, stats.lost_requests
        );
        assert!(
            stats.lost_answers > 0 && stats.lost_requests > 0,
            "{verdict}"
        );
    });
}

/// Presents keys one after the other, each at one entry VM.
async fn present_each(caller: &Caller, prefix: &str, count: usize) -> Vec<Operation> {
    let mut operations = Vec::new();
    for i in 0..count {
        let id = format!("{prefix}-{i}");
        let address = caller.known[i % caller.known.len()];
        operations.push(Operation {
            id: id.into(),
            binding: true,
            begun: Instant::now(),
            attempts: Vec::new(),
        });
        present_again(caller, &mut operations[i], address).await;
    }
    operations
}

async fn present_again(caller: &Caller, operation: &mut Operation, address: SocketAddr) {
    let work = work(&operation.id);
    let answer = caller
        .send(address, &work, Credential::Key(&work.id))
        .await
        .unwrap();
    operation.attempts.push(Attempt { address, answer });
}

/// Guards against work that is sent without a claim while the platform cannot be reached, and
/// against a refusal that leaves a key unusable afterwards.
#[test]
fn keys_are_refused_as_not_run_without_the_platform() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let caller = caller(&d);
        let domains = d.configuration.inventory.domains.clone();
        for domain in &domains {
            d.cut_platform(&domain.id);
        }
        let mut operations = present_each(&caller, "cut", 24).await;
        for o in &operations {
            assert_eq!(o.attempts[0].answer, Answer::NotRun(207), "{o:?}");
        }
        // Tickets need no platform.
        let ticketed = caller.perform(&work("ticketed")).await;
        assert_eq!(ticketed, Answer::Whole);
        for domain in &domains {
            d.restore_platform(&domain.id).await.unwrap();
        }
        pause(1_000).await;
        for o in &mut operations {
            // Another entry VM than before.
            let at = caller
                .known
                .iter()
                .position(|a| *a == o.attempts[0].address)
                .unwrap();
            let next = caller.known[(at + 1) % caller.known.len()];
            present_again(&caller, o, next).await;
            assert_eq!(o.attempts[1].answer, Answer::Whole, "{o:?}");
        }
        require("keys-platform-cut", &d, &operations);
    });
}

/// Guards against the same when the platform closes connections instead of answering, so that no
/// entry VM knows whether its claim took effect.
#[test]
fn keys_do_not_run_while_claims_are_unsettled() {
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
            caller.known.rotate_left(i % 4);
            tasks.push(runtime::spawn(async move {
                present_each(&caller, &format!("down-{i}"), 1).await
            }));
            // Some arrive together, others after the first failure.
            pause(20).await;
        }
        let mut operations = Vec::new();
        for task in tasks {
            operations.extend(task.await);
        }
        for o in &operations {
            assert_eq!(o.attempts[0].answer, Answer::NotRun(207), "{o:?}");
        }
        let runs = d.runs();
        assert!(operations.iter().all(|o| !runs.contains_key(&o.id)));
        assert!(
            operations
                .iter()
                .any(|o| o.attempts[0].answer == Answer::NotRun(207))
        );
        d.platform.set_faults(|f| f.down = false);
        pause(1_000).await;
        for o in &mut operations {
            let address = o.attempts[0].address;
            present_again(&caller, o, address).await;
        }
        require("keys-platform-down", &d, &operations);
    });
}
