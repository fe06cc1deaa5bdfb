//! A deployment on loopback addresses: the gateway as separate processes, with the command of the
//! deploy file, and clients.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::{Event, Record};
use crate::store::{Link, Store};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/rosemaryglade-gateway";
pub const HOST: &str = "orders.example";
/// Time that machines have before traffic starts.
pub const LEAD: Duration = Duration::from_secs(8);

/// Zones and their regions.
pub const ZONES: [(&str, &str); 6] = [
    ("linz-nord", "donau"),
    ("linz-sued", "donau"),
    ("bregenz-ost", "alpen"),
    ("bregenz-west", "alpen"),
    ("klagenfurt-a", "kaernten"),
    ("klagenfurt-b", "kaernten"),
];

pub fn region(zone: &str) -> &'static str {
    ZONES
        .iter()
        .find(|(z, _)| *z == zone)
        .map_or("", |(_, r)| r)
}

/// One way between a zone and the store, which stands in `donau`.
pub fn delay(zone: &str) -> Duration {
    Duration::from_millis(if region(zone) == "donau" { 1 } else { 55 })
}

/// A machine and its process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub link: Link,
    settings: PathBuf,
    process: Option<Child>,
}

impl Machine {
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8641)
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8640)
    }

    /// Starts the process, with its output in a file beside the settings.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("ROSEMARYGLADE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        self.process = Some(process.expect("the gateway, built as the deploy file says"));
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(300);
        let ask = || {
            let mut connection = Connection::open(self.readiness(), limit).ok()?;
            let request =
                "GET /rosemaryglade/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            connection.write(request.as_bytes()).ok()?;
            connection.read(Some(Instant::now() + limit)).ok()?
        };
        ask().is_some_and(|answer| answer.status() == 200)
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    pub fn has_ended(&mut self) -> bool {
        self.process
            .as_mut()
            .is_none_or(|p| !matches!(p.try_wait(), Ok(None)))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

pub struct Deployment {
    pub store: Store,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts a machine in each of `zones`, named after its zone, and waits until all are ready.
    pub fn start(zones: &[&str], store: &Store, record: &Record) -> Option<Deployment> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let ips = free_addresses(zones.len())?;
        let mut deployment = Deployment {
            store: store.clone(),
            machines: Vec::new(),
            folder,
        };
        for (i, zone) in zones.iter().enumerate() {
            let number = zones[..=i].iter().filter(|z| *z == zone).count();
            let name = format!("frontend-{zone}-{number}");
            let link = store.link(delay(zone));
            let settings = deployment.folder.join(&name);
            std::fs::write(
                &settings,
                settings_file(&name, zone, ips[i], &ips, link.address),
            )
            .ok()?;
            let (zone, ip) = (zone.to_string(), ips[i]);
            deployment.machines.push(Machine {
                name,
                zone,
                ip,
                link,
                settings,
                process: None,
            });
        }
        let started = Instant::now();
        for machine in &mut deployment.machines {
            machine.start();
        }
        record.step("machines started");
        thread::sleep(LEAD);
        while !deployment.machines.iter().all(Machine::is_ready) {
            if started.elapsed() > LEAD * 3 {
                record.step("not all machines are ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.step("all machines are ready");
        Some(deployment)
    }

    pub fn machine(&mut self, name: &str) -> &mut Machine {
        self.machines
            .iter_mut()
            .find(|m| m.name == name)
            .expect("a machine of this name")
    }

    /// Names of the machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        self.machines
            .iter_mut()
            .filter_map(|m| m.has_ended().then(|| m.name.clone()))
            .collect()
    }

    /// Keeps the logs if `REVIEW_LOGS` names a folder.
    fn keep_logs(&self) {
        let Some(to) = std::env::var_os("REVIEW_LOGS") else {
            return;
        };
        for m in &self.machines {
            let log = m.settings.with_extension("log");
            let _ = std::fs::copy(log, Path::new(&to).join(format!("{}.log", m.name)));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(|m| {
            if let Some(p) = &mut m.process {
                let _ = p.kill();
                let _ = p.wait();
            }
        });
        self.keep_logs();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Loopback addresses on which the ports of a machine are free.
fn free_addresses(count: usize) -> Option<Vec<Ipv4Addr>> {
    let block = (std::process::id() % 200 + 20) as u8;
    let mut found = Vec::new();
    for host in 1..=250u8 {
        let ip = Ipv4Addr::new(127, 77, block, host);
        let free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        if [8640, 8641, 8644, 8649, 7620, 7621, 9464]
            .into_iter()
            .all(free)
        {
            found.push(ip);
        }
        if found.len() == count {
            return Some(found);
        }
    }
    None
}

fn settings_file(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    all: &[Ipv4Addr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = all.iter().take(3).map(|ip| format!("{ip}:8649")).collect();
    let zones: String = ZONES
        .iter()
        .map(|(z, r)| format!("network.zones.{z}={r}\n"))
        .collect();
    format!(
        "self.node-name={name}\nself.role=gateway\nself.machine-class=frontend\n\
         self.serves=frontend,directory,control\nself.ip-address={ip}\nself.zone={zone}\n\
         self.region={}\nself.counted-in-tolerance=false\nself.bootstrap=true\n\
         self.limits.cpu-share=0.2\nself.limits.cpu-cores=1\nself.limits.memory-mb=260\n\
         self.limits.file-descriptors=4100\nself.limits.link-mbps=1000.0\nself.limits.disk-mb=0\n\
         network.listen-addresses.frontend={ip}:8641\nnetwork.listen-addresses.readiness={ip}:8640\n\
         network.listen-addresses.control={ip}:8649\nnetwork.listen-addresses.directory={ip}:8644\n\
         network.internal-port-range=7620,7635\nnetwork.seeds={}\n{zones}\
         platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat-interval-s=1.5\n\
         platform.platform.address={store}\nplatform.platform.form=table\n\
         platform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n\
         platform.platform.history-s=20\n\
         terms.contracts=base,drain,config,cost,retry,recover,places,platform\n\
         terms.tolerated-losses.machines=1\nterms.tolerated-losses.zones=1\n\
         terms.tolerated-losses.regions=1\nterms.bounds.stability-window-s=4\n\
         terms.bounds.acknowledge-s=5\nterms.bounds.drain-s=2.5\nterms.bounds.grace-period-s=6\n\
         terms.bounds.loss-slack-s=0.2\nterms.bounds.configuration-apply-s=2.5\n\
         terms.bounds.rollback-slack-s=0.25\nterms.bounds.max-stretch-s=6\n\
         terms.bounds.retry-budget-ratio=0.2\nterms.bounds.budget-window-s=10\n\
         terms.bounds.retry-budget-slack=56\nterms.bounds.cold-overshoot=1.5\n\
         terms.bounds.cold-slack=5\nterms.bounds.evacuation-s=5\nterms.bounds.recovery-s=15\n\
         terms.bounds.ttl_max_s=5\nterms.bounds.maximum-shift=0.15\n",
        region(zone),
        seeds.join(","),
    )
}

/// A service and its route for the configuration.
pub struct Route {
    pub service: &'static str,
    pub prefix: &'static str,
    pub binding: bool,
    pub timeout_s: f64,
    pub target_s: f64,
}

/// Configuration with one route for each service.
pub fn configuration(version: u32, routes: &[Route]) -> String {
    let services: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"health-check-path\":\"/health\",\"connection-limit\":330,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":12.0}}",
                r.service
            )
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"r-{}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout-s\":{},\
                 \"target-latency-s\":{},\"priority\":{},\"service\":\"{}\",\"max-attempts\":2,\
                 \"sticky-sessions\":false,\"home-regions\":[]}}",
                r.service,
                r.prefix,
                if r.binding {
                    "non_idempotent"
                } else {
                    "idempotent"
                },
                r.timeout_s,
                r.target_s,
                if r.binding { 1 } else { 2 },
                r.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\
         \"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

/// A client that sends requests at a rate, each on a connection of its own.
pub struct Load {
    stop: Arc<AtomicBool>,
    sender: JoinHandle<()>,
}

/// Numbers the requests of the run.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Load {
    /// Sends to the machine at `to`, whose name stands in the record.
    pub fn start(
        name: &str,
        to: SocketAddr,
        method: &'static str,
        path: &'static str,
        deadline: Duration,
        per_s: f64,
        record: &Record,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, name, record) = (stop.clone(), name.to_owned(), record.clone());
        let sender = thread::spawn(move || {
            let gap = Duration::from_secs_f64(1.0 / per_s);
            let mut next = Instant::now();
            while !stopped.load(Ordering::Relaxed) {
                let (name, record) = (name.clone(), record.clone());
                thread::spawn(move || send(&name, to, method, path, deadline, &record));
                next += gap;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Load { stop, sender }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.sender.join();
    }
}

fn send(name: &str, to: SocketAddr, method: &str, path: &str, deadline: Duration, record: &Record) {
    let id = next_id();
    let until = Instant::now() + deadline;
    let Ok(mut connection) = Connection::open(to, Duration::from_secs(1)) else {
        return record.add(Event::Got, &id, &format!("{name} no connection"));
    };
    let body = if method == "POST" { "order" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    record.add(Event::Sent, &id, &format!("{name} {method} {path}"));
    if connection.write(request.as_bytes()).is_err() {
        return record.add(Event::Got, &id, &format!("{name} closed"));
    }
    match connection.read(Some(until)) {
        Ok(Some(answer)) => record.add(Event::Got, &id, &format!("{name} {}", answer.status())),
        Ok(None) => record.add(Event::Got, &id, &format!("{name} closed")),
        Err(e) => record.add(Event::Got, &id, &format!("{name} {:?}", e.kind())),
    }
}
