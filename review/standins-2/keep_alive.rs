//! Sound servers state a very long idle timeout. Requests that they have answered end without an
//! answer, on connections that were kept from an earlier request.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, next_id};
use crate::http::Connection;
use crate::record::Event;
use crate::{CATALOGUE, Run, STABILITY_WINDOW};

const ZONES: [&str; 2] = ["bregenz-ost", "bregenz-west"];
const MACHINE: &str = "frontend-bregenz-ost-1";
/// Connections, and orders after them.
const REQUESTS: usize = 20;

pub fn run(run: &mut Run) -> Option<bool> {
    run.add_servers();
    run.configure();
    let mut deployment = Deployment::start(&ZONES, &run.store, &run.record)?;
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(1));
    let state_long_timeout = |service: &str| {
        // A server that never closes idle connections.
        let servers = run.servers.iter().filter(|s| s.service == service);
        servers.for_each(|s| s.state_idle_timeout(u64::MAX));
    };
    if run.trouble {
        state_long_timeout(CATALOGUE.service);
    }
    let to = deployment.machine(MACHINE).frontend();
    let mut closed = 0;
    for _ in 0..REQUESTS {
        let mut connection = Connection::open(to, Duration::from_secs(1)).ok()?;
        // The servers of orders state the usual timeout: the connection is kept.
        let (_, got) = exchange(run, &mut connection, "POST", "/orders/1");
        if got != "200" {
            continue;
        }
        let (answered, got) = exchange(run, &mut connection, "GET", "/works/1");
        closed += usize::from(answered && (got == "closed" || got == "ConnectionReset"));
    }
    println!("answered by the server, and the kept connection closed without an answer: {closed}");
    if run.trouble {
        state_long_timeout(crate::ORDERS.service);
    }
    let failed = orders_failed(run, to)?;
    println!("orders answered by the server of which the client got no success: {failed}");
    println!(
        "processes that ended by themselves: {:?}",
        deployment.ended()
    );
    Some(closed > 3)
}

/// Sends orders and counts those that a server has answered, but whose client got no success.
fn orders_failed(run: &Run, to: SocketAddr) -> Option<usize> {
    let mut failed = 0;
    for _ in 0..REQUESTS {
        let mut connection = Connection::open(to, Duration::from_secs(1)).ok()?;
        let (answered, got) = exchange(run, &mut connection, "POST", "/orders/1");
        failed += usize::from(answered && got != "200");
    }
    Some(failed)
}

/// Sends a request; returns whether a server has answered it, and what the client got.
fn exchange(run: &Run, connection: &mut Connection, method: &str, path: &str) -> (bool, String) {
    let id = next_id();
    run.record
        .add(Event::Sent, &id, &format!("{MACHINE} {method} {path}"));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    let written = connection.write(request.as_bytes());
    let until = Instant::now() + Duration::from_secs(2);
    let got = match written.and_then(|()| connection.read(Some(until))) {
        Ok(Some(a)) => a.status().to_string(),
        Ok(None) => "closed".into(),
        Err(e) => format!("{:?}", e.kind()),
    };
    run.record.add(Event::Got, &id, &format!("{MACHINE} {got}"));
    let lines = run.record.lines();
    let answered = lines
        .iter()
        .any(|l| l.event == Event::Answered && l.id == id);
    (answered, got)
}
