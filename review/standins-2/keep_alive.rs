//! Sound servers state a very long idle timeout. Requests that they have answered end without an
//! answer.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, next_id};
use crate::http::Connection;
use crate::record::Event;
use crate::{Run, STABILITY_WINDOW};

const ZONES: [&str; 2] = ["bregenz-ost", "bregenz-west"];
const MACHINE: &str = "frontend-bregenz-ost-1";
/// Requests on each route.
const REQUESTS: usize = 20;

pub fn run(run: &mut Run) -> Option<bool> {
    run.add_servers();
    run.configure();
    let mut deployment = Deployment::start(&ZONES, &run.store, &run.record)?;
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(1));
    if run.trouble {
        // A server that never closes idle connections.
        for server in &run.servers {
            server.state_idle_timeout(u64::MAX);
        }
    }
    let to = deployment.machine(MACHINE).frontend();
    let (mut closed, mut orders_failed) = (0, 0);
    for (method, path) in [("GET", "/works/1"), ("POST", "/orders/1")] {
        let mut kept: Option<Connection> = None;
        for _ in 0..REQUESTS {
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => Connection::open(to, Duration::from_secs(1)).ok()?,
            };
            let id = next_id();
            run.record
                .add(Event::Sent, &id, &format!("{MACHINE} {method} {path}"));
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
                 X-Request-Deadline: 1500\r\nContent-Length: 0\r\n\r\n"
            );
            let written = connection.write(request.as_bytes());
            let answer = written
                .and_then(|()| connection.read(Some(Instant::now() + Duration::from_secs(2))));
            let got = match &answer {
                Ok(Some(a)) => a.status().to_string(),
                Ok(None) => "closed".into(),
                Err(e) => format!("{:?}", e.kind()),
            };
            run.record.add(Event::Got, &id, &format!("{MACHINE} {got}"));
            let answered = run
                .record
                .lines()
                .iter()
                .any(|l| l.event == Event::Answered && l.id == id);
            closed += usize::from(answered && (got == "closed" || got == "ConnectionReset"));
            orders_failed += usize::from(answered && method == "POST" && got != "200");
            if answer.is_ok_and(|a| a.is_some()) {
                kept = Some(connection);
            }
        }
    }
    println!("answered by the server, and closed without an answer: {closed}");
    println!("orders answered by the server of which the client got no success: {orders_failed}");
    println!(
        "processes that ended by themselves: {:?}",
        deployment.ended()
    );
    Some(closed > 3)
}
