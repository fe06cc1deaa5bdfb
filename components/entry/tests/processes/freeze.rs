//! Entry VMs that stand still and go on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use config::{Rules, Settings};
use deployment::history::{self, Operation};
use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{ORDERS, Shape};
use deployment::{Caller, Deployment};
use rustix::process::Signal;

use crate::common::{Both, SEED, Setup, caller, pause, require, signal};

/// Ticket lifetime of these tests, shorter than the pauses.
const TICKET_LIFETIME_MS: u64 = 1_000;

fn rules() -> Rules {
    Rules {
        ticket_lifetime_ms: TICKET_LIFETIME_MS,
        ..Rules::default()
    }
}

/// The runs at the end of a pause and a while after it.
struct Resumed {
    at: Instant,
    before: BTreeMap<Box<str>, u64>,
    after: BTreeMap<Box<str>, u64>,
}

/// Freezes the first entry VM twice for longer than the lifetime of its tickets.
async fn freeze_twice(d: &Deployment, longer_ms: u64) -> Vec<Resumed> {
    let vm = d.configuration.inventory.entry_vms[0].id.clone();
    let mut resumed = Vec::new();
    for _ in 0..2 {
        signal(d, &vm, Signal::STOP);
        pause(TICKET_LIFETIME_MS + longer_ms).await;
        let (at, before) = (Instant::now(), d.execution_counts());
        signal(d, &vm, Signal::CONT);
        pause(700).await;
        let after = d.execution_counts();
        resumed.push(Resumed { at, before, after });
    }
    resumed
}

/// Requires that no binding work whose ticket expired during a pause was sent after it.
///
/// No process can exclude that it is stopped between its last check and the write, so one request
/// per executor thread is allowed.
fn require_nothing_late(operations: &[Operation], resumed: &[Resumed]) {
    let lifetime = Duration::from_millis(TICKET_LIFETIME_MS);
    for r in resumed {
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

/// Guards against an entry VM that executes expired tickets after a pause, while callers were
/// told otherwise meanwhile.
#[test]
fn frozen_entry_vm_sends_nothing_late() {
    let setup = Setup {
        rules: rules(),
        ..Setup::new("frozen")
    };
    setup.run(async |d| {
        let load = Both::start(&caller(d));
        pause(1_000).await;
        let resumed = freeze_twice(d, 700).await;
        let operations = load.finish().await;
        require_nothing_late(&operations, &resumed);
        require("frozen", d, &operations);
    });
}

/// Guards against work that waited in a queue during the pause and is sent after its ticket, or
/// the deadline of its caller, has passed.
#[test]
fn frozen_queue_is_not_sent_after_the_pause() {
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
        // The deadline is later than the end of the pause, so that only the ticket forbids a send.
        let caller = Caller {
            deadline: Duration::from_secs(5),
            ..caller(d)
        };
        let load = LoadGenerator::start(&caller, &plan);
        pause(800).await;
        let resumed = freeze_twice(d, 1_000).await;
        let operations = load.finish().await;
        require_nothing_late(&operations, &resumed);
        require("frozen-queue", d, &operations);
    });
}
