//! Distribution of configurations during failures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_net::TcpListener;
use config::{ClientBlock, Configuration, EntryVmId, Generation};
use deployment::sample::Shape;
use deployment::{Deployment, RequestOutcome, status};
use standins::platform::{ObjectFault, Platform, PlatformSettings, serve_platform};

use crate::common::{
    AllServices, SEED, assert_consistent, caller, generations, options, pause, profile, run,
};

/// Time limit for an accepted configuration to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Polls the generation in force at each entry VM.
struct GenerationObserver {
    stop: Arc<AtomicBool>,
    task: Task<(usize, Vec<String>)>,
}

impl GenerationObserver {
    fn start(d: &Deployment) -> GenerationObserver {
        let stop = Arc::new(AtomicBool::new(false));
        let vms = d.configuration.inventory.entry_vms.clone();
        let is_stopped = stop.clone();
        let task = runtime::spawn(async move {
            let mut last_seen: BTreeMap<EntryVmId, Generation> = BTreeMap::new();
            let (mut reads, mut reverts) = (0, Vec::new());
            while !is_stopped.load(Ordering::Acquire) {
                for vm in &vms {
                    let Ok(status) = status::read(vm.operator_address).await else {
                        continue;
                    };
                    reads += 1;
                    let last = last_seen.entry(vm.id.clone()).or_default();
                    if status.generation < *last {
                        reverts.push(format!("{}: {} after {last}", vm.id, status.generation));
                    }
                    *last = status.generation;
                }
                pause(5).await;
            }
            (reads, reverts)
        });
        GenerationObserver { stop, task }
    }

    /// Stops polling; panics if an entry VM went back to an older generation.
    async fn assert_no_revert(self, name: &str) {
        self.stop.store(true, Ordering::Release);
        let (reads, reverts) = self.task.await;
        println!("test={name} status_reads={reads}");
        assert!(reads > 0 && reverts.is_empty(), "{name}: {reverts:?}");
    }
}

