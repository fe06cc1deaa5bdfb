//! Runs processes of the daemon `rosemaryglade-entry` on loopback, with stand-ins for the platform
//! and the backend servers in this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use std::{fs, io};

use async_channel::Sender;
use config::{Configuration, EntryVm, EntryVmId, KeySettings, Settings};
use platform::{Client, ClientSettings};
use standins::platform::{Platform, PlatformSettings, VmState, serve_platform};
use standins::server::{Server, ServerSettings, serve_server};

use super::forwarder::{self, TrafficCounts};

/// Time-out of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of [`wait_for`].
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Number from which the address of the next daemon is formed.
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Traffic of the daemons of a fleet, by the other end of the connection.
#[derive(Default)]
pub struct Traffic {
    /// Between entry VMs.
    pub peers: Arc<TrafficCounts>,
    /// Between entry VMs and the platform.
    pub platform: Arc<TrafficCounts>,
    /// Between entry VMs and backend servers.
    pub servers: Arc<TrafficCounts>,
}

/// Daemons with their stand-ins; the daemons are killed on drop.
pub struct Fleet {
    /// Configuration in force, with the addresses of the forwarders.
    pub configuration: Configuration,
    pub platform: Platform,
    /// Traffic of all daemons.
    pub traffic: Traffic,
    /// Settings of each entry VM that can be started, with its listen addresses.
    settings: BTreeMap<EntryVmId, Settings>,
    daemons: BTreeMap<EntryVmId, Child>,
    /// Directory of the settings files.
    dir: PathBuf,
    /// Stop the stand-ins when dropped.
    _stop_senders: Vec<Sender<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let ids: Vec<_> = self.daemons.keys().cloned().collect();
        for id in ids {
            self.kill(&id);
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts the stand-ins and applies the configuration. The entry VMs that `is_started` selects,
    /// and all servers if `with_servers` is set, get loopback addresses that can be connected to.
    ///
    /// All other entry VMs and servers get loopback addresses that refuse connections.
    pub async fn new(
        name: &str,
        mut configuration: Configuration,
        is_started: impl Fn(&EntryVm) -> bool,
        with_servers: bool,
    ) -> io::Result<Fleet> {
        let traffic = Traffic::default();
        let mut stop_senders = Vec::new();
        let platform = Platform::new(PlatformSettings::default());
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_platform(listener, platform.clone(), rx)).detach();
        stop_senders.push(tx);
        let platform_address = forwarder::start(direct, traffic.platform.clone()).await?;
        assign_closed_addresses(&mut configuration);
        if with_servers {
            start_servers(&mut configuration, &traffic, &mut stop_senders).await?;
        }
        let mut settings = BTreeMap::new();
        for vm in &mut configuration.inventory.entry_vms {
            if is_started(vm) {
                let vm_settings = daemon_settings(vm, platform_address);
                vm.caller_address = vm_settings.caller_address;
                vm.operator_address = vm_settings.operator_address;
                vm.peer_address =
                    forwarder::start(vm_settings.peer_address, traffic.peers.clone()).await?;
                settings.insert(vm.id.clone(), vm_settings);
            }
        }
        let seeds: Vec<SocketAddr> = configuration
            .inventory
            .entry_vms
            .iter()
            .map(|v| v.peer_address)
            .take(3)
            .collect();
        for vm_settings in settings.values_mut() {
            vm_settings.seeds.clone_from(&seeds);
        }
        let client = Client::new(ClientSettings {
            addresses: vec![direct],
            ..ClientSettings::default()
        });
        let bytes = config::encode(&configuration);
        platform::apply(&client, 0, &bytes, "capacity", &mut fastrand::Rng::new())
            .await
            .map_err(|e| io::Error::other(format!("{e:?}")))?;
        let dir = std::env::temp_dir().join(format!("rosemaryglade-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Fleet {
            configuration,
            platform,
            traffic,
            settings,
            daemons: BTreeMap::new(),
            dir,
            _stop_senders: stop_senders,
        })
    }

