//! Slot limits of servers while entry VMs join, leave and are partitioned.

use std::time::Duration;

use deployment::Deployment;
use deployment::load::LoadProfile;
use deployment::sample::Shape;

use crate::common::{AllServices, assert_consistent, caller, options, pause, run};

fn high_load(profile: &mut LoadProfile) {
    profile.callers = 8;
    profile.mean_pause = Duration::from_millis(1);
    profile.response_bytes = 500;
}

fn shape() -> Shape {
    Shape {
        domains: 1,
        entry_vms: 3,
        servers: 2,
        slots: 4,
        ..Shape::default()
    }
}

/// Guards against a slot in use by two entry VMs while one of them joins or leaves.
#[test]
fn slot_limit_holds_while_entry_vms_join_and_leave() {
    run(async {
        let options = deployment::Options {
            service_time: Duration::from_millis(20),
            ..options(shape())
        };
        let mut d = Deployment::start_without_entry_vms(options).await.unwrap();
        let vms = d.configuration.inventory.entry_vms.clone();
        d.start_entry_vm(&vms[0]).unwrap();
        d.start_entry_vm(&vms[1]).unwrap();
        d.wait_ready().await.unwrap();
        let load = AllServices::start(&caller(&d), high_load);
        pause(1_000).await;
        d.start_entry_vm(&vms[2]).unwrap();
        pause(2_000).await;
        assert!(d.stop_entry_vm(&vms[0].id).await);
        d.start_entry_vm(&vms[0]).unwrap();
        pause(2_000).await;
        let operations = load.finish().await;
        assert_consistent("slots-join", &d, &operations);
        assert_eq!(d.servers_over_slot_limit(), [], "server, peak, slots");
    });
}

/// Guards against a slot in use by two entry VMs because neither receives the other's heartbeats.
#[test]
fn slot_limit_holds_while_entry_vms_are_partitioned() {
    run(async {
        let options = deployment::Options {
            service_time: Duration::from_millis(20),
            ..options(shape())
        };
        let d = Deployment::start(options).await.unwrap();
        let vms = d.configuration.inventory.entry_vms.clone();
        let load = AllServices::start(&caller(&d), high_load);
        pause(700).await;
        d.network_faults.block_one_way(&vms[0].id, &vms[1].id);
        pause(1_500).await;
        d.network_faults.block(&vms[0].id, &vms[1].id);
        d.network_faults.block(&vms[0].id, &vms[2].id);
        // Longer than the time without heartbeats after which a peer counts as dead.
        pause(5_500).await;
        d.network_faults.restore();
        pause(1_500).await;
        let operations = load.finish().await;
        assert_consistent("slots-partition", &d, &operations);
        assert_eq!(d.servers_over_slot_limit(), [], "server, peak, slots");
    });
}

/// Guards against a slot that is reused while the server still executes a request whose deadline
/// has passed.
#[test]
fn slot_limit_holds_after_passed_deadlines() {
    run(async {
        let options = deployment::Options {
            service_time: Duration::from_millis(60),
            ..options(shape())
        };
        let d = Deployment::start(options).await.unwrap();
        let caller = deployment::Caller {
            deadline: Duration::from_millis(120),
            ..caller(&d)
        };
        let load = AllServices::start(&caller, |p| {
            high_load(p);
            p.callers = 16;
        });
        pause(6_000).await;
        let operations = load.finish().await;
        assert_consistent("slots-deadlines", &d, &operations);
        let ended: u64 = d
            .servers
            .values()
            .map(standins::server::Server::stats)
            .map(|e| e.deadline_ended + e.cancelled)
            .sum();
        println!("ended_at_servers={ended}");
        assert!(ended > 0);
        assert_eq!(d.servers_over_slot_limit(), [], "server, peak, slots");
    });
}
