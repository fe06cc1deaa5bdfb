//! Entry VMs that die.

use crate::common::{Both, Setup, caller, pause, require};

/// Guards against a second run of binding work whose owner died, and against idempotent work that
/// no other entry VM takes over.
#[test]
fn killed_entry_vm_runs_no_binding_work_twice() {
    Setup::new("killed").run(async |d| {
        let load = Both::start(&caller(d));
        pause(1_000).await;
        let vm = d.configuration.inventory.entry_vms[0].clone();
        d.kill_entry_vm(&vm.id).unwrap();
        pause(2_000).await;
        let operations = load.finish().await;
        let verdict = require("killed", d, &operations);
        assert!(
            verdict.unknown.values().sum::<usize>() > 0,
            "the kill hit no work: {verdict}"
        );
    });
}

/// Guards against a successor of the same name that runs tickets of the dead process again.
#[test]
fn restarted_entry_vm_runs_no_ticket_of_its_predecessor() {
    Setup::new("restarted").run(async |d| {
        let load = Both::start(&caller(d));
        let vm = d.configuration.inventory.entry_vms[0].clone();
        for _ in 0..3 {
            pause(700).await;
            d.kill_entry_vm(&vm.id).unwrap();
            d.start_entry_vm(&vm).unwrap();
        }
        pause(1_500).await;
        let operations = load.finish().await;
        require("restarted", d, &operations);
        assert!(d.wait_ready().await.is_ok());
    });
}
