//! Servers that are leaving or drained.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::sample::{ARCHIVE, LISTINGS, ORDERS, Shape};
use deployment::{Caller, CallerRequest, Deployment, RequestOutcome, status};
use entry::Reachable;
use standins::platform::VmState;
use standins::server::{Health, Server, ServerState};

use crate::common::{AllServices, assert_consistent, caller, options, pause, run};

/// Time after which no new request may arrive, measured at the server.
const MAX_LAST_ARRIVAL_MS: u64 = 2_000;

/// How the entry VMs learn that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Health,
    VmList,
    Drain,
}

/// Makes a server count the requests that arrive from now on. Its health response reports that it
/// is leaving only if `reports_leaving`.
fn mark_leaving(server: &Server, reports_leaving: bool) {
    server.set_faults(|f| {
        f.state = ServerState::Leaving;
        f.health = (!reports_leaving).then_some(Health {
            state: ServerState::Ready,
            busy: 0,
            slots: 4,
        });
    });
}

async fn check_last_arrival(name: &str, source: Source) {
    let d = Deployment::start(options(Shape::default())).await.unwrap();
    let load = AllServices::start(&caller(&d), |p| {
        p.mean_pause = Duration::from_millis(2);
    });
    pause(1_000).await;
    let leaving = [ORDERS, LISTINGS].map(|s| format!("region-0-0-{s}-0"));
    let mut next = d.configuration.clone();
    for id in &leaving {
        let server = &d.servers[id.as_str()];
        assert!(
            server.stats().started > 0,
            "{id} got no requests before it was leaving"
        );
        mark_leaving(server, source == Source::Health);
        match source {
            Source::Health => {}
            Source::VmList => d.platform.put_vm(id, VmState::Leaving),
            Source::Drain => next.rules.drains.servers.push(id.as_str().into()),
        }
    }
    if source == Source::Drain {
        d.apply(1, &next).await.unwrap();
    }
    pause(MAX_LAST_ARRIVAL_MS + 2_000).await;
    let operations = load.finish().await;
    assert_consistent(name, &d, &operations);
    for id in &leaving {
        let seen = d.servers[id.as_str()].stats();
        println!(
            "test={name} server={id} arrivals_leaving={} last_arrival_leaving_ms={}",
            seen.arrivals_leaving, seen.last_arrival_leaving_ms
        );
        assert!(
            seen.last_arrival_leaving_ms <= MAX_LAST_ARRIVAL_MS,
            "{id} still got requests after {MAX_LAST_ARRIVAL_MS} ms"
        );
    }
}

/// Guards against new requests to a server whose health response reports that it is leaving.
#[test]
fn server_reporting_leaving_gets_no_new_requests() {
    run(check_last_arrival("leaving-health", Source::Health));
}

/// Guards against new requests to a server that only the VM list reports as leaving.
#[test]
fn server_listed_as_leaving_gets_no_new_requests() {
    run(check_last_arrival("leaving-list", Source::VmList));
}

/// Guards against new requests to a server that the configuration drains.
#[test]
fn drained_server_gets_no_new_requests() {
    run(check_last_arrival("leaving-drain", Source::Drain));
}

/// Time for which an attempt is paused while it connects; longer than two health probes.
const CONNECT_PAUSE: Duration = Duration::from_millis(2_500);

/// Returns a check that lets every server report that it is leaving when an entry VM starts to
/// connect to it, and pauses the attempt.
fn leave_during_connect(d: &Deployment) -> Reachable {
    let inventory = &d.configuration.inventory;
    let servers: Vec<_> = inventory
        .servers
        .iter()
        .map(|s| (s.address, d.servers[&s.id].clone()))
        .collect();
    Arc::new(move |address| {
        if let Some((_, server)) = servers.iter().find(|(a, _)| *a == address) {
            mark_leaving(server, true);
            thread::sleep(CONNECT_PAUSE);
        }
        true
    })
}

/// Guards against a request that reaches a server after its announced stop, because the process was
/// paused between the choice of the server and the sending.
#[test]
fn server_that_left_during_the_connect_gets_no_request() {
    run(async {
        let shape = Shape {
            domains: 1,
            entry_vms: 1,
            servers: 1,
            ..Shape::default()
        };
        let d = Deployment::start_without_entry_vms(options(shape))
            .await
            .unwrap();
        let vm = d.configuration.inventory.entry_vms[0].clone();
        let (stop, rx) = async_channel::bounded(1);
        let running = entry::run_with(d.entry_vm_settings(&vm), rx, leave_during_connect(&d));
        let running = runtime::spawn(running);
        d.platform.put_vm(&vm.id, VmState::Live);
        let services = [LISTINGS, ARCHIVE, ORDERS];
        let has_slots = |s: &status::Status| services.iter().all(|id| s.free_slots[*id] > 0);
        while !status::read(vm.operator_address)
            .await
            .is_ok_and(|s| s.generation > 0 && has_slots(&s))
        {
            pause(50).await;
        }
        let caller = Caller {
            entry_vms: vec![vm.caller_address],
            deadline: CONNECT_PAUSE * 2,
        };
        for service in services {
            let request = CallerRequest {
                service: service.into(),
                house: "house".into(),
                id: format!("{service}-1").into(),
                binding: service == ORDERS,
                response_bytes: 10,
            };
            let found = caller.look_up(service).await.unwrap();
            let ticket = found.ticket.as_deref().into();
            let outcome = caller.send(vm.caller_address, &request, ticket).await;
            assert!(
                matches!(outcome, Ok(RequestOutcome::NotRun(_))),
                "{outcome:?}"
            );
        }
        for (id, server) in &d.servers {
            assert_eq!(server.stats().arrivals_leaving, 0, "{id}");
        }
        drop(stop);
        running.await.unwrap();
    });
}
