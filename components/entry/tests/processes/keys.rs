//! Keys of callers whose holder dies.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::history::{Attempt, Operation};
use deployment::sample::ORDERS;
use deployment::{Caller, CallerRequest, Credential, RequestOutcome};

use crate::common::{Setup, caller, pause, require};

/// Presents a key at an entry VM.
async fn present(caller: &Caller, id: &str, address: SocketAddr) -> Attempt {
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

/// Guards against a second run of a key whose holder died, while the first ran or after it.
#[test]
fn key_of_a_dead_holder_never_runs_again() {
    let setup = Setup {
        service_time: Duration::from_millis(300),
        ..Setup::new("keys-holder-killed")
    };
    setup.run(async |d| {
        let callers = caller(d);
        let vms = d.configuration.inventory.entry_vms.clone();
        let (holder, others) = (&vms[0], &vms[1..]);
        let done = present(&callers, "done", holder.caller_address).await;
        assert_eq!(done.outcome, RequestOutcome::Complete);
        let under_way: Vec<_> = (0..8)
            .map(|i| {
                let (callers, address) = (callers.clone(), holder.caller_address);
                runtime::spawn(async move {
                    present(&callers, &format!("under-way-{i}"), address).await
                })
            })
            .collect();
        // All claims are in the table before the holder dies, so that only it may run the keys.
        while d.platform.rows("claims/").len() < 1 + under_way.len() {
            pause(5).await;
        }
        pause(100).await;
        d.kill_entry_vm(&holder.id).unwrap();
        let mut operations = vec![Operation {
            id: "done".into(),
            binding: true,
            started_at: Instant::now(),
            attempts: vec![done],
        }];
        for (i, first) in under_way.into_iter().enumerate() {
            operations.push(Operation {
                id: format!("under-way-{i}").into(),
                binding: true,
                started_at: Instant::now(),
                attempts: vec![first.await],
            });
        }
        // At once, and after the holder counts as dead.
        for wait in [0, 6_000] {
            pause(wait).await;
            for (i, operation) in operations.iter_mut().enumerate() {
                let other = &others[i % others.len()];
                let again = present(&callers, &operation.id, other.caller_address).await;
                assert!(
                    matches!(again.outcome, RequestOutcome::Unknown(301 | 307)),
                    "{again:?}"
                );
                operation.attempts.push(again);
            }
        }
        let verdict = require("keys-holder-killed", d, &operations);
        assert!(verdict.executed > 1, "nothing was under way: {verdict}");
    });
}
