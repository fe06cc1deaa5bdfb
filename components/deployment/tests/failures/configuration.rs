//! Distribution of configurations under failure.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_net::TcpListener;
use config::{ClientBlock, Configuration, EntryVmId, Generation};
use deployment::sample::Shape;
use deployment::{Answer, Deployment, status};
use standins::platform::{ObjectFault, Platform, PlatformSettings, serve_platform};

use crate::common::{All, SEED, caller, generations, options, pause, plan, require, run};

/// Time in which an accepted configuration is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Watches the generation in force at each entry VM.
struct Observer {
    stop: Arc<AtomicBool>,
    task: Task<(usize, Vec<String>)>,
}

impl Observer {
    fn start(d: &Deployment) -> Observer {
        let stop = Arc::new(AtomicBool::new(false));
        let vms = d.configuration.inventory.entry_vms.clone();
        let stopped = stop.clone();
        let task = runtime::spawn(async move {
            let mut newest: BTreeMap<EntryVmId, Generation> = BTreeMap::new();
            let (mut reads, mut faults) = (0, Vec::new());
            while !stopped.load(Ordering::Acquire) {
                for vm in &vms {
                    let Ok(status) = status::read(vm.operator_address).await else {
                        continue;
                    };
                    reads += 1;
                    let last = newest.entry(vm.id.clone()).or_default();
                    if status.generation < *last {
                        faults.push(format!("{}: {} after {last}", vm.id, status.generation));
                    }
                    *last = status.generation;
                }
                pause(5).await;
            }
            (reads, faults)
        });
        Observer { stop, task }
    }

    /// Ends the watch; panics if a generation went back.
    async fn require(self, name: &str) {
        self.stop.store(true, Ordering::Release);
        let (reads, faults) = self.task.await;
        println!("test={name} status_reads={reads}");
        assert!(reads > 0 && faults.is_empty(), "{name}: {faults:?}");
    }
}

/// Applies changes on the head of the moment until `count` of them have been tried.
async fn operate(d: &Deployment, operator: u64, count: u64) -> (u64, Generation) {
    let (mut applied, mut newest) = (0, 0);
    let client = d.client();
    for i in 0..count {
        let Ok(head) = client.head().await else {
            continue;
        };
        let mut next = d.configuration.clone();
        next.rules.default_deadline_ms = 1_000 + operator * 1_000 + i;
        if let Ok(generation) = d.apply(head.generation(), &next).await {
            applied += 1;
            newest = newest.max(generation);
        }
        pause(20 + operator * 7).await;
    }
    (applied, newest)
}

/// Guards against a node that goes back to an older generation, or misses the last one, while
/// operators race and the platform's clock steps.
#[test]
fn racing_operators_never_revert_a_node() {
    run(async {
        let d = Arc::new(
            Deployment::start(options(Shape {
                entry_vms: 3,
                ..Shape::default()
            }))
            .await
            .unwrap(),
        );
        let observer = Observer::start(&d);
        let load = All::start(&caller(&d), |_| {});
        let operators: Vec<_> = (0..3)
            .map(|operator| {
                let d = d.clone();
                runtime::spawn(async move { operate(&d, operator, 40).await })
            })
            .collect();
        // Uneven delays let an older object arrive after a newer one came from a peer.
        let mut rng = fastrand::Rng::with_seed(SEED);
        for step in [3_600_000, -3_600_000, 0, -86_400_000, 0] {
            for _ in 0..8 {
                let slow_ms = if rng.bool() { rng.u64(100..500) } else { 0 };
                d.platform.set_faults(|f| {
                    f.time_offset_ms = step;
                    f.slow_ms = slow_ms;
                });
                pause(rng.u64(50..150)).await;
            }
        }
        d.platform.set_faults(|f| f.slow_ms = 0);
        let (mut applied, mut newest) = (0, 0);
        for operator in operators {
            let (n, generation) = operator.await;
            applied += n;
            newest = newest.max(generation);
        }
        let taken = d.wait_generation(newest).await.unwrap();
        let operations = load.finish().await;
        require("racing-operators", &d, &operations);
        observer.require("racing-operators").await;
        println!(
            "applied={applied} newest={newest} in_force_ms={}",
            taken.as_millis()
        );
        // Each accepted change is exactly one generation after the first.
        assert_eq!(newest, applied + 1);
        assert!(taken < IN_FORCE_LIMIT);
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
    });
}

/// Applies `count` changes on the head and returns the newest generation.
async fn apply_more(d: &Deployment, count: u64) -> Generation {
    let (_, newest) = operate(d, 0, count).await;
    newest
}

/// Returns a copy of the platform as it was at the first generation.
async fn first_copy(d: &Deployment) -> Platform {
    let copy = Platform::new(PlatformSettings::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, rx) = async_channel::bounded(1);
    runtime::spawn(serve_platform(listener, copy.clone(), rx)).detach();
    let client = platform::Client::new(platform::ClientSettings {
        addresses: vec![address],
        ..platform::ClientSettings::default()
    });
    let bytes = config::encode(&d.configuration);
    platform::apply(
        &client,
        0,
        &bytes,
        "copy",
        &mut fastrand::Rng::with_seed(SEED),
    )
    .await
    .unwrap();
    drop(stop);
    copy
}

/// Connects the second failure domain to an outdated copy of the platform.
async fn connect_copy(d: &mut Deployment) -> Platform {
    let copy = first_copy(d).await;
    let domain = d.configuration.inventory.domains[1].id.clone();
    d.cut_platform(&domain);
    d.connect_platform(&domain, &copy).await.unwrap();
    copy
}

