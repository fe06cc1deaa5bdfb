//! Idle slots of one entry VM serve the requests that wait at another one.

use std::time::Duration;

use config::{Class, Rules};
use deployment::sample::{self, Shape};
use deployment::{Answer, Caller, Credential, Deployment, Options, Work};

/// Requests in progress at the busy entry VM.
const CONCURRENT: usize = 5;
/// Requests of each of them.
const ROUNDS: usize = 12;

#[test]
fn waiting_requests_use_idle_slots_of_a_peer() {
    // Without loans the busy VM has at most its own half of the six slots in service.
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
            .find(|s| s.class == Class::Idempotent)
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
            deadline: Duration::from_secs(10),
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
                        binding: false,
                        answer_bytes: 100,
                    };
                    let answer = caller.send(address, &work, Credential::None).await;
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
            .map(|s| s.executions().peak_in_service)
            .sum();
        println!(
            "requests={} whole={whole} peak_in_service={peak}",
            CONCURRENT * ROUNDS
        );
        assert_eq!(whole, CONCURRENT * ROUNDS);
        assert!(peak > 3, "no slot of the peer was used");
        assert!(deployment.past_slots().is_empty());
        assert!(deployment.stop().await);
    });
}
