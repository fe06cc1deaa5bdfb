//! The store turns away the two entry VMs of one failure domain, and serves the third entry VM of their
//! region. Meanwhile servers leave whose entries the platform removes without `draining`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::kit::{
    Caller, Deployment, Record, SERVES, Server, Store, TURNS_AWAY, Zone, now, sleep, sleep_until,
};

/// `drain-s` of the settings.
const DRAIN_S: f64 = 2.5;
/// Time for which a leaving server goes on serving after its entry was removed.
const SERVES_ON_S: f64 = 5.0;
const CYCLES: usize = 5;
/// Time from one cycle to the next, and for which the store turns entry VMs away in it.
const CYCLE_S: f64 = 14.0;
const TURNED_AWAY_S: f64 = 8.0;
/// Time that a server works on a request: 270 ms, and 0.7 less if it knows the object.
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

/// Zones of the servers that stay; with three that leave, the service has 12.
const STAYING: [&str; 9] = [
    "linz-sued",
    "linz-sued",
    "linz-sued",
    "linz-nord",
    "bregenz-ost",
    "bregenz-west",
    "bregenz-west",
    "klagenfurt-a",
    "klagenfurt-b",
];

pub fn run(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let net = [
        (std::process::id() % 100 + 20) as u8,
        (std::process::id() / 100 % 200 + 20) as u8,
    ];
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
    // The store stands in `kaernten`; one way, 55 ms between regions and 1.4 ms between zones.
    let delay = |region: &str| if region == "kaernten" { 0.0014 } else { 0.055 };
    let deployment = Deployment::start(&ZONES, &store, net, delay);
    if !deployment.wait_ready(10.0) {
        record.line("the entry VMs did not become ready");
        return None;
    }
    record.line("all entry VMs are ready");
    sleep(4.5);
    let stop = Arc::new(AtomicBool::new(false));
    let connected = deployment.gateway("linz-sued-1");
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (address, stop, record) = (connected.frontend(), stop.clone(), record.clone());
            thread::spawn(move || {
                let mut caller = Caller::new(address);
                let mut counts = [0u32; 2];
                while !stop.load(Ordering::Relaxed) {
                    let o = caller.send("POST", HOST, PATH, 1.5);
                    counts[usize::from(o.status == 200)] += 1;
                    if o.status != 200 {
                        record.line(&format!(
                            "request {} sent at {:.4} was answered {}",
                            o.id, o.sent_at, o.status
                        ));
                        sleep(0.1);
                    }
                }
                counts
            })
        })
        .collect();
    let away = [
        deployment.gateway("linz-nord-1"),
        deployment.gateway("linz-nord-2"),
    ];
    let mut left: Vec<(Arc<Server>, f64)> = Vec::new();
    let first = now();
    for cycle in 0..CYCLES {
        let start = first + CYCLE_S * cycle as f64;
        sleep_until(start);
        let leaving: Vec<_> = (0..3)
            .map(|i| start_server(&format!("i-leaves{cycle}{i}"), "linz-sued"))
            .collect();
        sleep_until(start + 3.0);
        if trouble {
            away.iter()
                .for_each(|g| g.store.mode.store(TURNS_AWAY, Ordering::Relaxed));
            record.line("the store turns away frontend-linz-nord-1 and frontend-linz-nord-2");
        }
        sleep_until(start + 6.0);
        for server in leaving {
            let at = store.put("servers", &server.id, None);
            record.line(&format!(
                "the store has removed the entry of {} at {at:.4}",
                server.id
            ));
            left.push((server, at));
            sleep(0.02);
        }
        sleep_until(start + 3.0 + TURNED_AWAY_S);
        if trouble {
            away.iter()
                .for_each(|g| g.store.mode.store(SERVES, Ordering::Relaxed));
            record.line("the store serves all entry VMs");
        }
        sleep_until(start + 6.0 + SERVES_ON_S + 0.1);
        left.iter().for_each(|(server, _)| server.end());
    }
    stop.store(true, Ordering::Relaxed);
    let counts = callers.into_iter().filter_map(|c| c.join().ok());
    let [failed, answered] = counts.fold([0, 0], |[a, b], [c, d]| [a + c, b + d]);
    record.line(&format!(
        "{answered} requests were answered with 200, {failed} were not"
    ));
    for line in deployment.log_lines(connected, "i-leaves") {
        if line.contains("server_lapsed") || line.contains("server_gone") {
            record.line(&format!("log of {}: {line}", connected.name));
        }
    }
    let mut broken = 0;
    for (server, removed_at) in &left {
        let arrivals = server.arrivals.lock().unwrap();
        let last = arrivals
            .iter()
            .map(|a| a.at - removed_at)
            .fold(f64::MIN, f64::max);
        let late = arrivals
            .iter()
            .filter(|a| a.at > removed_at + DRAIN_S)
            .count();
        record.line(&format!(
            "{}: {} requests, the last {last:.3} s after the store removed its entry, {late} later than {DRAIN_S} s",
            server.id,
            arrivals.len()
        ));
        broken += late;
        for a in arrivals.iter().filter(|a| a.at > removed_at + DRAIN_S) {
            record.line(&format!(
                "DRAIN: request {} reached {} {:.3} s after its removal",
                a.id,
                server.id,
                a.at - removed_at
            ));
        }
    }
    if answered < 1000 {
        record.line("too few requests were answered");
        return None;
    }
    Some(broken > 0)
}