/// Guards against a node that goes back when its platform answers with an outdated copy.
#[test]
fn outdated_platform_reverts_no_node() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let load = All::start(&caller(&d), |_| {});
        let observer = Observer::start(&d);
        let newest = apply_more(&d, 3).await;
        d.wait_generation(newest).await.unwrap();
        connect_copy(&mut d).await;
        pause(2_500).await;
        observer.require("outdated-platform").await;
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
        let operations = load.finish().await;
        require("outdated-platform", &d, &operations);
    });
}

/// Guards against an old object that arrives from a slow platform after a newer one came from a
/// peer.
#[test]
fn late_object_reverts_no_node() {
    run(async {
        let mut d = Deployment::start_machines(options(Shape::default()))
            .await
            .unwrap();
        let copy = connect_copy(&mut d).await;
        let vms = d.configuration.inventory.entry_vms.clone();
        let (late, others) = vms.split_last().unwrap();
        for vm in others {
            d.start_entry_vm(vm).unwrap();
        }
        d.wait_ready().await.unwrap();
        let load = All::start(&caller(&d), |_| {});
        // The head of the first generation arrives after 2.5 s, its object after 5 s.
        copy.set_faults(|f| f.slow_ms = 2_500);
        let observer = Observer::start(&d);
        d.start_entry_vm(late).unwrap();
        pause(2_700).await;
        let newest = apply_more(&d, 1).await;
        pause(4_000).await;
        observer.require("late-object").await;
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
        let operations = load.finish().await;
        require("late-object", &d, &operations);
    });
}

/// Adds client blocks until a damaged object still is a valid configuration, so that only its hash
/// tells that it is damaged.
fn parse_though_damaged(next: &mut Configuration) {
    let domain = next.inventory.domains[0].id.clone();
    for i in 0..250 {
        next.inventory.client_blocks.push(ClientBlock {
            prefix: format!("10.{i}.0.0/16").into(),
            domain: domain.clone(),
        });
        let mut bytes = config::encode(next);
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        if config::parse_configuration(&bytes).is_ok() {
            return;
        }
    }
    panic!("no size of the configuration survives the damage");
}

/// Guards against a damaged object that is put in force, and against one bad read that blocks the
/// good one afterwards.
#[test]
fn damaged_object_never_comes_in_force() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let observer = Observer::start(&d);
        let load = All::start(&caller(&d), |_| {});
        let mut generation = 1;
        for fault in [ObjectFault::Corrupt, ObjectFault::Truncate] {
            d.platform.set_faults(|f| f.objects = fault);
            let mut next = d.configuration.clone();
            next.rules.default_deadline_ms = 2_000 + generation;
            parse_though_damaged(&mut next);
            let applied = d.apply(generation, &next).await.unwrap();
            pause(2_500).await;
            let seen = generations(&d).await;
            assert!(
                seen.iter().all(|(_, g)| *g == generation),
                "{fault:?}: {seen:?}"
            );
            d.platform.set_faults(|f| f.objects = ObjectFault::None);
            assert!(d.wait_generation(applied).await.unwrap() < IN_FORCE_LIMIT);
            generation = applied;
        }
        let operations = load.finish().await;
        require("damaged-object", &d, &operations);
        observer.require("damaged-object").await;
    });
}

/// Guards against a new entry VM that cannot serve because the platform is down, although its
/// peers hold the configuration.
#[test]
fn entry_vm_takes_the_newest_generation_from_a_peer() {
    run(async {
        let mut d = Deployment::start_machines(options(Shape::default()))
            .await
            .unwrap();
        let vms = d.configuration.inventory.entry_vms.clone();
        for vm in &vms[1..] {
            d.start_entry_vm(vm).unwrap();
        }
        d.wait_ready().await.unwrap();
        let mut next = d.configuration.clone();
        next.rules.default_deadline_ms = 4_321;
        let newest = d.apply(1, &next).await.unwrap();
        d.wait_generation(newest).await.unwrap();
        d.platform.set_faults(|f| f.down = true);
        d.start_entry_vm(&vms[0]).unwrap();
        assert!(d.wait_generation(newest).await.unwrap() < IN_FORCE_LIMIT);
        let one = deployment::Caller {
            known: vec![vms[0].caller_address],
            ..caller(&d)
        };
        let load = deployment::load::Load::start(&one, &plan(deployment::sample::LISTINGS));
        pause(500).await;
        let operations = load.finish().await;
        require("from-a-peer", &d, &operations);
    });
}

/// Guards against an entry VM that serves without a configuration.
#[test]
fn entry_vm_alone_refuses_everything_as_not_run() {
    run(async {
        let mut d = Deployment::start_machines(options(Shape::default()))
            .await
            .unwrap();
        d.platform.set_faults(|f| f.down = true);
        let vm = d.configuration.inventory.entry_vms[0].clone();
        d.start_entry_vm(&vm).unwrap();
        let caller = caller(&d);
        let mut refused = 0;
        for i in 0..20 {
            let work = deployment::Work {
                service: deployment::sample::LISTINGS.into(),
                house: "house".into(),
                id: format!("alone-{i}").into(),
                binding: false,
                answer_bytes: 100,
            };
            match caller.send(vm.caller_address, &work, None.into()).await {
                Ok(answer) => {
                    assert_eq!(answer, Answer::NotRun(200));
                    refused += 1;
                }
                // The listener is not open yet.
                Err(http::Error::Connect) => {}
                Err(error) => panic!("{error}"),
            }
            assert!(caller.look_up(&work.service).await.is_err());
            pause(50).await;
        }
        println!("test=alone seed={SEED} refused_200={refused}");
        assert!(refused > 0 && d.runs().is_empty());
    });
}
