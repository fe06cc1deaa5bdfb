//! Entry VMs that stand still and go on.

use std::time::Duration;

use config::Rules;
use deployment::load::{Load, Plan};
use deployment::sample::{ORDERS, Shape};
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
        let vm = d.configuration.inventory.entry_vms[0].id.clone();
        for _ in 0..2 {
            signal(d, &vm, Signal::STOP);
            pause(TICKET_LIFETIME_MS + 700).await;
            signal(d, &vm, Signal::CONT);
            pause(700).await;
        }
        let operations = load.finish().await;
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
        let plan = Plan {
            service: ORDERS.into(),
            binding: true,
            callers: 24,
            attempts: 2,
            single: 0.7,
            seed: SEED,
            ..Plan::default()
        };
        let load = Load::start(&caller(d), &plan);
        pause(800).await;
        let vm = d.configuration.inventory.entry_vms[0].id.clone();
        for _ in 0..2 {
            signal(d, &vm, Signal::STOP);
            pause(TICKET_LIFETIME_MS + 1_200).await;
            signal(d, &vm, Signal::CONT);
            pause(500).await;
        }
        let operations = load.finish().await;
        require("frozen-queue", d, &operations);
    });
}
