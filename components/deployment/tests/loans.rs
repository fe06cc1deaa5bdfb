//! Idle slots of one entry VM serve the requests that wait at another one.

use std::time::Duration;

use config::{Class, Rules};
use deployment::sample::{self, Shape};
use deployment::{Answer, Caller, Credential, Deployment, Options, Work};

/// Requests in progress at the busy entry VM.
const CONCURRENT: usize = 5;
/// Requests of each of them.
const ROUNDS: usize = 12;

/// Guards against idle slots of a peer that waiting requests do not use.
#[test]
fn waiting_requests_use_idle_slots_of_a_peer() {
    use_idle_slots(Class::Idempotent, 4);
}

/// Guards against binding work that does not borrow, or is cut off when a loan ends.
#[test]
fn waiting_binding_work_uses_idle_slots_of_a_peer() {
    use_idle_slots(Class::Binding, 4);
}

/// `own` is what the busy VM has in service at most without loans: its part of the six slots.
/// The split balances the sums over all services, so a part need not be half of one service.
fn use_idle_slots(class: Class, own: usize) {
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
            known: vec![address],
            // A fixed term of at most 10 s covers deadlines up to 9.75 s.
            deadline: Duration::from_secs(8),
        };
        let mut tasks = Vec::new();
        for c in 0..CONCURRENT {
            let caller = caller.clone();
            let service = service.clone();
            tasks.push(runtime::spawn(async move {
                let mut whole = 0;
                for i in 0..ROUNDS {
                    let work = Work {
                        service: service.clone(),
                        house: "house".into(),
                        id: format!("request-{c}-{i}").into(),
                        binding: class == Class::Binding,
                        answer_bytes: 100,
                    };
                    let credential = match class {
                        Class::Binding => Credential::Key(&work.id),
                        _ => Credential::None,
                    };
                    let answer = caller.send(address, &work, credential).await;
                    whole += usize::from(answer == Ok(Answer::Whole));
                }
                whole
            }));
        }
        let mut whole = 0;
        for task in tasks {
            whole += task.await;
        }
        let peak: usize = deployment
            .servers
            .values()
            .map(|s| s.stats().peak_in_service)
            .sum();
        println!(
            "{class:?} requests={} whole={whole} peak_in_service={peak}",
            CONCURRENT * ROUNDS
        );
        assert_eq!(whole, CONCURRENT * ROUNDS);
        assert!(peak > own, "no slot of the peer was used");
        assert!(deployment.past_slots().is_empty());
        assert!(deployment.stop().await);
    });
}
