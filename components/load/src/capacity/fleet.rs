//! Processes of the daemon `rosemaryglade-entry` on loopback, with stand-ins in this process.

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

use super::forwarder::{self, Counts};

/// Longest time until a daemon does what is waited for.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between two attempts while waiting.
const PAUSE: Duration = Duration::from_millis(2);

/// Number of the next daemon of this process, for its address.
static NEXT_VM: AtomicU32 = AtomicU32::new(1);

/// Bytes of one node's traffic by the other end.
#[derive(Default)]
pub struct Traffic {
    /// Between entry VMs.
    pub peers: Arc<Counts>,
    /// To the platform.
    pub platform: Arc<Counts>,
    /// To backend servers.
    pub servers: Arc<Counts>,
}

/// Daemons with their stand-ins; dropping it kills the daemons.
pub struct Fleet {
    /// Configuration with the addresses of the forwarders.
    pub configuration: Configuration,
    /// Platform stand-in.
    pub platform: Platform,
    /// Traffic of all nodes together.
    pub traffic: Traffic,
    /// Settings per entry VM, with the addresses that it listens on.
    settings: BTreeMap<EntryVmId, Settings>,
    /// Running daemons.
    daemons: BTreeMap<EntryVmId, Child>,
    /// Directory of the settings files.
    dir: PathBuf,
    /// End the stand-ins when dropped.
    _stops: Vec<Sender<()>>,
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
    /// Starts the stand-ins, and applies the configuration with addresses on loopback for the
    /// entry VMs that `runs` selects and for all servers if `with_servers`.
    ///
    /// All other addresses are on loopback too and refuse connections.
    pub async fn new(
        name: &str,
        mut configuration: Configuration,
        runs: impl Fn(&EntryVm) -> bool,
        with_servers: bool,
    ) -> io::Result<Fleet> {
        let traffic = Traffic::default();
        let mut stops = Vec::new();
        let platform = Platform::new(PlatformSettings::default());
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_platform(listener, platform.clone(), rx)).detach();
        stops.push(tx);
        let platform_address = forwarder::start(direct, traffic.platform.clone()).await?;
        close_addresses(&mut configuration);
        if with_servers {
            start_servers(&mut configuration, &traffic, &mut stops).await?;
        }
        let mut settings = BTreeMap::new();
        for vm in &mut configuration.inventory.entry_vms {
            if runs(vm) {
                let own = settings_of(vm, platform_address);
                vm.caller_address = own.caller_address;
                vm.operator_address = own.operator_address;
                vm.peer_address = forwarder::start(own.peer_address, traffic.peers.clone()).await?;
                settings.insert(vm.id.clone(), own);
            }
        }
        let seeds: Vec<SocketAddr> = configuration
            .inventory
            .entry_vms
            .iter()
            .map(|v| v.peer_address)
            .take(3)
            .collect();
        for own in settings.values_mut() {
            own.seeds.clone_from(&seeds);
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
            _stops: stops,
        })
    }

    /// Starts a daemon and returns its process id.
    pub fn start(&mut self, id: &str) -> io::Result<u32> {
        let own = self
            .settings
            .get(id)
            .ok_or_else(|| io::Error::other(format!("entry VM {id} has no settings")))?;
        let file = self.dir.join(format!("{id}.json"));
        fs::write(&file, serde_json::to_string(own)?)?;
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

    /// Kills a daemon.
    pub fn kill(&mut self, id: &str) {
        if let Some(mut child) = self.daemons.remove(id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Fails if a daemon does not answer.
    pub fn check(&self) -> io::Result<()> {
        for id in self.daemons.keys() {
            std::net::TcpStream::connect(self.operator_address(id))
                .map_err(|e| io::Error::other(format!("entry VM {id} has ended: {e}")))?;
        }
        Ok(())
    }

    /// Ids of the entry VMs that have settings.
    pub fn ids(&self) -> Vec<EntryVmId> {
        self.settings.keys().cloned().collect()
    }

    /// Process ids of the running daemons.
    pub fn pids(&self) -> Vec<u32> {
        self.daemons.values().map(Child::id).collect()
    }

    /// Address for callers of a daemon.
    pub fn caller_address(&self, id: &str) -> SocketAddr {
        self.settings[id].caller_address
    }

    /// Address for operators of a daemon.
    pub fn operator_address(&self, id: &str) -> SocketAddr {
        self.settings[id].operator_address
    }
}

/// Repeats `attempt` until it returns true; returns the time taken.
pub fn wait(what: &str, mut attempt: impl FnMut() -> bool) -> io::Result<Duration> {
    let started = Instant::now();
    while !attempt() {
        if started.elapsed() > LIMIT {
            return Err(io::Error::other(format!("{what}: not within {LIMIT:?}")));
        }
        std::thread::sleep(PAUSE);
    }
    Ok(started.elapsed())
}

/// Gives every machine an address on loopback at which nothing listens.
fn close_addresses(configuration: &mut Configuration) {
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
    stops: &mut Vec<Sender<()>>,
) -> io::Result<()> {
    for (i, known) in configuration.inventory.servers.iter_mut().enumerate() {
        let server = Server::new(ServerSettings {
            name: known.id.clone(),
            slots: known.slots as usize,
            max_connections: known.connections as usize,
            service_time: Duration::ZERO,
            seed: i as u64,
            ..ServerSettings::default()
        });
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_server(listener, server, rx)).detach();
        stops.push(tx);
        known.address = forwarder::start(direct, traffic.servers.clone()).await?;
    }
    Ok(())
}

fn settings_of(vm: &EntryVm, platform: SocketAddr) -> Settings {
    // A port of 127.0.0.1 could be taken by an outgoing connection before the daemon listens.
    let number = NEXT_VM.fetch_add(1, Ordering::Relaxed);
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