/// Tries to apply `count` changes, each based on the current head; returns how many were accepted
/// and the newest generation.
async fn apply_changes(d: &Deployment, operator: u64, count: u64) -> (u64, Generation) {
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

/// Guards against an entry VM that goes back to an older generation, or misses the last one, while
/// operators apply changes concurrently and the clock of the platform jumps.
#[test]
fn racing_operators_revert_no_entry_vm() {
    run(async {
        let d = Arc::new(
            Deployment::start(options(Shape {
                entry_vms: 3,
                ..Shape::default()
            }))
            .await
            .unwrap(),
        );
        let observer = GenerationObserver::start(&d);
        let load = AllServices::start(&caller(&d), |_| {});
        let operators: Vec<_> = (0..3)
            .map(|operator| {
                let d = d.clone();
                runtime::spawn(async move { apply_changes(&d, operator, 40).await })
            })
            .collect();
        // With uneven delays, an older object can arrive after a newer one has come from a peer.
        let mut rng = fastrand::Rng::with_seed(SEED);
        for clock_offset_ms in [3_600_000, -3_600_000, 0, -86_400_000, 0] {
            for _ in 0..8 {
                let slow_ms = if rng.bool() { rng.u64(100..500) } else { 0 };
                d.platform.set_faults(|f| {
                    f.time_offset_ms = clock_offset_ms;
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
        assert_consistent("racing-operators", &d, &operations);
        observer.assert_no_revert("racing-operators").await;
        println!(
            "applied={applied} newest={newest} in_force_ms={}",
            taken.as_millis()
        );
        // Each accepted change adds exactly one generation to the first one.
        assert_eq!(newest, applied + 1);
        assert!(taken < IN_FORCE_LIMIT);
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
    });
}

/// Tries to apply `count` changes and returns the newest generation.
async fn newest_after(d: &Deployment, count: u64) -> Generation {
    let (_, newest) = apply_changes(d, 0, count).await;
    newest
}

/// Returns a platform that holds only the first generation.
async fn platform_at_first_generation(d: &Deployment) -> Platform {
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
async fn connect_to_outdated_copy(d: &mut Deployment) -> Platform {
    let copy = platform_at_first_generation(d).await;
    let domain = d.configuration.inventory.domains[1].id.clone();
    d.disconnect_platform(&domain);
    d.connect_platform(&domain, &copy).await.unwrap();
    copy
}

/// Guards against an entry VM that goes back to an older generation when it reads an outdated copy
/// of the platform.
#[test]
fn outdated_platform_reverts_no_entry_vm() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let load = AllServices::start(&caller(&d), |_| {});
        let observer = GenerationObserver::start(&d);
        let newest = newest_after(&d, 3).await;
        d.wait_generation(newest).await.unwrap();
        connect_to_outdated_copy(&mut d).await;
        pause(2_500).await;
        observer.assert_no_revert("outdated-platform").await;
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
        let operations = load.finish().await;
        assert_consistent("outdated-platform", &d, &operations);
    });
}

/// Guards against an older object that replaces a newer one when it arrives from a slow platform
/// after the newer one has come from a peer.
#[test]
fn late_object_reverts_no_entry_vm() {
    run(async {
        let mut d = Deployment::start_without_entry_vms(options(Shape::default()))
            .await
            .unwrap();
        let copy = connect_to_outdated_copy(&mut d).await;
        let vms = d.configuration.inventory.entry_vms.clone();
        let (late, others) = vms.split_last().unwrap();
        for vm in others {
            d.start_entry_vm(vm).unwrap();
        }
        d.wait_ready().await.unwrap();
        let load = AllServices::start(&caller(&d), |_| {});
        // The head of the first generation arrives after 2.5 s, its object after 5 s.
        copy.set_faults(|f| f.slow_ms = 2_500);
        let observer = GenerationObserver::start(&d);
        d.start_entry_vm(late).unwrap();
        pause(2_700).await;
        let newest = newest_after(&d, 1).await;
        pause(4_000).await;
        observer.assert_no_revert("late-object").await;
        assert!(generations(&d).await.iter().all(|(_, g)| *g == newest));
        let operations = load.finish().await;
        assert_consistent("late-object", &d, &operations);
    });
}

/// Adds client blocks until the corrupted object is still a valid configuration, so that only its
/// hash reveals the corruption.
fn make_corruption_parseable(next: &mut Configuration) {
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
    panic!("the corrupted configuration is invalid with any number of client blocks up to 250");
}

/// Guards against a corrupt object that comes into force, and against a failed read that prevents
/// later reads of the intact object.
#[test]
fn corrupt_object_never_comes_into_force() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let observer = GenerationObserver::start(&d);
        let load = AllServices::start(&caller(&d), |_| {});
        let mut generation = 1;
        for fault in [ObjectFault::Corrupt, ObjectFault::Truncate] {
            d.platform.set_faults(|f| f.objects = fault);
            let mut next = d.configuration.clone();
            next.rules.default_deadline_ms = 2_000 + generation;
            make_corruption_parseable(&mut next);
            let applied = d.apply(generation, &next).await.unwrap();
            pause(2_500).await;
            let in_force = generations(&d).await;
            assert!(
                in_force.iter().all(|(_, g)| *g == generation),
                "{fault:?}: {in_force:?}"
            );
            d.platform.set_faults(|f| f.objects = ObjectFault::None);
            assert!(d.wait_generation(applied).await.unwrap() < IN_FORCE_LIMIT);
            generation = applied;
        }
        let operations = load.finish().await;
        assert_consistent("damaged-object", &d, &operations);
        observer.assert_no_revert("damaged-object").await;
    });
}

/// Guards against a new entry VM that cannot serve while the platform is down although its peers
/// have the configuration.
#[test]
fn entry_vm_gets_newest_generation_from_peer() {
    run(async {
        let mut d = Deployment::start_without_entry_vms(options(Shape::default()))
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
        let caller = deployment::Caller {
            entry_vms: vec![vms[0].caller_address],
            ..caller(&d)
        };
        let load =
            deployment::load::LoadGenerator::start(&caller, &profile(deployment::sample::LISTINGS));
        pause(500).await;
        let operations = load.finish().await;
        assert_consistent("from-a-peer", &d, &operations);
    });
}

/// Guards against an entry VM that serves without a configuration.
#[test]
fn entry_vm_without_configuration_refuses_requests_as_not_run() {
    run(async {
        let mut d = Deployment::start_without_entry_vms(options(Shape::default()))
            .await
            .unwrap();
        d.platform.set_faults(|f| f.down = true);
        let vm = d.configuration.inventory.entry_vms[0].clone();
        d.start_entry_vm(&vm).unwrap();
        let caller = caller(&d);
        let mut refused = 0;
        for i in 0..20 {
            let request = deployment::CallerRequest {
                service: deployment::sample::LISTINGS.into(),
                house: "house".into(),
                id: format!("alone-{i}").into(),
                binding: false,
                response_bytes: 100,
            };
            match caller.send(vm.caller_address, &request, None.into()).await {
                Ok(outcome) => {
                    assert_eq!(outcome, RequestOutcome::NotRun(200));
                    refused += 1;
                }
                // The listener is not open yet.
                Err(http::Error::Connect) => {}
                Err(error) => panic!("{error}"),
            }
            assert!(caller.look_up(&request.service).await.is_err());
            pause(50).await;
        }
        println!("test=alone seed={SEED} refused_200={refused}");
        assert!(refused > 0 && d.execution_counts().is_empty());
    });
}
