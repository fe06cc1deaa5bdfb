//! Slots of servers while entry VMs die and stand still.

use std::time::Duration;

use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{LISTINGS, ORDERS, Shape};
use rustix::process::Signal;

use crate::common::{SEED, Setup, caller, pause, require, signal};

fn setup(name: &'static str) -> Setup {
    Setup {
        shape: Shape {
            domains: 1,
            entry_vms: 3,
            servers: 2,
            slots: 4,
            ..Shape::default()
        },
        service_time: Duration::from_millis(20),
        ..Setup::new(name)
    }
}

fn busy(service: &str) -> LoadProfile {
    LoadProfile {
        service: service.into(),
        binding: service == ORDERS,
        callers: 10,
        mean_pause: Duration::from_millis(1),
        response_bytes: 500,
        seed: SEED,
        ..LoadProfile::default()
    }
}

/// Guards against a successor that uses the slots of a dead process before its peers know it, and
/// against survivors that take its slots too early.
#[test]
fn dying_entry_vms_never_pass_the_slots() {
    setup("slots-killed").run(async |d| {
        let callers = caller(d);
        let loads = [ORDERS, LISTINGS].map(|s| LoadGenerator::start(&callers, &busy(s)));
        let vms = d.configuration.inventory.entry_vms.clone();
        pause(500).await;
        d.kill_entry_vm(&vms[0].id).unwrap();
        // Its share is reassigned after 5 s of silence and by the VM list.
        pause(6_000).await;
        d.start_entry_vm(&vms[0]).unwrap();
        pause(1_500).await;
        d.kill_entry_vm(&vms[1].id).unwrap();
        d.start_entry_vm(&vms[1]).unwrap();
        pause(1_500).await;
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        require("slots-killed", d, &operations);
        assert_eq!(d.servers_over_slot_limit(), [], "server, peak, slots");
    });
}

/// Guards against a frozen entry VM that goes on with slots that others use meanwhile. The VM
/// list still names it, so its share stays idle; only a borrowed slot may be in use twice.
#[test]
fn frozen_entry_vms_never_pass_the_slots_but_for_loans() {
    setup("slots-frozen").run(async |d| {
        let callers = caller(d);
        let loads = [ORDERS, LISTINGS].map(|s| LoadGenerator::start(&callers, &busy(s)));
        let vms = d.configuration.inventory.entry_vms.clone();
        for vm in [&vms[0], &vms[1]] {
            pause(500).await;
            signal(d, &vm.id, Signal::STOP);
            pause(2_500).await;
            signal(d, &vm.id, Signal::CONT);
        }
        pause(1_500).await;
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        require("slots-frozen", d, &operations);
        // A share is at most 2 of 4 slots, and so is what the frozen VM can have borrowed.
        let past = d.servers_over_slot_limit();
        println!("past_slots={past:?}");
        assert!(
            past.iter().all(|(_, peak, slots)| *peak <= slots + 2),
            "{past:?}"
        );
    });
}
