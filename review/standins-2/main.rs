//! Cases of the review that are scripts: `cases NAME RECORD`. `TROUBLE=0` leaves the disruption out.
//! Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cut;
mod deployment;
mod http;
mod json;
mod record;
mod server;
mod store;

mod held;
mod keep_alive;
mod lapsed;
mod late_beats;

use std::collections::BTreeMap;
use std::process::exit;
use std::thread;
use std::time::Duration;

use cut::Cut;
use deployment::{Deployment, Load, Route, configuration};
use record::{Event, Record};
use server::Server;
use store::Store;

/// Bounds of the settings.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const STABILITY_WINDOW: Duration = Duration::from_secs(4);
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

pub const ORDERS: Route = Route {
    service: "bestelldienst",
    prefix: "/orders/",
    binding: true,
    timeout_s: 1.5,
    target_s: 0.3,
};
pub const CATALOGUE: Route = Route {
    service: "werkdienst",
    prefix: "/works/",
    binding: false,
    timeout_s: 1.2,
    target_s: 0.3,
};

/// A run of a case.
#[derive(Clone)]
pub struct Run {
    pub record: Record,
    pub trouble: bool,
    pub store: Store,
    pub servers: Vec<Server>,
    pub cut: Cut,
}

impl Run {
    /// Starts a server and registers it; one that starts during traffic is cold at first.
    pub fn add_server(&mut self, service: &'static str, zone: &str, cold: bool) -> Server {
        let id = format!("i-{:04x}", self.servers.len() + 1);
        let work = Duration::from_millis(if service == ORDERS.service { 270 } else { 200 });
        let server = Server::start(&id, service, zone, 3, work, &self.cut, &self.record);
        let (store, beating) = (self.store.clone(), server.clone());
        store.put(
            "servers",
            &server.id,
            Some(&row(&server, 1, if cold { 3.0 } else { 0.0 })),
        );
        if cold {
            // The entry changes with each heartbeat while the server is cold.
            thread::spawn(move || {
                for (sequence, cold_s) in [(2, 1.5), (3, 0.0)] {
                    thread::sleep(HEARTBEAT);
                    if store.contains("servers", &beating.id) {
                        store.put(
                            "servers",
                            &beating.id,
                            Some(&row(&beating, sequence, cold_s)),
                        );
                    }
                }
            });
        }
        self.servers.push(server.clone());
        server
    }

    /// Removes the entry of a server that never reports `draining`; returns the time of the
    /// acknowledgement.
    pub fn leave(&self, server: &Server) -> Duration {
        self.store.put("servers", &server.id, None);
        self.record.step(&format!(
            "entry of {} ({}, {}) removed",
            server.id, server.service, server.zone
        ))
    }

    /// Removes the entry of a silent server at `at`, as the platform does.
    pub fn expire(&self, server: &Server, at: Duration) {
        let (run, server) = (self.clone(), server.clone());
        thread::spawn(move || {
            run.wait_until(at);
            run.leave(&server);
        });
    }

    pub fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.record.now()));
    }

    /// Starts the servers of a deployment: `alpen` has two of each service in each zone, the other
    /// regions have one.
    pub fn add_servers(&mut self) {
        for service in [ORDERS.service, CATALOGUE.service] {
            for (zone, region) in deployment::ZONES {
                for _ in 0..if region == "alpen" { 2 } else { 1 } {
                    self.add_server(service, zone, false);
                }
            }
        }
    }

    pub fn configure(&self) {
        self.store.put(
            "op",
            "config",
            Some(&configuration(3, &[ORDERS, CATALOGUE])),
        );
    }

    /// Starts traffic at a machine.
    pub fn load(
        &self,
        deployment: &mut Deployment,
        name: &str,
        orders: f64,
        works: f64,
    ) -> [Load; 2] {
        let to = deployment.machine(name).frontend();
        let start = |method, path, ms, per_s| {
            Load::start(
                name,
                to,
                method,
                path,
                Duration::from_millis(ms),
                per_s,
                &self.record,
            )
        };
        [
            start("POST", "/orders/1", 1500, orders),
            start("GET", "/works/1", 1200, works),
        ]
    }

    /// Requests that reached `server` after `from`, with the machine to which the client sent each.
    pub fn arrivals(&self, server: &Server, from: Duration) -> Vec<(String, Duration, String)> {
        let lines = self.record.lines();
        let sent: BTreeMap<&str, &str> = lines
            .iter()
            .filter(|l| l.event == Event::Sent)
            .map(|l| (&*l.id, l.what.split(' ').next().unwrap_or("")))
            .collect();
        let arrived = lines
            .iter()
            .filter(|l| l.event == Event::Arrived && l.what == server.id);
        arrived
            .filter(|l| l.at > from)
            .map(|l| {
                (
                    l.id.clone(),
                    l.at,
                    sent.get(&*l.id).unwrap_or(&"").to_string(),
                )
            })
            .collect()
    }

    /// Prints how the orders and look-ups ended, by answer.
    pub fn summary(&self) {
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for line in self.record.lines().iter().filter(|l| l.event == Event::Got) {
            let end = line.what.split_once(' ').map_or("", |(_, e)| e);
            *ends.entry(end.to_owned()).or_default() += 1;
        }
        println!("answers: {ends:?}");
    }
}

fn row(server: &Server, sequence: u32, cold_s: f64) -> String {
    let row = server.row("ready", sequence);
    row.replace(
        "\"cold-remaining-s\":0",
        &format!("\"cold-remaining-s\":{cold_s}"),
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("use: cases NAME RECORD");
        exit(2);
    };
    let mut run = Run {
        record: Record::new(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        store: Store::new(),
        servers: Vec::new(),
        cut: Cut::default(),
    };
    let broken = match &**case {
        "lapsed" => lapsed::run(&mut run),
        "two-late-beats" => late_beats::two(&mut run),
        "late-beat-and-outage" => late_beats::with_outage(&mut run),
        "held" => held::run(&mut run),
        "keep-alive" => keep_alive::run(&mut run),
        _ => None,
    };
    run.summary();
    run.record.write(path);
    exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
