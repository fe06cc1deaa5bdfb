//! Entry VMs that are frozen with SIGSTOP and resumptions with SIGCONT.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use config::{Rules, Settings};
use deployment::history::{self, Operation};
use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{ORDERS, Shape};
use deployment::{Caller, Deployment};
use rustix::process::Signal;

use crate::common::{MixedLoad, SEED, Setup, caller, require_consistent, signal, sleep_ms};

/// Ticket lifetime in these tests, shorter than the freezes.
const TICKET_LIFETIME_MS: u64 = 1_000;

fn rules() -> Rules {
    Rules {
        ticket_lifetime_ms: TICKET_LIFETIME_MS,
        ..Rules::default()
    }
}

/// Executions per id when a frozen entry VM resumes and 700 ms later.
struct Resumption {
    at: Instant,
    before: BTreeMap<Box<str>, u64>,
    after: BTreeMap<Box<str>, u64>,
}

/// Freezes the first entry VM twice, each time for `extra_ms` longer than the lifetime of its
/// tickets.
async fn freeze_twice(d: &Deployment, extra_ms: u64) -> Vec<Resumption> {
    let vm = d.configuration.inventory.entry_vms[0].id.clone();
    let mut resumptions = Vec::new();
    for _ in 0..2 {
        signal(d, &vm, Signal::STOP);
        sleep_ms(TICKET_LIFETIME_MS + extra_ms).await;
        let (at, before) = (Instant::now(), d.execution_counts());
        signal(d, &vm, Signal::CONT);
        sleep_ms(700).await;
        let after = d.execution_counts();
        resumptions.push(Resumption { at, before, after });
    }
    resumptions
}

/// Requires that no binding work whose ticket expired during a freeze was sent after it.
///
/// A process may be stopped between its last check of the ticket and the write, so one request per
/// executor thread is allowed.
fn require_no_expired_sends(operations: &[Operation], resumptions: &[Resumption]) {
    let lifetime = Duration::from_millis(TICKET_LIFETIME_MS);
    for r in resumptions {
        let expired = operations
            .iter()
            .filter(|o| o.binding && o.started_at + lifetime < r.at);
        println!("expired_before_resume={}", expired.count());
        let late = history::executed_after_expiry(operations, &r.before, &r.after, r.at, lifetime);
        assert!(
            late.len() <= Settings::default().threads,
            "sent after the ticket expired: {late:?}"
        );
    }
}

/// Guards against an entry VM that executes expired tickets after a freeze, although their callers
/// have got another answer in the meantime.
#[test]
fn frozen_entry_vm_sends_no_expired_work() {
    let setup = Setup {
        rules: rules(),
        ..Setup::new("frozen")
    };
    setup.run(async |d| {
        let load = MixedLoad::start(&caller(d));
        sleep_ms(1_000).await;
        let resumptions = freeze_twice(d, 700).await;
        let operations = load.finish().await;
        require_no_expired_sends(&operations, &resumptions);
        require_consistent("frozen", d, &operations);
    });
}

/// Guards against work that is queued during the freeze and sent after its ticket or the deadline
/// of its caller has expired.
#[test]
fn frozen_queue_is_not_sent_after_expiry() {
    let setup = Setup {
        rules: rules(),
        shape: Shape {
            servers: 1,
            slots: 2,
            ..Shape::default()
        },
        service_time: Duration::from_millis(150),
        ..Setup::new("frozen-queue")
    };
    setup.run(async |d| {
        let plan = LoadProfile {
            service: ORDERS.into(),
            binding: true,
            callers: 24,
            max_attempts: 2,
            single_attempt_share: 0.7,
            seed: SEED,
            ..LoadProfile::default()
        };
        // The deadline is after the end of the freeze, so that only the ticket prevents a send.
        let caller = Caller {
            deadline: Duration::from_secs(5),
            ..caller(d)
        };
        let load = LoadGenerator::start(&caller, &plan);
        sleep_ms(800).await;
        let resumptions = freeze_twice(d, 1_000).await;
        let operations = load.finish().await;
        require_no_expired_sends(&operations, &resumptions);
        require_consistent("frozen-queue", d, &operations);
    });
}
