//! Answers that cross a narrow link between regions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::{
    BackendServer, Class, Configuration, EntryVm, FailureDomain, Inventory, Link, Region, Rules,
    Service,
};
use deployment::{Answer, Caller, Credential, Deployment, Options, Work};

/// Limit of the link in each direction.
const BYTES_PER_SECOND: u64 = 400_000;
/// Bytes of one long answer.
const LONG_ANSWER: usize = 150_000;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Two regions; callers are in the first, all servers are in the second.
fn configuration() -> Configuration {
    let domain = |id: &str, region: &str| FailureDomain {
        id: id.into(),
        region: region.into(),
    };
    let vm = |id: &str, domain: &str| EntryVm {
        id: id.into(),
        domain: domain.into(),
        caller_address: any(),
        peer_address: any(),
        operator_address: any(),
    };
    let server = |id: &str, service: &str| BackendServer {
        id: id.into(),
        service: service.into(),
        domain: "far-1".into(),
        address: any(),
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

fn work(service: &str, binding: bool, i: usize, answer_bytes: usize) -> Work {
    Work {
        service: service.into(),
        house: "house".into(),
        id: format!("{service}-{i}").into(),
        binding,
        answer_bytes,
    }
}

/// Waits until the digest of the far domain shows its free slots.
async fn wait_until_served(caller: &Caller, near: SocketAddr) {
    for i in 0..200 {
        let work = work("archive", false, 1000 + i, 0);
        if caller.send(near, &work, Credential::None).await == Ok(Answer::Whole) {
            return;
        }
        runtime::sleep(Duration::from_millis(50)).await;
    }
    panic!("the far domain was not used within 10 s");
}

#[test]
fn answers_never_pass_the_limit_of_a_link() {
    runtime::block_on(2, async {
        let options = Options {
            configuration: configuration(),
            ..Options::default()
        };
        let deployment = Deployment::start(options).await.unwrap();
        let near = deployment.running()[0].caller_address;
        let caller = Caller {
            known: vec![near],
            deadline: Duration::from_secs(20),
        };
        wait_until_served(&caller, near).await;
        let started = Instant::now();
        let long: Vec<_> = (0..8)
            .map(|i| {
                let caller = caller.clone();
                let work = work("archive", false, i, LONG_ANSWER);
                runtime::spawn(async move { caller.send(near, &work, Credential::None).await })
            })
            .collect();
        // Binding work goes ahead of the long answers, so it is not refused meanwhile.
        let mut bids = 0;
        for i in 0..10 {
            let ticket = caller.look_up("bids").await.unwrap().ticket.unwrap();
            let bid = work("bids", true, i, 500);
            let answer = caller
                .send(near, &bid, Credential::Ticket(&ticket))
                .await
                .unwrap();
            assert_eq!(answer, Answer::Whole);
            bids += 1;
        }
        let mut whole = 0;
        for task in long {
            whole += usize::from(task.await.unwrap() == Answer::Whole);
        }
        let elapsed = started.elapsed();
        println!(
            "bids={bids} long={whole} elapsed_ms={}",
            elapsed.as_millis()
        );
        assert_eq!(whole, 8);
        // At least this long, however slow the machine is: the bytes over the limit, less the
        // burst of 64 KiB and the first chunk of each lane.
        let bytes = (whole * LONG_ANSWER) as f64 - 200_000.0;
        assert!(elapsed.as_secs_f64() >= bytes / BYTES_PER_SECOND as f64);
        assert!(deployment.stop().await);
    });
}
