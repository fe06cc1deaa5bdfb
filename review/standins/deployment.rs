//! A small deployment: the gateways as child processes, the store, the servers and the operator's
//! configuration.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;
use crate::server::{Runs, SLOTS, Server};
use crate::store::Store;

/// The command of `deploy/system.toml`.
const GATEWAY: &str = "target/release/rosemaryglade-gateway";
pub const REGION: &str = "donau";
pub const ZONES: [&str; 2] = ["linz-nord", "linz-sued"];
pub const GRACE_S: f64 = 6.0;
pub const MEMORY_MB: u64 = 260;
const SERVERS_PER_ZONE: usize = 2;

pub struct Gateway {
    pub ip: String,
    pub zone: &'static str,
    name: String,
    folder: PathBuf,
    pub child: Child,
    starts: u32,
}

pub struct Deployment {
    pub gateways: Vec<Gateway>,
    pub runs: Runs,
    pub record: Record,
    pub store: Store,
    pub servers: Vec<(Server, &'static str, &'static str)>,
    folder: PathBuf,
}

/// A route of the configuration: prefix, service, kind and time-out in seconds.
pub type Route = (&'static str, &'static str, &'static str, f64);

impl Deployment {
    /// Starts two gateways, one in each zone, with the servers of each route's service, and waits until
    /// they are ready.
    pub fn start(routes: &[Route], record: &Record) -> Self {
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{number}"));
        std::fs::create_dir_all(&folder).expect("create folder");
        let store = Store::start();
        let runs = Runs::default();
        let mut servers = Vec::new();
        for (_, service, _, _) in routes {
            for zone in ZONES {
                for i in 0..SERVERS_PER_ZONE {
                    let server = Server::start(
                        &format!("{service}-{zone}-{i}"),
                        runs.clone(),
                        record.clone(),
                    );
                    store.beat(&server.id, &server_row(&server, service, zone, "ready", 1));
                    servers.push((server, *service, zone));
                }
            }
        }
        store.put("op", "config", &configuration(7, routes));
        let subnet = format!("127.{}.{}", 64 + number / 200 % 128, 1 + number % 200);
        let gateways = ZONES.iter().enumerate().map(|(i, zone)| {
            let ip = format!("{subnet}.{}", i + 1);
            Gateway::start(ip, zone, &subnet, &store, &folder, record)
        });
        let gateways = gateways.collect();
        let deployment = Deployment {
            gateways,
            runs,
            record: record.clone(),
            store,
            servers,
            folder,
        };
        for gateway in &deployment.gateways {
            gateway.wait_until_ready();
        }
        // Machines start before the traffic.
        thread::sleep(Duration::from_secs(2));
        record.line(&format!("ready store={}", deployment.store.address));
        deployment
    }

    /// Returns the address that the directory names for callers of a zone.
    pub fn look_up(&self, zone: &str) -> SocketAddr {
        let own = self.gateways.iter().find(|g| g.zone == zone).expect("zone");
        let addresses = client::look_up(own.address(8644), REGION, zone);
        self.record
            .line(&format!("look_up zone={zone} addresses={addresses:?}"));
        *addresses.first().expect("the directory names no entry VM")
    }
}

/// Entry of a server in the platform's store.
pub fn server_row(
    server: &Server,
    service: &str,
    zone: &str,
    state: &str,
    sequence: u64,
) -> String {
    const BORN: u64 = 1_780_000_000_000;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{SLOTS},\"state\":\"{state}\",\"cold-remaining-s\":0,\"born\":{BORN},\
         \"sequence\":{sequence}}}",
        server.address
    )
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Gateway {
    fn start(
        ip: String,
        zone: &'static str,
        subnet: &str,
        store: &Store,
        folder: &PathBuf,
        record: &Record,
    ) -> Self {
        let name = format!("frontend-{zone}-1");
        let text = format!(
            "self.node-name={name}\nself.role=gateway\nself.machine-class=frontend\n\
             self.serves=frontend,directory,control\nself.ip-address={ip}\nself.zone={zone}\n\
             self.region={REGION}\nself.bootstrap=true\nself.limits.cpu-share=0.2\n\
             self.limits.cpu-cores=1\nself.limits.memory-mb={MEMORY_MB}\n\
             self.limits.file-descriptors=4100\nself.limits.link-mbps=1000.0\nself.limits.disk-mb=0\n\
             network.listen-addresses.frontend={ip}:8641\nnetwork.listen-addresses.readiness={ip}:8640\n\
             network.listen-addresses.control={ip}:8649\nnetwork.listen-addresses.directory={ip}:8644\n\
             network.internal-port-range=7620,7635\nnetwork.seeds={subnet}.1:8649,{subnet}.2:8649\n\
             network.zones.{}={REGION}\nnetwork.zones.{}={REGION}\n\
             platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat-interval-s=1.5\n\
             platform.platform.address={}\nplatform.platform.form=table\n\
             terms.bounds.stability-window-s=4\nterms.bounds.drain-s=2.5\n\
             terms.bounds.grace-period-s={GRACE_S}\nterms.bounds.loss-slack-s=0.2\n\
             terms.bounds.configuration-apply-s=2.5\nterms.bounds.retry-budget-ratio=0.2\n\
             terms.bounds.budget-window-s=10\nterms.bounds.retry-budget-slack=56\n\
             terms.bounds.ttl_max_s=5\nterms.bounds.maximum-shift=0.15\n",
            ZONES[0], ZONES[1], store.address
        );
        std::fs::write(folder.join(format!("{name}.conf")), text).expect("write settings");
        let child = spawn(&name, folder, 1);
        record.line(&format!("started {name} ip={ip} pid={}", child.id()));
        Gateway {
            ip,
            zone,
            name,
            folder: folder.clone(),
            child,
            starts: 1,
        }
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self, record: &Record) {
        self.kill();
        self.starts += 1;
        self.child = spawn(&self.name, &self.folder, self.starts);
        record.line(&format!("restarted {} pid={}", self.name, self.child.id()));
        self.wait_until_ready();
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    pub fn wait_until_ready(&self) {
        let limit = Instant::now() + Duration::from_secs(10);
        loop {
            let answer = client::call(self.address(8640), "/rosemaryglade/readiness");
            if answer.is_some_and(|a| a.second() == "200") {
                return;
            }
            assert!(Instant::now() < limit, "{} is not ready", self.name);
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self, record: &Record) {
        record.line(&format!("SIGTERM {}", self.name));
        let command = format!("kill -TERM {}", self.child.id());
        let sent = Command::new("/bin/sh").args(["-c", &command]).status();
        assert!(sent.is_ok_and(|s| s.success()), "cannot send SIGTERM");
    }

    /// Waits for the end of the process, and kills it after the grace period; returns the seconds.
    pub fn wait_for_exit(&mut self, record: &Record) -> f64 {
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                let after = start.elapsed().as_secs_f64();
                record.line(&format!("exited {} after_s={after:.3} {status}", self.name));
                return after;
            }
            if start.elapsed().as_secs_f64() > GRACE_S {
                record.line(&format!("SIGKILL {} after the grace period", self.name));
                self.kill();
                return GRACE_S;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Resident memory in MB; `None` if the process has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(name: &str, folder: &PathBuf, start: u32) -> Child {
    let log = File::create(folder.join(format!("{name}-{start}.log"))).expect("create log");
    Command::new(GATEWAY)
        .env(
            "ROSEMARYGLADE_SETTINGS",
            folder.join(format!("{name}.conf")),
        )
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .expect("start the gateway; build it as in deploy/system.toml")
}

/// The operator's configuration; the limits are those of the example in the platform's pages.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let services: Vec<String> = routes
        .iter()
        .map(|(_, name, _, _)| {
            format!(
                "{{\"name\":\"{name}\",\"health-check-path\":\"/health\",\"connection-limit\":330,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":12.0}}"
            )
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|(prefix, name, kind, timeout)| {
            format!(
                "{{\"name\":\"r-{prefix}\",\"prefix\":\"/{prefix}/\",\"kind\":\"{kind}\",\"timeout-s\":{timeout},\
                 \"target-latency-s\":0.8,\"priority\":1,\"service\":\"{name}\",\"max-attempts\":2,\
                 \"sticky-sessions\":false,\"home-regions\":[]}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\
         \"hosts\":[{{\"host\":\"{}\",\"paths\":[{}]}}]}}",
        services.join(","),
        client::HOST,
        paths.join(",")
    )
}
