//! A server leaves without `draining`, and a heartbeat that it sent before is performed late. Meanwhile an
//! entry VM is restarted, as planned work, or the store is down for a moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::kit::{Caller, Deployment, Record, Server, Store, Zone, now, sleep, sleep_until};

/// `drain-s` and `stability-window-s` of the settings.
const DRAIN_S: f64 = 2.5;
const STABILITY_WINDOW_S: f64 = 4.0;
const CYCLE_S: f64 = 24.0;
/// From the beginning of a cycle to the removal of the server's entry.
const REMOVED_S: f64 = 10.0;
/// When the entry VM is started again, one cycle each, from the removal on.
const STARTED_S: [f64; 3] = [0.4, 1.1, 1.8];
/// SIGTERM comes so long before the start; the process ends within 4.0 s.
const RESTART_S: f64 = 4.2;
/// The other times of a cycle, from the removal on.
const HEARTBEAT_S: f64 = -4.1;
const DOWN_S: f64 = 0.2;
const UP_S: f64 = 1.5;
const PERFORMED_S: f64 = 1.7;
/// Three heartbeat intervals of silence after the heartbeat was performed.
const REMOVED_AGAIN_S: f64 = 6.2;
/// Requests that arrive so soon after the entry VM is in touch may have been received before.
const MARGIN_S: f64 = 0.05;
const WORK_S: f64 = 0.08;
const CALLERS: usize = 28;
const HOST: &str = "hulo84.example";
const PATH: &str = "/puka111/2f";

const CONFIGURATION: &str = r#"{"version":"r7","services":[{"name":"wuno96b","health-check-path":"/health","connection-limit":330,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":12.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"hosts":[{"host":"hulo84.example","paths":[{"name":"r-dnn2ctn","prefix":"/puka111/","kind":"non_idempotent","timeout-s":1.5,"target-latency-s":0.3,"priority":1,"service":"wuno96b","max-attempts":2,"sticky-sessions":false,"home-regions":[]}]}]}"#;

const ZONES: [Zone; 6] = [
    Zone {
        name: "linz-nord",
        region: "donau",
        machines: 2,
    },
    Zone {
        name: "bregenz-ost",
        region: "alpen",
        machines: 2,
    },
    Zone {
        name: "klagenfurt-a",
        region: "kaernten",
        machines: 1,
    },
    Zone {
        name: "linz-sued",
        region: "donau",
        machines: 1,
    },
    Zone {
        name: "bregenz-west",
        region: "alpen",
        machines: 1,
    },
    Zone {
        name: "klagenfurt-b",
        region: "kaernten",
        machines: 1,
    },
];

/// Zones of the servers that stay; with the one that leaves, the service has 12.
const STAYING: [&str; 11] = [
    "linz-nord",
    "bregenz-ost",
    "bregenz-ost",
    "klagenfurt-a",
    "klagenfurt-a",
    "linz-sued",
    "bregenz-west",
    "bregenz-west",
    "klagenfurt-b",
    "klagenfurt-b",
    "klagenfurt-b",
];

/// What happens beside the late heartbeat.
#[derive(Clone, Copy, PartialEq)]
pub enum Meanwhile {
    Restart,
    Outage,
}

