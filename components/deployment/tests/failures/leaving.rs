//! Servers that are leaving or drained.

use deployment::Deployment;
use deployment::sample::{LISTINGS, ORDERS, Shape};
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
        p.mean_pause = std::time::Duration::from_millis(2);
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
