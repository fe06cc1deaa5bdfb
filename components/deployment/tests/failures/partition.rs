//! Failure domains that are cut off.

use std::time::Duration;

use deployment::load::{Load, Plan};
use deployment::sample::{LISTINGS, ORDERS, Shape};
use deployment::{Answer, Caller, Deployment};

use standins::server::{ResponseFault, ResponseFaultRule};

use crate::common::{All, SEED, caller, generations, options, pause, plan, require, run};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a failure domain that stops to serve its callers when it is cut off from the
/// platform and all others, and against one that stays behind afterwards.
#[test]
fn domain_cut_off_from_everything_serves_and_catches_up() {
    run(async {
        let mut d = Deployment::start(options(Shape::default())).await.unwrap();
        let domain = d.configuration.inventory.domains[1].id.clone();
        let own: Vec<_> = d
            .running()
            .into_iter()
            .filter(|v| v.domain == domain)
            .cloned()
            .collect();
        let local = Caller {
            known: own.iter().map(|v| v.caller_address).collect(),
            ..caller(&d)
        };
        d.cuts.isolate_domain(&d.configuration, &domain);
        d.cut_platform(&domain);
        let start = |service| {
            Load::start(
                &local,
                &Plan {
                    attempts: 2,
                    ..plan(service)
                },
            )
        };
        let loads = [start(ORDERS), start(LISTINGS)];
        let mut next = d.configuration.clone();
        next.rules.default_deadline_ms = 4_444;
        let newest = d.apply(1, &next).await.unwrap();
        pause(4_000).await;
        for (vm, generation) in generations(&d).await {
            let is_cut = own.iter().any(|v| v.id == vm);
            assert_eq!(generation, if is_cut { 1 } else { newest }, "{vm}");
        }
        d.cuts.restore();
        d.restore_platform(&domain).await.unwrap();
        let taken = d.wait_generation(newest).await.unwrap();
        println!("in_force_ms={}", taken.as_millis());
        assert!(taken < IN_FORCE_LIMIT);
        let mut operations = Vec::new();
        for load in loads {
            operations.extend(load.finish().await);
        }
        let verdict = require("domain-cut-off", &d, &operations);
        for service in [ORDERS, LISTINGS] {
            let inside = operations.iter().filter(|o| o.id.starts_with(service));
            let attempts = inside.flat_map(|o| &o.attempts);
            let local = attempts.filter(|a| own.iter().any(|v| v.caller_address == a.address));
            let (mut whole, mut all) = (0, 0);
            for attempt in local {
                all += 1;
                whole += usize::from(attempt.answer == Answer::Whole);
            }
            println!("service={service} local_attempts={all} whole={whole}");
            assert!(whole * 10 >= all * 9 && all > 100, "{verdict}");
        }
    });
}

/// Guards against work that is sent to another failure domain a second time, or refused as not
/// run, after the link broke while it was under way.
#[test]
fn work_for_another_domain_survives_broken_links() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let first = d.configuration.inventory.domains[0].id.clone();
        let vms = d.configuration.inventory.entry_vms.clone();
        let (near, far): (Vec<_>, Vec<_>) = vms.iter().partition(|v| v.domain == first);
        for server in &d.configuration.inventory.servers {
            let server_of_first = server.domain == first;
            d.servers[&server.id].set_faults(|f| {
                f.shed_all = server_of_first;
                if !server_of_first {
                    f.bad_answers = Some(ResponseFaultRule {
                        kind: ResponseFault::Close,
                        probability: 0.05,
                        left: None,
                    });
                }
            });
        }
        let local = Caller {
            known: near.iter().map(|v| v.caller_address).collect(),
            ..caller(&d)
        };
        let load = All::start(&local, |_| {});
        let mut rng = fastrand::Rng::with_seed(SEED);
        for _ in 0..16 {
            pause(200).await;
            d.cuts.restore();
            for a in &near {
                for b in &far {
                    if rng.f64() < 0.4 {
                        d.cuts.cut_one_way(&a.id, &b.id);
                    }
                }
            }
        }
        d.cuts.restore();
        let operations = load.finish().await;
        let verdict = require("other-domain", &d, &operations);
        let at_near = operations.iter().flat_map(|o| &o.attempts);
        let relayed = at_near.filter(|a| {
            a.answer == Answer::Whole && near.iter().any(|v| v.caller_address == a.address)
        });
        let relayed = relayed.count();
        println!("relayed={relayed}");
        assert!(
            relayed > 0,
            "nothing was served by the other domain: {verdict}"
        );
    });
}