pub fn run(record: &Arc<Record>, trouble: bool, meanwhile: Meanwhile) -> Option<bool> {
    let pid = std::process::id();
    let net = [(pid % 100 + 20) as u8, (pid / 100 % 200 + 20) as u8];
    let store = Arc::new(Store::default());
    store.put("op", "config", Some(CONFIGURATION));
    let ip = std::net::Ipv4Addr::new(127, net[0], net[1], 200);
    let start_server = |id: &str, zone: &str| {
        let server = Server::start(id, "wuno96b", zone, ip, 3, WORK_S);
        store.put("servers", id, Some(&server.row("ready", 1)));
        server
    };
    for (i, zone) in STAYING.iter().enumerate() {
        start_server(&format!("i-stay{i}"), zone);
    }
    // The store stands in `donau`; one way, 55 ms between regions and 1.4 ms between zones.
    let delay = |region: &str| if region == "donau" { 0.0014 } else { 0.055 };
    let deployment = Deployment::start(&ZONES, &store, net, delay);
    if !deployment.wait_ready(10.0) {
        record.line("the entry VMs did not become ready");
        return None;
    }
    record.line("all entry VMs are ready");
    let restarted = deployment.gateway("klagenfurt-a-1");
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (address, stop) = (restarted.frontend(), stop.clone());
            thread::spawn(move || {
                let mut caller = Caller::new(address);
                let mut answered = 0;
                while !stop.load(Ordering::Relaxed) {
                    if caller.send("POST", HOST, PATH, 1.5).status == 200 {
                        answered += 1;
                    } else {
                        sleep(0.1);
                    }
                }
                answered
            })
        })
        .collect();
    let mut left: Vec<(Arc<Server>, f64, f64)> = Vec::new();
    let first = now();
    for (cycle, started) in STARTED_S.iter().enumerate() {
        let removal = first + CYCLE_S * cycle as f64 + REMOVED_S;
        let server = start_server(&format!("i-leaves{cycle}"), "klagenfurt-a");
        sleep_until(removal + HEARTBEAT_S);
        if trouble {
            record.line(&format!(
                "a heartbeat of {} gets no answer and is not performed yet",
                server.id
            ));
        }
        let start_at = removal + started;
        let restart = || {
            if meanwhile != Meanwhile::Restart {
                return 0.0;
            }
            sleep_until(start_at - RESTART_S);
            record.line(&format!("SIGTERM for {}", restarted.name));
            restarted.terminate();
            record.line(&format!("{} has ended", restarted.name));
            sleep_until(start_at);
            let started_at = restarted.restart();
            record.line(&format!("{} was started", restarted.name));
            started_at
        };
        let mut removed_at = 0.0;
        let started_at = thread::scope(|scope| {
            let restart = scope.spawn(restart);
            sleep_until(removal);
            removed_at = store.put("servers", &server.id, None);
            record.line(&format!("the store has removed the entry of {}", server.id));
            if trouble && meanwhile == Meanwhile::Outage {
                sleep_until(removal + DOWN_S);
                store.set_down();
                record.line("the store is down");
                sleep_until(removal + UP_S);
                store.set_up();
                record.line("the store is back");
            }
            if trouble {
                sleep_until(removal + PERFORMED_S);
                store.put("servers", &server.id, Some(&server.row("ready", 7)));
                record.line(&format!(
                    "the store has performed the heartbeat of {}",
                    server.id
                ));
                sleep_until(removal + REMOVED_AGAIN_S);
                store.put("servers", &server.id, None);
                record.line(&format!(
                    "the store has removed the entry of {} again",
                    server.id
                ));
            }
            restart.join()
        })
        .ok()?;
        left.push((server, removed_at, started_at));
        sleep_until(removal + CYCLE_S - REMOVED_S);
    }
    stop.store(true, Ordering::Relaxed);
    let answered: u32 = callers.into_iter().filter_map(|c| c.join().ok()).sum();
    record.line(&format!("{answered} requests were answered with 200"));
    let mut broken = 0;
    for (server, removed_at, started_at) in &left {
        // Also the store has been without disruption for the window then: it performed the heartbeat.
        let performed_at = removed_at + PERFORMED_S;
        let counted_from = started_at.max(performed_at) + STABILITY_WINDOW_S + MARGIN_S;
        let arrivals = server.arrivals.lock().unwrap();
        for a in arrivals.iter().filter(|a| a.at > removed_at + DRAIN_S) {
            let counts = a.at > counted_from;
            broken += usize::from(counts);
            let note = if counts { "DRAIN" } else { "not counted" };
            record.line(&format!(
                "{note}: request {} reached {} {:.3} s after its removal",
                a.id,
                server.id,
                a.at - removed_at
            ));
        }
    }
    record.line(&format!("DRAIN: {broken} requests of an entry VM in touch reached a server later than {DRAIN_S} s after its removal"));
    if answered < 1000 {
        record.line("too few requests were answered");
        return None;
    }
    Some(broken > 0)
}
