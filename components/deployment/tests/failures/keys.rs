//! Binding work under keys of the callers.

use std::time::Duration;

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
                        f.lose_answers = 2
                    } else {
                        f.lose_requests = 1
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

/// Guards against work that is sent without a claim while the platform is down, and against a
/// refusal that leaves a key unusable afterwards.
#[test]
fn keys_are_refused_as_not_run_while_the_platform_is_down() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let caller = caller(&d);
        d.platform.set_faults(|f| f.down = true);
        let mut operations = Vec::new();
        for i in 0..24 {
            let id = format!("down-{i}");
            let address = caller.known[i % caller.known.len()];
            let answer = caller
                .send(address, &work(&id), Credential::Key(&id))
                .await
                .unwrap();
            operations.push(Operation {
                id: id.into(),
                binding: true,
                attempts: vec![Attempt { address, answer }],
            });
        }
        let runs = d.runs();
        for o in &operations {
            assert_eq!(runs.get(&o.id), None, "{o:?}");
            // A claim whose transaction reached the platform before it went down may be unsettled.
            assert!(
                matches!(
                    o.attempts[0].answer,
                    Answer::NotRun(207) | Answer::Unknown(306)
                ),
                "{o:?}"
            );
        }
        let refused = operations
            .iter()
            .filter(|o| o.attempts[0].answer == Answer::NotRun(207))
            .count();
        assert!(refused > 0, "{operations:?}");
        // Tickets need no platform.
        let ticketed = caller
            .perform(&Work {
                id: "ticketed".into(),
                ..work("ticketed")
            })
            .await;
        assert_eq!(ticketed, Answer::Whole);
        d.platform.set_faults(|f| f.down = false);
        runtime::sleep(Duration::from_secs(1)).await;
        for o in &mut operations {
            let address = o.attempts[0].address;
            let answer = caller
                .send(address, &work(&o.id), Credential::Key(&o.id))
                .await
                .unwrap();
            o.attempts.push(Attempt { address, answer });
        }
        require("keys-platform-down", &d, &operations);
        println!("refused_207={refused}");
    });
}
