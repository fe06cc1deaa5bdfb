//! Callers leave right after they have sent a binding request. All slots are in use; the server that
//! has free ones first, one of eight, sheds some of what it is sent.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use crate::kit::{
    Caller, Deployment, Record, Server, Store, Zone, next_id, now, sleep, sleep_until,
};

/// Time after which a request must no longer reach a server once its caller has left.
const LIMIT_S: f64 = 0.5;
/// More than a few requests.
const FEW: usize = 3;
const ROUNDS: usize = 14;
const ROUND_S: f64 = 4.5;
const HOST: &str = "hulo84.example";
const PATH: &str = "/puka111/2f";

const CONFIGURATION: &str = r#"{"version":"r7","services":[{"name":"wuno96b","health-check-path":"/health","connection-limit":390,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":3.1}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"hosts":[{"host":"hulo84.example","paths":[{"name":"r-dnn2ctn","prefix":"/puka111/","kind":"non_idempotent","timeout-s":3.0,"target-latency-s":0.5,"priority":1,"service":"wuno96b","max-attempts":2,"sticky-sessions":false,"home-regions":[]}]}]}"#;

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
    let start_server = |id: &str, work: f64| {
        let server = Server::start(id, "wuno96b", "irbid-a", ip, 3, work);
        store.put("servers", id, Some(&server.row("ready", 1)));
        server
    };
    let quick = start_server("i-quick", 0.4);
    let others: Vec<_> = (0..7)
        .map(|i| start_server(&format!("i-{i}"), 0.65))
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
    let first = now();
    for round in 0..ROUNDS {
        let start = first + ROUND_S * round as f64;
        sleep_until(start);
        let send = || thread::spawn(move || Caller::new(address).send("POST", HOST, PATH, 3.0));
        // These fill all slots.
        let filling: Vec<_> = (0..24).map(|_| send()).collect();
        sleep_until(start + 0.05);
        quick.sheds.store(true, Ordering::Relaxed);
        let mut staying = Vec::new();
        for _ in 0..3 {
            if trouble {
                left.extend(send_and_leave(record, address));
            } else {
                staying.push(send());
            }
        }
        for caller in filling.into_iter().chain(staying) {
            answered += usize::from(caller.join().is_ok_and(|o| o.status == 200));
        }
        quick.sheds.store(false, Ordering::Relaxed);
        // Answers that show that the server is sound again.
        for _ in 0..3 {
            let sound: Vec<_> = (0..6).map(|_| send()).collect();
            answered += sound
                .into_iter()
                .filter_map(|c| c.join().ok())
                .filter(|o| o.status == 200)
                .count();
        }
    }
    record.line(&format!(
        "{answered} requests of callers that stayed were answered with 200"
    ));
    let mut late = 0;
    for server in others.iter().chain([&quick]) {
        for arrival in server.arrivals.lock().unwrap().iter() {
            let Some((id, at)) = left.iter().find(|(id, _)| *id == arrival.id) else {
                continue;
            };
            let after = arrival.at - at;
            let text = format!(
                "request {id} reached {} {after:.3} s after its caller had left",
                server.id
            );
            record.line(&text);
            late += usize::from(after > LIMIT_S);
        }
    }
    record.line(&format!(
        "GONE: {late} requests reached a server over {LIMIT_S} s after their callers had left"
    ));
    if answered < 3 * ROUNDS {
        record.line("too few requests were answered");
        return None;
    }
    Some(late > FEW)
}

/// Sends a binding request and closes the connection; returns its id and when that was.
fn send_and_leave(record: &Record, address: std::net::SocketAddr) -> Option<(String, f64)> {
    let id = next_id();
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 3000\r\nContent-Length: 5\r\n\r\norder"
    );
    stream.write_all(request.as_bytes()).ok()?;
    sleep(0.02);
    drop(stream);
    let at = now();
    record.line(&format!("the caller of request {id} has left"));
    Some((id, at))
}
