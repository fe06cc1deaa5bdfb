//! Caller-supplied keys whose holder is killed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::history::{Attempt, Operation};
use deployment::sample::ORDERS;
use deployment::{Caller, CallerRequest, Credential, RequestOutcome};

use crate::common::{Setup, caller, require_consistent, sleep_ms};

/// Sends an order with a key to an entry VM.
async fn send_with_key(caller: &Caller, id: &str, address: SocketAddr) -> Attempt {
    let work = CallerRequest {
        service: ORDERS.into(),
        house: "house".into(),
        id: id.into(),
        binding: true,
        response_bytes: 2_000,
    };
    let answer = caller.send(address, &work, Credential::Key(id)).await;
    Attempt {
        address,
        outcome: answer.unwrap_or(RequestOutcome::Unknown(0)),
    }
}

/// Guards against a second execution of a key whose holder was killed during or after the first
/// one.
#[test]
fn key_of_killed_holder_never_runs_again() {
    let setup = Setup {
        service_time: Duration::from_millis(300),
        ..Setup::new("keys-holder-killed")
    };
    setup.run(async |d| {
        let callers = caller(d);
        let vms = d.configuration.inventory.entry_vms.clone();
        let (holder, others) = (&vms[0], &vms[1..]);
        let done = send_with_key(&callers, "done", holder.caller_address).await;
        assert_eq!(done.outcome, RequestOutcome::Complete);
        let in_progress: Vec<_> = (0..8)
            .map(|i| {
                let (callers, address) = (callers.clone(), holder.caller_address);
                runtime::spawn(async move {
                    send_with_key(&callers, &format!("under-way-{i}"), address).await
                })
            })
            .collect();
        // All claims are stored before the kill, so that only the holder may execute the keys.
        while d.platform.rows("claims/").len() < 1 + in_progress.len() {
            sleep_ms(5).await;
        }
        sleep_ms(100).await;
        d.kill_entry_vm(&holder.id).unwrap();
        let mut operations = vec![Operation {
            id: "done".into(),
            binding: true,
            started_at: Instant::now(),
            attempts: vec![done],
        }];
        for (i, first) in in_progress.into_iter().enumerate() {
            operations.push(Operation {
                id: format!("under-way-{i}").into(),
                binding: true,
                started_at: Instant::now(),
                attempts: vec![first.await],
            });
        }
        // Retries at once, and again when the holder counts as dead.
        for wait in [0, 6_000] {
            sleep_ms(wait).await;
            for (i, operation) in operations.iter_mut().enumerate() {
                let other = &others[i % others.len()];
                let again = send_with_key(&callers, &operation.id, other.caller_address).await;
                assert!(
                    matches!(again.outcome, RequestOutcome::Unknown(301 | 307)),
                    "{again:?}"
                );
                operation.attempts.push(again);
            }
        }
        let verdict = require_consistent("keys-holder-killed", d, &operations);
        assert!(
            verdict.executed > 1,
            "no key was in progress at the kill: {verdict}"
        );
    });
}
