//! Slots of servers while entry VMs join, leave and lose each other.

use std::time::Duration;

use deployment::Deployment;
use deployment::load::Plan;
use deployment::sample::Shape;

use crate::common::{All, caller, options, pause, require, run};

fn busy(plan: &mut Plan) {
    plan.callers = 8;
    plan.pause = Duration::from_millis(1);
    plan.answer_bytes = 500;
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

/// Guards against two entry VMs that use the same slot while one joins or leaves.
#[test]
fn joining_and_leaving_entry_vms_never_pass_the_slots() {
    run(async {
        let options = deployment::Options {
            service_time: Duration::from_millis(20),
            ..options(shape())
        };
        let mut d = Deployment::start_machines(options).await.unwrap();
        let vms = d.configuration.inventory.entry_vms.clone();
        d.start_entry_vm(&vms[0]).unwrap();
        d.start_entry_vm(&vms[1]).unwrap();
        d.wait_ready().await.unwrap();
        let load = All::start(&caller(&d), busy);
        pause(1_000).await;
        d.start_entry_vm(&vms[2]).unwrap();
        pause(2_000).await;
        assert!(d.stop_entry_vm(&vms[0].id).await);
        d.start_entry_vm(&vms[0]).unwrap();
        pause(2_000).await;
        let operations = load.finish().await;
        require("slots-join", &d, &operations);
        assert_eq!(d.past_slots(), [], "server, peak, slots");
    });
}

/// Guards against two entry VMs that use the same slot because they do not hear each other.
#[test]
fn partitioned_entry_vms_never_pass_the_slots() {
    run(async {
        let options = deployment::Options {
            service_time: Duration::from_millis(20),
            ..options(shape())
        };
        let d = Deployment::start(options).await.unwrap();
        let vms = d.configuration.inventory.entry_vms.clone();
        let load = All::start(&caller(&d), busy);
        pause(700).await;
        d.cuts.cut_one_way(&vms[0].id, &vms[1].id);
        pause(1_500).await;
        d.cuts.cut(&vms[0].id, &vms[1].id);
        d.cuts.cut(&vms[0].id, &vms[2].id);
        // Longer than the silence after which a peer counts as dead.
        pause(5_500).await;
        d.cuts.restore();
        pause(1_500).await;
        let operations = load.finish().await;
        require("slots-partition", &d, &operations);
        assert_eq!(d.past_slots(), [], "server, peak, slots");
    });
}

/// Guards against a slot that is given to the next request while the server still works on one
/// whose deadline has passed.
#[test]
fn ended_deadlines_never_pass_the_slots() {
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
        let load = All::start(&caller, |p| {
            busy(p);
            p.callers = 16;
        });
        pause(6_000).await;
        let operations = load.finish().await;
        require("slots-deadlines", &d, &operations);
        let ended: u64 = d
            .servers
            .values()
            .map(standins::server::Server::stats)
            .map(|e| e.deadline_ended + e.cancelled)
            .sum();
        println!("ended_at_servers={ended}");
        assert!(ended > 0);
        assert_eq!(d.past_slots(), [], "server, peak, slots");
    });
}
