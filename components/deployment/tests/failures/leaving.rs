//! Servers that leave.

use deployment::Deployment;
use deployment::sample::{LISTINGS, ORDERS, Shape};
use standins::platform::VmState;
use standins::server::{Health, Server, ServerState};

use crate::common::{All, caller, options, pause, require, run};

/// Time after which no new work may arrive, by the clock of the server.
const LIMIT_MS: u64 = 2_000;

/// How the entry VMs learn that a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Health,
    VmList,
    Drain,
}

/// Makes a server count what arrives from now on; its health answer tells only if `tells`.
fn leave(server: &Server, tells: bool) {
    server.set_faults(|f| {
        f.state = ServerState::Leaving;
        f.health = (!tells).then_some(Health {
            state: ServerState::Ready,
            busy: 0,
            slots: 4,
        });
    });
}

async fn check(name: &str, source: Source) {
    let d = Deployment::start(options(Shape::default())).await.unwrap();
    let load = All::start(&caller(&d), |p| {
        p.pause = std::time::Duration::from_millis(2);
    });
    pause(1_000).await;
    let leaving = [ORDERS, LISTINGS].map(|s| format!("region-0-0-{s}-0"));
    let mut next = d.configuration.clone();
    for id in &leaving {
        let server = &d.servers[id.as_str()];
        assert!(server.stats().started > 0, "{id} was not in use");
        leave(server, source == Source::Health);
        match source {
            Source::Health => {}
            Source::VmList => d.platform.put_vm(id, VmState::Leaving),
            Source::Drain => next.rules.drains.servers.push(id.as_str().into()),
        }
    }
    if source == Source::Drain {
        d.apply(1, &next).await.unwrap();
    }
    pause(LIMIT_MS + 2_000).await;
    let operations = load.finish().await;
    require(name, &d, &operations);
    for id in &leaving {
        let seen = d.servers[id.as_str()].stats();
        println!(
            "test={name} server={id} arrivals_leaving={} last_arrival_leaving_ms={}",
            seen.arrivals_leaving, seen.last_arrival_leaving_ms
        );
        assert!(
            seen.last_arrival_leaving_ms <= LIMIT_MS,
            "{id} still gets work"
        );
    }
}

/// Guards against new work for a server whose own health answer says that it is leaving.
#[test]
fn server_that_reports_leaving_gets_no_new_work() {
    run(check("leaving-health", Source::Health));
}

/// Guards against new work for a server that only the VM list names as leaving.
#[test]
fn server_that_is_listed_as_leaving_gets_no_new_work() {
    run(check("leaving-list", Source::VmList));
}

/// Guards against new work for a server that an operator drains.
#[test]
fn drained_server_gets_no_new_work() {
    run(check("leaving-drain", Source::Drain));
}
