//! Responses over a link with low bandwidth between regions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::{
    BackendServer, Class, Configuration, EntryVm, FailureDomain, Inventory, Link, Region, Rules,
    Service,
};
use deployment::{Caller, CallerRequest, Credential, Deployment, Options, RequestOutcome};

/// Bandwidth limit of the link in each direction.
const BYTES_PER_SECOND: u64 = 400_000;
/// Size of one long response.
const LONG_RESPONSE_BYTES: usize = 150_000;

fn placeholder_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns a configuration with two regions: callers are in the first, all servers in the second.
fn configuration() -> Configuration {
    let domain = |id: &str, region: &str| FailureDomain {
        id: id.into(),
        region: region.into(),
    };
    let vm = |id: &str, domain: &str| EntryVm {
        id: id.into(),
        domain: domain.into(),
        caller_address: placeholder_address(),
        peer_address: placeholder_address(),
        operator_address: placeholder_address(),
    };
    let server = |id: &str, service: &str| BackendServer {
        id: id.into(),
        service: service.into(),
        domain: "far-1".into(),
        address: placeholder_address(),
        slots: 8,
        connections: 100,
    };
    let link = |from: &str, to: &str| Link {
        from: from.into(),
        to: to.into(),
        bytes_per_second: BYTES_PER_SECOND,
        delay_ms: 35.0,
    };
    let service = |id: &str, class| Service {
        id: id.into(),
        class,
    };
    Configuration {
        inventory: Inventory {
            regions: ["near", "far"]
                .map(|id| Region {
                    id: id.into(),
                    domain_delay_ms: 1.0,
                })
                .into(),
            domains: vec![domain("near-1", "near"), domain("far-1", "far")],
            entry_vms: vec![vm("near-1-a", "near-1"), vm("far-1-a", "far-1")],
            services: vec![
                service("bids", Class::Binding),
                service("archive", Class::Deferrable),
            ],
            servers: vec![server("bids-1", "bids"), server("archive-1", "archive")],
            links: vec![link("near", "far"), link("far", "near")],
            client_blocks: Vec::new(),
        },
        rules: Rules {
            deferrable_slot_share: 1.0,
            ..Rules::default()
        },
    }
}

fn request(service: &str, binding: bool, i: usize, response_bytes: usize) -> CallerRequest {
    CallerRequest {
        service: service.into(),
        house: "house".into(),
        id: format!("{service}-{i}").into(),
        binding,
        response_bytes,
    }
}

/// Waits until the load report of the far domain has announced its free slots.
async fn wait_until_served(caller: &Caller, near: SocketAddr) {
    for i in 0..200 {
        let request = request("archive", false, 1000 + i, 0);
        if caller.send(near, &request, Credential::None).await == Ok(RequestOutcome::Complete) {
            return;
        }
        runtime::sleep(Duration::from_millis(50)).await;
    }
    panic!("the far domain served no request within 10 s");
}

/// Guards against long responses that exceed the bandwidth limit of a link, and against binding
/// work that is refused while they are sent.
#[test]
fn responses_stay_within_bandwidth_limit_of_link() {
    runtime::block_on(2, async {
        let options = Options {
            configuration: configuration(),
            ..Options::default()
        };
        let deployment = Deployment::start(options).await.unwrap();
        let near = deployment.running()[0].caller_address;
        let caller = Caller {
            entry_vms: vec![near],
            deadline: Duration::from_secs(20),
        };
        wait_until_served(&caller, near).await;
        let started = Instant::now();
        let long: Vec<_> = (0..8)
            .map(|i| {
                let caller = caller.clone();
                let request = request("archive", false, i, LONG_RESPONSE_BYTES);
                runtime::spawn(async move { caller.send(near, &request, Credential::None).await })
            })
            .collect();
        // Binding work has priority over the long responses, so it is not refused while they are
        // sent.
        let mut bids = 0;
        for i in 0..10 {
            let ticket = caller.look_up("bids").await.unwrap().ticket.unwrap();
            let bid = request("bids", true, i, 500);
            let outcome = caller
                .send(near, &bid, Credential::Ticket(&ticket))
                .await
                .unwrap();
            assert_eq!(outcome, RequestOutcome::Complete);
            bids += 1;
        }
        let mut complete = 0;
        for task in long {
            complete += usize::from(task.await.unwrap() == RequestOutcome::Complete);
        }
        let elapsed = started.elapsed();
        println!(
            "bids={bids} long={complete} elapsed_ms={}",
            elapsed.as_millis()
        );
        assert_eq!(complete, 8);
        // Lower bound of the transfer time on any machine; the subtracted 200 kB cover the burst of
        // 64 KiB and the first chunk of each lane.
        let bytes = (complete * LONG_RESPONSE_BYTES) as f64 - 200_000.0;
        assert!(elapsed.as_secs_f64() >= bytes / BYTES_PER_SECOND as f64);
        assert!(deployment.stop().await);
    });
}
