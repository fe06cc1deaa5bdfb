//! Entry VMs that are killed.

use crate::common::{MixedLoad, Setup, caller, require_consistent, sleep_ms};

/// Guards against a second execution of binding work whose owner was killed, and against idempotent
/// work that no other entry VM takes over.
#[test]
fn killed_entry_vm_runs_no_binding_work_twice() {
    Setup::new("killed").run(async |d| {
        let load = MixedLoad::start(&caller(d));
        sleep_ms(1_000).await;
        let vm = d.configuration.inventory.entry_vms[0].clone();
        d.kill_entry_vm(&vm.id).unwrap();
        sleep_ms(2_000).await;
        let operations = load.finish().await;
        let verdict = require_consistent("killed", d, &operations);
        assert!(
            verdict.unknown.values().sum::<usize>() > 0,
            "no work was in progress at the kill: {verdict}"
        );
    });
}

/// Guards against a restarted entry VM that executes tickets of the killed process with the same
/// id.
#[test]
fn restarted_entry_vm_runs_no_ticket_of_its_predecessor() {
    Setup::new("restarted").run(async |d| {
        let load = MixedLoad::start(&caller(d));
        let vm = d.configuration.inventory.entry_vms[0].clone();
        for _ in 0..3 {
            sleep_ms(700).await;
            d.kill_entry_vm(&vm.id).unwrap();
            d.start_entry_vm(&vm).unwrap();
        }
        sleep_ms(1_500).await;
        let operations = load.finish().await;
        require_consistent("restarted", d, &operations);
        assert!(d.wait_ready().await.is_ok());
    });
}
