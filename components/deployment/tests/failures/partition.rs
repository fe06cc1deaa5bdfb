//! Network partitions between failure domains, and between a failure domain and the platform.

use std::time::Duration;

use deployment::load::{LoadGenerator, LoadProfile};
use deployment::sample::{LISTINGS, ORDERS, Shape};
use deployment::{Caller, Deployment, RequestOutcome};

use standins::server::{ResponseFault, ResponseFaultRule};

use crate::common::{
    AllServices, SEED, assert_consistent, caller, generations, options, pause, profile, run,
};

/// Time limit for an accepted configuration to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Guards against an isolated failure domain that stops serving its callers, and against one that
/// keeps an outdated configuration after the partition.
#[test]
fn isolated_domain_keeps_serving_and_catches_up() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let domain = d.configuration.inventory.domains[1].id.clone();
        let isolated_vms: Vec<_> = d
            .running()
            .into_iter()
            .filter(|v| v.domain == domain)
            .cloned()
            .collect();
        let local = Caller {
            entry_vms: isolated_vms.iter().map(|v| v.caller_address).collect(),
            ..caller(&d)
        };
        d.network_faults.isolate_domain(&d.configuration, &domain);
        d.disconnect_platform(&domain);
        let start = |service| {
            LoadGenerator::start(
                &local,
                &LoadProfile {
                    max_attempts: 2,
                    ..profile(service)
                },
            )
        };
        let loads = [start(ORDERS), start(LISTINGS)];
        let mut next = d.configuration.clone();
        next.rules.default_deadline_ms = 4_444;
        let newest = d.apply(1, &next).await.unwrap();
        pause(4_000).await;
        for (vm, generation) in generations(&d).await {
            let is_isolated = isolated_vms.iter().any(|v| v.id == vm);
            assert_eq!(generation, if is_isolated { 1 } else { newest }, "{vm}");
        }
        d.network_faults.restore();
        d.reconnect_platform(&domain).await.unwrap();
        let taken = d.wait_generation(newest).await.unwrap();
        println!("in_force_ms={}", taken.as_millis());
        assert!(taken < IN_FORCE_LIMIT);
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        let report = assert_consistent("domain-cut-off", &d, &operations);
        for service in [ORDERS, LISTINGS] {
            let of_service = operations.iter().filter(|o| o.id.starts_with(service));
            let attempts = of_service.flat_map(|o| &o.attempts);
            let local =
                attempts.filter(|a| isolated_vms.iter().any(|v| v.caller_address == a.address));
            let (mut complete, mut total) = (0, 0);
            for attempt in local {
                total += 1;
                complete += usize::from(attempt.outcome == RequestOutcome::Complete);
            }
            println!("service={service} local_attempts={total} whole={complete}");
            assert!(complete * 10 >= total * 9 && total > 100, "{report}");
        }
    });
}

/// Guards against binding work that is executed twice, or refused as not run although it was
/// executed, when connections to the other failure domain fail while it is in progress.
#[test]
fn work_for_another_domain_survives_broken_links() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let first = d.configuration.inventory.domains[0].id.clone();
        let vms = d.configuration.inventory.entry_vms.clone();
        let (near, far): (Vec<_>, Vec<_>) = vms.iter().partition(|v| v.domain == first);
        for server in &d.configuration.inventory.servers {
            let is_near = server.domain == first;
            d.servers[&server.id].set_faults(|f| {
                f.shed_all = is_near;
                if !is_near {
                    f.bad_answers = Some(ResponseFaultRule {
                        kind: ResponseFault::Close,
                        probability: 0.05,
                        left: None,
                    });
                }
            });
        }
        let local = Caller {
            entry_vms: near.iter().map(|v| v.caller_address).collect(),
            ..caller(&d)
        };
        let load = AllServices::start(&local, |_| {});
        let mut rng = fastrand::Rng::with_seed(SEED);
        for _ in 0..16 {
            pause(200).await;
            d.network_faults.restore();
            for a in &near {
                for b in &far {
                    if rng.f64() < 0.4 {
                        d.network_faults.block_one_way(&a.id, &b.id);
                    }
                }
            }
        }
        d.network_faults.restore();
        let operations = load.finish().await;
        let report = assert_consistent("other-domain", &d, &operations);
        let attempts = operations.iter().flat_map(|o| &o.attempts);
        let relayed = attempts.filter(|a| {
            a.outcome == RequestOutcome::Complete
                && near.iter().any(|v| v.caller_address == a.address)
        });
        let relayed = relayed.count();
        println!("relayed={relayed}");
        assert!(relayed > 0, "the other domain served no request: {report}");
    });
}
