//! Heartbeats of a server that the store performs after the server has left.

use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Load};
use crate::record::Event;
use crate::server::Server;
use crate::store::Fault;
use crate::{DRAIN, HEARTBEAT, ORDERS, Run, STABILITY_WINDOW};

const ZONES: [&str; 6] = [
    "linz-nord",
    "linz-sued",
    "bregenz-ost",
    "bregenz-west",
    "klagenfurt-a",
    "klagenfurt-b",
];
/// Machines at which the clients are.
const LOADED: [&str; 2] = ["frontend-bregenz-ost-1", "frontend-bregenz-west-1"];
/// Silence after which the platform removes an entry.
const EXPIRY: Duration = HEARTBEAT.saturating_mul(3);
/// Time from the acknowledgement to the exit of the server.
const EXIT_AFTER_TWO: Duration = Duration::from_millis(7800);
/// The same if the store was down.
const EXIT_AFTER_OUTAGE: Duration = Duration::from_millis(6200);

fn start(run: &mut Run) -> Option<(Deployment, Vec<Load>, Server)> {
    run.add_servers();
    run.configure();
    let mut deployment = Deployment::start(&ZONES, &run.store, &run.record)?;
    let mut loads = Vec::new();
    for name in LOADED {
        loads.extend(run.load(&mut deployment, name, 19.5, 33.0));
    }
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(1));
    let leaving = run
        .servers
        .iter()
        .find(|s| s.service == ORDERS.service && s.zone == "bregenz-ost");
    let leaving = leaving?.clone();
    Some((deployment, loads, leaving))
}

/// Ends the run and counts the requests that reached the server after `from`.
fn finish(
    run: &Run,
    mut deployment: Deployment,
    loads: Vec<Load>,
    server: &Server,
    acknowledged: Duration,
    from: Duration,
    exit_after: Duration,
) -> Option<bool> {
    run.wait_until(acknowledged + exit_after);
    server.exit();
    run.record.step(&format!("{} exits", server.id));
    thread::sleep(Duration::from_secs(2));
    loads.into_iter().for_each(Load::stop);
    thread::sleep(Duration::from_secs(2));
    let after_drain = run.arrivals(server, acknowledged + DRAIN);
    println!(
        "reached the server later than drain-s after the acknowledgement: {}",
        after_drain.len()
    );
    let late = run.arrivals(server, from);
    for (id, at, machine) in &late {
        let after = at.saturating_sub(acknowledged).as_secs_f64();
        println!(
            "{id} from {machine} reached {} {after:.3} s after the acknowledgement",
            server.id
        );
    }
    println!(
        "of these with the store undisturbed for stability-window-s: {}",
        late.len()
    );
    let lines = run.record.lines();
    let lost = lines
        .iter()
        .filter(|l| l.event == Event::Lost && l.what == server.id);
    println!("orders at work when it exited, and lost: {}", lost.count());
    println!(
        "processes that ended by themselves: {:?}",
        deployment.ended()
    );
    Some(!late.is_empty())
}

/// Two heartbeats without an answer are performed after the server has left.
pub fn two(run: &mut Run) -> Option<bool> {
    let (deployment, loads, server) = start(run)?;
    let (first, second) = (Duration::from_millis(300), Duration::from_millis(3300));
    let leaves_at = run.record.now() + Duration::from_secs(3);
    if run.trouble {
        run.record
            .step("a heartbeat of the server stays without an answer");
        thread::sleep(HEARTBEAT);
        run.record
            .step("another heartbeat of the server stays without an answer");
    }
    run.wait_until(leaves_at);
    let acknowledged = run.leave(&server);
    if run.trouble {
        run.wait_until(acknowledged + first);
        run.store
            .put("servers", &server.id, Some(&server.row("ready", 6)));
        run.record.step("the store performs the first heartbeat");
        run.wait_until(acknowledged + second);
        // Only `sequence` would change: the entry stays as it is, and the silence begins anew.
        let performed = run.record.step("the store performs the second heartbeat");
        run.expire(&server, performed + EXPIRY);
    }
    let from = acknowledged + second + STABILITY_WINDOW;
    finish(
        run,
        deployment,
        loads,
        &server,
        acknowledged,
        from,
        EXIT_AFTER_TWO,
    )
}

/// A heartbeat without an answer is performed after the server has left and the store was down.
pub fn with_outage(run: &mut Run) -> Option<bool> {
    let (mut deployment, loads, server) = start(run)?;
    let leaves_at = run.record.now() + Duration::from_millis(4100);
    if run.trouble {
        run.record
            .step("a heartbeat of the server stays without an answer");
    }
    run.wait_until(leaves_at);
    let acknowledged = run.leave(&server);
    let performed = Duration::from_millis(1700);
    if run.trouble {
        run.wait_until(acknowledged + Duration::from_millis(200));
        let set = |deployment: &mut Deployment, fault| {
            deployment.machines.iter().for_each(|m| m.link.set(fault));
        };
        set(&mut deployment, Fault::Reset);
        run.record.step("the store is down");
        run.wait_until(acknowledged + Duration::from_millis(1200));
        set(&mut deployment, Fault::None);
        run.record.step("the store is back");
        run.wait_until(acknowledged + performed);
        run.store
            .put("servers", &server.id, Some(&server.row("ready", 6)));
        let performed = run.record.step("the store performs the heartbeat");
        run.expire(&server, performed + EXPIRY);
    }
    let from = acknowledged + performed + STABILITY_WINDOW;
    finish(
        run,
        deployment,
        loads,
        &server,
        acknowledged,
        from,
        EXIT_AFTER_OUTAGE,
    )
}