    /// Starts a daemon and returns its process id.
    pub fn start(&mut self, id: &str) -> io::Result<u32> {
        let vm_settings = self
            .settings
            .get(id)
            .ok_or_else(|| io::Error::other(format!("entry VM {id} has no settings")))?;
        let file = self.dir.join(format!("{id}.json"));
        fs::write(&file, serde_json::to_string(vm_settings)?)?;
        let program = std::env::current_exe()?.with_file_name("rosemaryglade-entry");
        let child = Command::new(&program)
            .arg("--settings")
            .arg(file)
            .env("RUST_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| {
                io::Error::other(format!(
                    "{}: {e}; build it first: cargo build --release -p entry",
                    program.display()
                ))
            })?;
        let pid = child.id();
        self.platform.put_vm(id, VmState::Live);
        self.daemons.insert(id.into(), child);
        Ok(pid)
    }

    pub fn kill(&mut self, id: &str) {
        if let Some(mut child) = self.daemons.remove(id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns an error if a daemon does not accept connections.
    pub fn check_running(&self) -> io::Result<()> {
        for id in self.daemons.keys() {
            std::net::TcpStream::connect(self.operator_address(id)).map_err(|e| {
                io::Error::other(format!(
                    "entry VM {id} does not accept operator connections: {e}"
                ))
            })?;
        }
        Ok(())
    }

    /// Returns the ids of the entry VMs that can be started.
    pub fn ids(&self) -> Vec<EntryVmId> {
        self.settings.keys().cloned().collect()
    }

    /// Returns the process ids of the running daemons.
    pub fn pids(&self) -> Vec<u32> {
        self.daemons.values().map(Child::id).collect()
    }

    pub fn caller_address(&self, id: &str) -> SocketAddr {
        self.settings[id].caller_address
    }

    pub fn operator_address(&self, id: &str) -> SocketAddr {
        self.settings[id].operator_address
    }
}

/// Calls `condition` until it returns true; returns the time taken.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) -> io::Result<Duration> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(io::Error::other(format!(
                "{what}: not available within {WAIT_TIMEOUT:?}"
            )));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    Ok(started.elapsed())
}

/// Assigns loopback addresses at which nothing listens to all entry VMs and servers.
fn assign_closed_addresses(configuration: &mut Configuration) {
    let mut next = 0u32;
    let mut closed = || {
        next += 1;
        let [_, b, c, d] = (next + (1 << 16)).to_be_bytes();
        SocketAddr::from(([127, b, c, d], 9))
    };
    let inventory = &mut configuration.inventory;
    for vm in &mut inventory.entry_vms {
        vm.caller_address = closed();
        vm.peer_address = closed();
        vm.operator_address = closed();
    }
    for server in &mut inventory.servers {
        server.address = closed();
    }
}

async fn start_servers(
    configuration: &mut Configuration,
    traffic: &Traffic,
    stop_senders: &mut Vec<Sender<()>>,
) -> io::Result<()> {
    for (i, configured) in configuration.inventory.servers.iter_mut().enumerate() {
        let server = Server::new(ServerSettings {
            name: configured.id.clone(),
            slots: configured.slots as usize,
            max_connections: configured.connections as usize,
            service_time: Duration::ZERO,
            seed: i as u64,
            ..ServerSettings::default()
        });
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_server(listener, server, rx)).detach();
        stop_senders.push(tx);
        configured.address = forwarder::start(direct, traffic.servers.clone()).await?;
    }
    Ok(())
}

fn daemon_settings(vm: &EntryVm, platform: SocketAddr) -> Settings {
    // Each daemon has its own loopback address: an outgoing connection could take a port of
    // 127.0.0.1 before the daemon listens on it.
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    let process = 128 + (std::process::id() % 64) as u8;
    let address = |port| SocketAddr::from(([127, process, high, low], port));
    Settings {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        caller_address: address(7000),
        peer_address: address(7001),
        operator_address: address(7002),
        platform: vec![platform],
        keys: vec![KeySettings {
            id: 1,
            secret: "key of a measurement on loopback".into(),
        }],
        ..Settings::default()
    }
}
