//! Graceful shutdown of entry VMs.

use std::time::{Duration, Instant};

use config::Rules;
use deployment::history::{Attempt, Operation};
use deployment::sample::{LISTINGS, ORDERS};
use deployment::{Caller, CallerRequest, Credential, RequestOutcome};
use rustix::process::Signal;

use crate::common::{MixedLoad, SEED, Setup, caller, require_consistent, signal, sleep_ms};

/// Ticket lifetime, which determines the duration of the shutdown.
const TICKET_LIFETIME_MS: u64 = 4_000;
/// Time until look-ups at other entry VMs no longer name the VM. Heartbeats are sent every 500 ms.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(2);

/// Guards against a shutdown that cuts answers, drops records before the last ticket has expired or
/// exits with an error status, and against look-ups that name the leaving VM.
#[test]
fn terminated_entry_vm_finishes_its_work() {
    let setup = Setup {
        rules: Rules {
            ticket_lifetime_ms: TICKET_LIFETIME_MS,
            ..Rules::default()
        },
        ..Setup::new("terminated")
    };
    setup.run(async |d| {
        let callers = caller(d);
        let vm = d.configuration.inventory.entry_vms[0].clone();
        let load = MixedLoad::start(&callers);
        sleep_ms(800).await;
        let looked_up = Instant::now();
        let (work, ticket) = order_owned_by(&callers, &vm.id).await;
        let first = callers
            .send(vm.caller_address, &work, Credential::Ticket(&ticket))
            .await;
        assert_eq!(first, Ok(RequestOutcome::Complete));
        signal(d, &vm.id, Signal::TERM);
        let begun = Instant::now();
        sleep_ms(500).await;
        let replayed = callers
            .send(vm.caller_address, &work, Credential::Ticket(&ticket))
            .await;
        assert_eq!(
            replayed,
            Ok(RequestOutcome::Complete),
            "the record must be kept"
        );
        sleep_until(begun + LOOK_UP_LIMIT).await;
        for other in d
            .running()
            .into_iter()
            .filter(|v| v.id != vm.id && v.domain == vm.domain)
        {
            let single_vm_caller = Caller {
                entry_vms: vec![other.caller_address],
                ..callers.clone()
            };
            for _ in 0..20 {
                let found = single_vm_caller.look_up(ORDERS).await.unwrap();
                assert!(found.entry_vms.iter().all(|v| v.id != vm.id), "{found:?}");
            }
        }
        // The record is kept until the ticket expires. The issuer knows the uptime of the VM from
        // its last heartbeat, so the ticket may expire earlier by the age of that heartbeat.
        let kept_until = looked_up + Duration::from_millis(TICKET_LIFETIME_MS - 1_500);
        while Instant::now() < kept_until {
            let again = callers
                .send(vm.caller_address, &work, Credential::Ticket(&ticket))
                .await;
            assert_eq!(
                again,
                Ok(RequestOutcome::Complete),
                "the record must be kept"
            );
            sleep_ms(50).await;
        }
        assert!(d.stop_entry_vm(&vm.id).await, "the exit status must be 0");
        println!("stopped after {} ms", begun.elapsed().as_millis());
        assert!(begun.elapsed() > Duration::from_millis(TICKET_LIFETIME_MS - 1_000));
        let mut operations = load.finish().await;
        operations.push(Operation {
            id: work.id.clone(),
            binding: true,
            started_at: Instant::now(),
            attempts: [first, replayed]
                .into_iter()
                .map(|a| Attempt {
                    address: vm.caller_address,
                    outcome: a.unwrap(),
                })
                .collect(),
        });
        let verdict = require_consistent("terminated", d, &operations);
        // A graceful shutdown cuts no answer: every request was answered or refused as not run.
        assert!(verdict.unknown.is_empty(), "{verdict}");
    });
}

/// Guards against a shutdown that waits only for binding work and cuts other answers.
#[test]
fn terminated_entry_vm_finishes_long_idempotent_answers() {
    let setup = Setup {
        service_time: Duration::from_millis(400),
        ..Setup::new("terminated-idempotent")
    };
    setup.run(async |d| {
        let vm = d.configuration.inventory.entry_vms[0].clone();
        let single_vm_caller = Caller {
            entry_vms: vec![vm.caller_address],
            ..caller(d)
        };
        // There is no look-up of binding work, so the process does not wait for a ticket to expire.
        let answers: Vec<_> = (0..6)
            .map(|i| {
                let (single_vm_caller, address) = (single_vm_caller.clone(), vm.caller_address);
                let work = CallerRequest {
                    service: LISTINGS.into(),
                    house: "house".into(),
                    id: format!("long-{i}").into(),
                    binding: false,
                    response_bytes: 500_000,
                };
                runtime::spawn(async move {
                    single_vm_caller
                        .send(address, &work, Credential::None)
                        .await
                })
            })
            .collect();
        sleep_ms(50).await;
        signal(d, &vm.id, Signal::TERM);
        assert!(d.stop_entry_vm(&vm.id).await, "the exit status must be 0");
        let mut whole = 0;
        for answer in answers {
            let answer = answer.await;
            assert!(
                matches!(
                    answer,
                    Ok(RequestOutcome::Complete | RequestOutcome::NotRun(_))
                ),
                "cut by the shutdown: {answer:?}"
            );
            whole += usize::from(answer == Ok(RequestOutcome::Complete));
        }
        println!("test=terminated-idempotent seed={SEED} whole={whole} of 6");
        assert!(whole > 0);
    });
}

/// Repeats look-ups until a ticket is issued for the entry VM `vm`.
async fn order_owned_by(callers: &Caller, vm: &str) -> (CallerRequest, String) {
    let work = CallerRequest {
        service: ORDERS.into(),
        house: "house".into(),
        id: "kept-order".into(),
        binding: true,
        response_bytes: 2_000,
    };
    for _ in 0..200 {
        let found = callers.look_up(ORDERS).await.unwrap();
        if &*found.entry_vms[0].id == vm {
            return (work, found.ticket.unwrap().into());
        }
    }
    panic!("no look-up named {vm} first");
}

async fn sleep_until(at: Instant) {
    runtime::sleep(at.saturating_duration_since(Instant::now())).await;
}
