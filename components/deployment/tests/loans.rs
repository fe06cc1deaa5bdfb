//! Slot loans: idle slots of one entry VM serve requests that wait at another one.

use std::time::Duration;

use config::{Class, Rules};
use deployment::sample::{self, Shape};
use deployment::{Caller, CallerRequest, Credential, Deployment, Options, RequestOutcome};

/// Concurrent callers of the busy entry VM.
const CALLERS: usize = 5;
/// Requests of each caller.
const REQUESTS_PER_CALLER: usize = 12;

/// Guards against requests that wait although a peer has idle slots.
#[test]
fn waiting_requests_use_idle_slots_of_peer() {
    assert_idle_slots_used(Class::Idempotent, 4);
}

/// Guards against binding work that borrows no slots, or is aborted when a loan ends.
#[test]
fn waiting_binding_work_uses_idle_slots_of_peer() {
    assert_idle_slots_used(Class::Binding, 4);
}

/// Checks that a busy entry VM completes its requests with slots borrowed from an idle peer.
///
/// `quota` is the quota of the busy entry VM, which is the maximum that it has in service without
/// loans. Quotas are balanced over the sums of all services, so the quota of one service need not
/// be half of its eight slots.
fn assert_idle_slots_used(class: Class, quota: usize) {
    runtime::block_on(2, async {
        let shape = Shape {
            regions: 1,
            domains: 1,
            entry_vms: 2,
            servers: 2,
            ..Shape::default()
        };
        let configuration = sample::configuration(shape, Rules::default());
        let services = &configuration.inventory.services;
        let service = services
            .iter()
            .find(|s| s.class == class)
            .unwrap()
            .id
            .clone();
        let options = Options {
            configuration,
            service_time: Duration::from_millis(60),
            ..Options::default()
        };
        let deployment = Deployment::start(options).await.unwrap();
        let address = deployment.running()[0].caller_address;
        let caller = Caller {
            entry_vms: vec![address],
            // A loan has a fixed term of at most 10 s, which covers deadlines up to 9.75 s.
            deadline: Duration::from_secs(8),
        };
        let mut tasks = Vec::new();
        for c in 0..CALLERS {
            let caller = caller.clone();
            let service = service.clone();
            tasks.push(runtime::spawn(async move {
                let mut complete = 0;
                for i in 0..REQUESTS_PER_CALLER {
                    let request = CallerRequest {
                        service: service.clone(),
                        house: "house".into(),
                        id: format!("request-{c}-{i}").into(),
                        binding: class == Class::Binding,
                        response_bytes: 100,
                    };
                    let credential = match class {
                        Class::Binding => Credential::Key(&request.id),
                        _ => Credential::None,
                    };
                    let outcome = caller.send(address, &request, credential).await;
                    complete += usize::from(outcome == Ok(RequestOutcome::Complete));
                }
                complete
            }));
        }
        let mut complete = 0;
        for task in tasks {
            complete += task.await;
        }
        let peak: usize = deployment
            .servers
            .values()
            .map(|s| s.stats().peak_in_service)
            .sum();
        println!(
            "{class:?} requests={} whole={complete} peak_in_service={peak}",
            CALLERS * REQUESTS_PER_CALLER
        );
        assert_eq!(complete, CALLERS * REQUESTS_PER_CALLER);
        assert!(peak > quota, "the busy entry VM used no slot of its peer");
        assert!(deployment.servers_over_slot_limit().is_empty());
        assert!(deployment.stop().await);
    });
}
