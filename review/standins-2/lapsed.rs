//! The store refuses two machines of a region, and servers leave meanwhile. The third machine, which
//! the store serves, sends requests to them for longer than `drain-s`.

use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::server::Server;
use crate::store::Fault;
use crate::{CATALOGUE, DRAIN, ORDERS, Run, STABILITY_WINDOW};

const ZONES: [&str; 7] = [
    "linz-nord",
    "linz-sued",
    "bregenz-ost",
    "bregenz-west",
    "bregenz-west",
    "klagenfurt-a",
    "klagenfurt-b",
];
const REFUSED: [&str; 2] = ["frontend-bregenz-west-1", "frontend-bregenz-west-2"];
const SERVED: &str = "frontend-bregenz-ost-1";
/// How long the store refuses the two machines.
const REFUSAL: Duration = Duration::from_secs(9);
/// Number of refusals.
const PERIODS: u32 = 4;
/// Time from the acknowledgement to the exit of a server.
const EXIT_AFTER: Duration = Duration::from_millis(2800);

pub fn run(run: &mut Run) -> Option<bool> {
    run.add_servers();
    run.configure();
    let mut deployment = Deployment::start(&ZONES, &run.store, &run.record)?;
    let mut loads = Vec::new();
    loads.extend(run.load(&mut deployment, SERVED, 19.5, 33.0));
    for name in REFUSED {
        loads.extend(run.load(&mut deployment, name, 8.0, 12.0));
    }
    let mut left: Vec<(Server, Duration)> = Vec::new();
    let mut at = run.record.now() + STABILITY_WINDOW + Duration::from_secs(1);
    for _ in 0..PERIODS {
        run.wait_until(at);
        if run.trouble {
            run.record
                .step("the store refuses frontend-bregenz-west-1 and -2");
            for name in REFUSED {
                deployment.machine(name).link.set(Fault::Busy);
            }
        }
        for offset in [1.7, 5.9] {
            run.wait_until(at + Duration::from_secs_f64(offset));
            for service in [ORDERS.service, CATALOGUE.service] {
                run.add_server(service, "bregenz-ost", true);
            }
            thread::sleep(Duration::from_millis(30));
            for service in [ORDERS.service, CATALOGUE.service] {
                let oldest = run.servers.iter().find(|s| {
                    s.service == service
                        && s.zone == "bregenz-ost"
                        && left.iter().all(|(l, _)| l.id != s.id)
                });
                let server = oldest?.clone();
                let acknowledged = run.leave(&server);
                let exiting = server.clone();
                thread::spawn(move || {
                    thread::sleep(EXIT_AFTER);
                    exiting.exit();
                });
                left.push((server, acknowledged));
            }
        }
        run.wait_until(at + REFUSAL);
        for name in REFUSED {
            deployment.machine(name).link.set(Fault::None);
        }
        run.record.step("the store serves all machines");
        at = run.record.now() + STABILITY_WINDOW + Duration::from_secs(3);
    }
    thread::sleep(Duration::from_secs(3));
    loads.into_iter().for_each(crate::Load::stop);
    thread::sleep(Duration::from_secs(2));
    let mut late = 0;
    for (server, acknowledged) in &left {
        for (id, at, machine) in run.arrivals(server, *acknowledged + DRAIN) {
            if machine == SERVED {
                late += 1;
                let after = at.saturating_sub(*acknowledged).as_secs_f64();
                println!(
                    "{id} from {machine} reached {} {after:.3} s after the acknowledgement",
                    server.id
                );
            }
        }
    }
    println!("late at servers that had left, from {SERVED}: {late}");
    let ended = deployment.ended();
    println!("processes that ended by themselves: {ended:?}");
    Some(late > 0)
}
