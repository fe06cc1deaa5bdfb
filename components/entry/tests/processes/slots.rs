//! Limits of the servers' slots while entry VMs are killed and frozen.

use std::time::Duration;

use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{LISTINGS, ORDERS, Shape};
use rustix::process::Signal;

use crate::common::{SEED, Setup, caller, require_consistent, signal, sleep_ms};

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

fn load_plan(service: &str) -> LoadProfile {
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

/// Guards against a restarted entry VM that uses slots before its peers know the new process, and
/// against peers that use the slots of a killed one too early.
#[test]
fn killed_entry_vms_never_exceed_slots() {
    setup("slots-killed").run(async |d| {
        let callers = caller(d);
        let loads = [ORDERS, LISTINGS].map(|s| LoadGenerator::start(&callers, &load_plan(s)));
        let vms = d.configuration.inventory.entry_vms.clone();
        sleep_ms(500).await;
        d.kill_entry_vm(&vms[0].id).unwrap();
        // Its quotas are reassigned after 5 s without heartbeats and by the VM list.
        sleep_ms(6_000).await;
        d.start_entry_vm(&vms[0]).unwrap();
        sleep_ms(1_500).await;
        d.kill_entry_vm(&vms[1].id).unwrap();
        d.start_entry_vm(&vms[1]).unwrap();
        sleep_ms(1_500).await;
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        require_consistent("slots-killed", d, &operations);
        assert_eq!(d.servers_over_slot_limit(), [], "server, peak, slots");
    });
}

/// Guards against a frozen entry VM that, once resumed, uses slots that others use by then. The VM
/// list still contains it, so its quotas are not reassigned; only slots that it borrowed may be
/// used twice.
#[test]
fn frozen_entry_vms_exceed_slots_only_by_loans() {
    setup("slots-frozen").run(async |d| {
        let callers = caller(d);
        let loads = [ORDERS, LISTINGS].map(|s| LoadGenerator::start(&callers, &load_plan(s)));
        let vms = d.configuration.inventory.entry_vms.clone();
        for vm in [&vms[0], &vms[1]] {
            sleep_ms(500).await;
            signal(d, &vm.id, Signal::STOP);
            sleep_ms(2_500).await;
            signal(d, &vm.id, Signal::CONT);
        }
        sleep_ms(1_500).await;
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        require_consistent("slots-frozen", d, &operations);
        // A quota is at most 2 of the 4 slots, so the frozen VM has borrowed at most 2.
        let exceeded = d.servers_over_slot_limit();
        println!("past_slots={exceeded:?}");
        assert!(
            exceeded.iter().all(|(_, peak, slots)| *peak <= slots + 2),
            "{exceeded:?}"
        );
    });
}
