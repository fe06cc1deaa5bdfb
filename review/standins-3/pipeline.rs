//! Callers send many idempotent requests with bodies on one connection and leave before the first one is
//! answered.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::kit::{Caller, Deployment, Record, Server, Store, Zone, next_id, now, sleep};

/// Time after which servers must not be at work any more once the caller has left.
const LIMIT_S: f64 = 0.5;
/// Share of the requests that would have lasted that long at which servers may be at work still.
const ALLOWED_SHARE: f64 = 0.25;
const ROUNDS: usize = 8;
/// Requests that a caller sends on its connection, and the length of their bodies.
const PIPELINED: usize = 16;
const BODY_BYTES: usize = 20_000;
const HOST: &str = "hulo84.example";
const PATH: &str = "/leny950/2f";

const CONFIGURATION: &str = r#"{"version":"r7","services":[{"name":"huvo11a","health-check-path":"/health","connection-limit":390,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":3.1}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"hosts":[{"host":"hulo84.example","paths":[{"name":"r-u3fexd9","prefix":"/leny950/","kind":"idempotent","timeout-s":10.0,"target-latency-s":1.2,"priority":2,"service":"huvo11a","max-attempts":1,"sticky-sessions":false,"home-regions":[]}]}]}"#;

const ZONES: [Zone; 3] = [
    Zone {
        name: "irbid-a",
        region: "irbid",
        machines: 1,
    },
    Zone {
        name: "mafraq-a",
        region: "mafraq",
        machines: 1,
    },
    Zone {
        name: "karak-a",
        region: "karak",
        machines: 1,
    },
];

pub fn run(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let pid = std::process::id();
    let net = [(pid % 100 + 20) as u8, (pid / 100 % 200 + 20) as u8];
    let store = Arc::new(Store::default());
    store.put("op", "config", Some(CONFIGURATION));
    let ip = std::net::Ipv4Addr::new(127, net[0], net[1], 200);
    let servers: Vec<_> = (0..4)
        .map(|i| {
            let server = Server::start(&format!("i-{i}"), "huvo11a", "irbid-a", ip, 3, 1.6);
            store.put("servers", &server.id, Some(&server.row("ready", 1)));
            server
        })
        .collect();
    let delay = |region: &str| if region == "irbid" { 0.0009 } else { 0.035 };
    let deployment = Deployment::start(&ZONES, &store, net, delay);
    if !deployment.wait_ready(10.0) {
        record.line("the entry VMs did not become ready");
        return None;
    }
    record.line("all entry VMs are ready");
    sleep(4.5);
    let address = deployment.gateway("irbid-a-1").frontend();
    let mut left: Vec<(String, f64)> = Vec::new();
    let mut answered = 0;
    for _ in 0..ROUNDS {
        if trouble {
            left.extend(send_and_leave(record, address, PIPELINED));
        }
        sleep(4.0);
        // One caller in five leaves.
        let stay = move || Caller::new(address).send("GET", HOST, PATH, 10.0).status;
        let staying: Vec<_> = (0..4).map(|_| thread::spawn(stay)).collect();
        answered += staying
            .into_iter()
            .filter_map(|c| c.join().ok())
            .filter(|status| *status == 200)
            .count();
    }
    record.line(&format!(
        "{answered} requests of callers that stayed were answered with 200"
    ));
    let (mut counted, mut at_work) = (0, 0);
    for server in &servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            let Some((id, left_at)) = left.iter().find(|(id, _)| *id == arrival.id) else {
                continue;
            };
            let ended = arrival.ended_at.unwrap_or(f64::MAX) - left_at;
            let text = format!(
                "{} worked on request {id} until {ended:.3} s after its caller had left",
                server.id
            );
            record.line(&text);
            counted += 1;
            at_work += usize::from(ended > LIMIT_S);
        }
    }
    record.line(&format!("GONE: at {at_work} of {counted} requests servers were at work {LIMIT_S} s after their callers had left"));
    if answered < 2 * ROUNDS {
        record.line("too few requests were answered");
        return None;
    }
    Some(at_work as f64 > counted as f64 * ALLOWED_SHARE)
}

/// Sends pipelined requests and closes the connection; returns their ids and when that was.
fn send_and_leave(record: &Record, address: SocketAddr, count: usize) -> Vec<(String, f64)> {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Vec::new();
    };
    let ids: Vec<String> = (0..count).map(|_| next_id()).collect();
    let body = "x".repeat(BODY_BYTES);
    for id in &ids {
        let request = format!(
            "PUT {PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 10000\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return Vec::new();
        }
    }
    sleep(0.2);
    drop(stream);
    let at = now();
    record.line(&format!(
        "a caller has left, with {count} requests on its connection"
    ));
    ids.into_iter().map(|id| (id, at)).collect()
}
