//! Starts, controls and stops a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use config::{
    Configuration, DomainId, EntryVm, EntryVmId, Generation, KeySettings, ServerId, Settings,
};
use error_stack::{Report, ResultExt};
use platform::{Client, ClientSettings};
use standins::platform::{Platform, PlatformSettings, VmState};
use standins::server::Server;

use crate::addresses;
use crate::error::{Error, Result};
use crate::network_faults::NetworkFaults;
use crate::process::{EntryVmMode, Process};
use crate::standin_servers::{listen_platform, start_servers};
use crate::status::{self, Status};

/// Time limit for the entry VMs to reach an expected state or to exit.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Author recorded for the configuration changes that a deployment applies.
const AUTHOR: &str = "deployment";

/// Settings of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration; its addresses are replaced by unused ones on loopback.
    pub configuration: Configuration,
    /// Mean service time of the servers, without stragglers.
    pub service_time: Duration,
    /// Share of requests that take 20 times longer (0 to 1).
    pub straggler_probability: f64,
    /// Factor by which the service time of deferrable services is longer.
    pub deferrable_factor: u32,
    /// Maximum number of requests that wait for a slot at a server; further ones are shed.
    pub server_queue: usize,
    /// Slots that a server has beyond the configured ones, so that requests over the limit appear
    /// in its execution log instead of waiting in its queue.
    pub spare_slots: usize,
    /// Delay until a change appears in the VM list of the platform.
    pub vm_list_lag: Duration,
    /// How the entry VMs run.
    pub entry_vm_mode: EntryVmMode,
    /// Seed of the server stand-ins.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            configuration: Configuration::default(),
            service_time: Duration::from_millis(5),
            straggler_probability: 0.0,
            deferrable_factor: 10,
            server_queue: 3,
            spare_slots: 8,
            vm_list_lag: Duration::from_millis(200),
            entry_vm_mode: EntryVmMode::InProcess,
            seed: 1,
        }
    }
}

/// A running entry VM.
enum RunningVm {
    /// A task of this process.
    InProcess {
        /// Stops the entry VM when dropped.
        stop: Sender<()>,
        task: Task<entry::Result<()>>,
    },
    /// A child process.
    ChildProcess(Process),
}

/// The listener of the platform for one failure domain.
struct PlatformEndpoint {
    address: SocketAddr,
    /// Stops the listener when dropped; `None` while the domain is disconnected.
    stop: Option<Sender<()>>,
}

/// A running deployment.
pub struct Deployment {
    /// Configuration at the start, with the addresses in use.
    pub configuration: Configuration,
    /// Platform stand-in.
    pub platform: Platform,
    /// Address of the platform for operators.
    pub platform_address: SocketAddr,
    /// Backend server stand-ins.
    pub servers: BTreeMap<ServerId, Server>,
    /// Blocked connections; they affect only entry VMs in this process.
    pub network_faults: NetworkFaults,
    entry_vm_mode: EntryVmMode,
    platform_endpoints: BTreeMap<DomainId, PlatformEndpoint>,
    /// Running entry VMs.
    vms: BTreeMap<EntryVmId, RunningVm>,
    /// Stop the stand-ins when dropped.
    stop_senders: Vec<Sender<()>>,
}

impl Deployment {
    /// Starts the platform, the servers and the entry VMs, applies the configuration and waits
    /// until all entry VMs are ready.
    pub async fn start(options: Options) -> Result<Deployment> {
        let mut deployment = Deployment::start_without_entry_vms(options).await?;
        for vm in deployment.configuration.inventory.entry_vms.clone() {
            deployment.start_entry_vm(&vm)?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Starts the platform and the servers and applies the configuration.
    pub async fn start_without_entry_vms(options: Options) -> Result<Deployment> {
        let mut configuration = options.configuration.clone();
        addresses::assign(&mut configuration)?;
        let platform = Platform::new(PlatformSettings {
            vm_list_lag: options.vm_list_lag,
            ..PlatformSettings::default()
        });
        let mut stop_senders = Vec::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (platform_address, tx) = listen_platform(&platform, any).await?;
        stop_senders.push(tx);
        let mut platform_endpoints = BTreeMap::new();
        for domain in &configuration.inventory.domains {
            let (address, tx) = listen_platform(&platform, addresses::free()?).await?;
            let endpoint = PlatformEndpoint {
                address,
                stop: Some(tx),
            };
            platform_endpoints.insert(domain.id.clone(), endpoint);
        }
        let servers = start_servers(&configuration, &options, &mut stop_senders).await?;
        let network_faults = NetworkFaults::default();
        network_faults.register_addresses(&configuration);
        let deployment = Deployment {
            configuration,
            platform,
            platform_address,
            servers,
            network_faults,
            entry_vm_mode: options.entry_vm_mode,
            platform_endpoints,
            vms: BTreeMap::new(),
            stop_senders,
        };
        deployment.apply(0, &deployment.configuration).await?;
        Ok(deployment)
    }

    /// Starts an entry VM and adds it to the VM list.
    pub fn start_entry_vm(&mut self, vm: &EntryVm) -> Result<()> {
        let settings = self.entry_vm_settings(vm);
        let running = match &self.entry_vm_mode {
            EntryVmMode::InProcess => {
                let (stop, rx) = async_channel::bounded(1);
                let reachable = self.network_faults.reachable(&vm.id);
                let task = runtime::spawn(entry::run_with(settings, rx, reachable));
                RunningVm::InProcess { stop, task }
            }
            EntryVmMode::ChildProcesses { program, directory } => {
                RunningVm::ChildProcess(Process::start(program, directory, &settings)?)
            }
        };
        self.platform.put_vm(&vm.id, VmState::Live);
        self.vms.insert(vm.id.clone(), running);
        Ok(())
    }

    /// Returns the settings with which an entry VM is started.
    pub fn entry_vm_settings(&self, vm: &EntryVm) -> Settings {
        let others = self
            .configuration
            .inventory
            .entry_vms
            .iter()
            .filter(|v| v.id != vm.id);
        let endpoint = self.platform_endpoints.get(&vm.domain);
        Settings {
            id: vm.id.clone(),
            domain: vm.domain.clone(),
            caller_address: vm.caller_address,
            peer_address: vm.peer_address,
            operator_address: vm.operator_address,
            platform: vec![endpoint.map_or(self.platform_address, |e| e.address)],
            seeds: others.map(|v| v.peer_address).take(3).collect(),
            keys: vec![KeySettings {
                id: 1,
                secret: "key of a deployment on loopback".into(),
            }],
            ..Settings::default()
        }
    }

    /// Applies a configuration that is based on generation `base`; returns its own generation.
    pub async fn apply(&self, base: Generation, next: &Configuration) -> Result<Generation> {
        let bytes = config::encode(next);
        let client = self.client();
        platform::apply(&client, base, &bytes, AUTHOR, &mut fastrand::Rng::new())
            .await
            .change_context(Error::Apply)
    }

    /// Returns a client for the operators' listener of the platform.
    pub fn client(&self) -> Client {
        Client::new(ClientSettings {
            addresses: vec![self.platform_address],
            ..ClientSettings::default()
        })
    }

    /// Disconnects a failure domain from the platform; open connections are closed.
    pub fn disconnect_platform(&mut self, domain: &str) {
        if let Some(endpoint) = self.platform_endpoints.get_mut(domain) {
            endpoint.stop = None;
        }
    }

    /// Reconnects a disconnected failure domain to the platform.
    pub async fn reconnect_platform(&mut self, domain: &str) -> Result<()> {
        let platform = self.platform.clone();
        self.connect_platform(domain, &platform).await
    }

    /// Connects a disconnected failure domain to another platform, such as an outdated copy.
    pub async fn connect_platform(&mut self, domain: &str, platform: &Platform) -> Result<()> {
        if let Some(endpoint) = self.platform_endpoints.get_mut(domain)
            && endpoint.stop.is_none()
        {
            let (_, tx) = listen_platform(platform, endpoint.address).await?;
            endpoint.stop = Some(tx);
        }
        Ok(())
    }

    /// Shuts an entry VM down gracefully and waits for its exit; returns whether it ended without
    /// an error.
    ///
    /// A child process is not signalled: the caller sends SIGTERM first.
    pub async fn stop_entry_vm(&mut self, id: &str) -> bool {
        let Some(vm) = self.vms.remove(id) else {
            return false;
        };
        self.platform.put_vm(id, VmState::Leaving);
        let is_graceful = match vm {
            RunningVm::InProcess { stop, task } => {
                drop(stop);
                task.await.is_ok()
            }
            RunningVm::ChildProcess(mut process) => {
                let status = process.wait(READY_TIMEOUT).await;
                status.is_ok_and(|s| s.success())
            }
        };
        self.platform.remove_vm(id);
        is_graceful
    }

    /// Kills the child process of an entry VM; the VM list drops it after its delay.
    pub fn kill_entry_vm(&mut self, id: &str) -> Result<()> {
        if let Some(RunningVm::ChildProcess(mut process)) = self.vms.remove(id) {
            process.kill()?;
            self.platform.remove_vm(id);
        }
        Ok(())
    }

    /// Returns the process id of an entry VM that runs as a child.
    pub fn process_id(&self, id: &str) -> Option<u32> {
        match self.vms.get(id)? {
            RunningVm::ChildProcess(process) => Some(process.id()),
            RunningVm::InProcess { .. } => None,
        }
    }

    /// Returns the running entry VMs in the order of the configuration.
    pub fn running(&self) -> Vec<&EntryVm> {
        let vms = self.configuration.inventory.entry_vms.iter();
        vms.filter(|v| self.vms.contains_key(&v.id)).collect()
    }

    /// Returns an entry VM of the configuration.
    pub fn entry_vm(&self, id: &str) -> Option<&EntryVm> {
        let mut vms = self.configuration.inventory.entry_vms.iter();
        vms.find(|v| &*v.id == id)
    }

    /// Returns how often the servers together started each execution id.
    pub fn execution_counts(&self) -> BTreeMap<Box<str>, u64> {
        let mut counts: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for server in self.servers.values() {
            for (id, n) in server.stats().executions {
                *counts.entry(id).or_default() += n;
            }
        }
        counts
    }

    /// Returns the servers that at some time had more requests present than slots, as server, peak
    /// of requests and slots.
    pub fn servers_over_slot_limit(&self) -> Vec<(ServerId, usize, usize)> {
        let servers = self.configuration.inventory.servers.iter();
        servers
            .filter_map(|s| {
                let peak = self.servers.get(&s.id)?.stats().peak_present;
                let slots = s.slots as usize;
                (peak > slots).then(|| (s.id.clone(), peak, slots))
            })
            .collect()
    }

    /// Waits until a generation or a later one is in force at every running entry VM; returns the
    /// time taken.
    pub async fn wait_generation(&self, generation: Generation) -> Result<Duration> {
        self.wait_until(|_, status| status.generation >= generation)
            .await
    }

    /// Waits until every running entry VM has a configuration and, if its domain has servers, free
    /// slots.
    pub async fn wait_ready(&self) -> Result<Duration> {
        let servers = &self.configuration.inventory.servers;
        self.wait_until(|vm, status| {
            let has_servers = servers.iter().any(|s| s.domain == vm.domain);
            let has_slots = status.free_slots.values().any(|free| *free > 0);
            status.generation > 0 && (has_slots || !has_servers)
        })
        .await
    }

    /// Waits until every running entry VM has met a condition on its status; returns the time
    /// taken.
    pub async fn wait_until(&self, is_met: impl Fn(&EntryVm, &Status) -> bool) -> Result<Duration> {
        let started = Instant::now();
        for vm in self.running() {
            loop {
                if started.elapsed() > READY_TIMEOUT {
                    return Err(Report::new(Error::NotReady).attach(vm.id.to_string()));
                }
                let read = status::read(vm.operator_address).await;
                if read.is_ok_and(|s| is_met(vm, &s)) {
                    break;
                }
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Stops the deployment: entry VMs in this process gracefully, child processes by killing them.
    /// Returns whether the graceful ones ended without an error.
    pub async fn stop(mut self) -> bool {
        let mut is_graceful = true;
        let mut tasks = Vec::new();
        for (_, vm) in std::mem::take(&mut self.vms) {
            if let RunningVm::InProcess { stop, task } = vm {
                drop(stop);
                tasks.push(task);
            }
        }
        for task in tasks {
            is_graceful &= task.await.is_ok();
        }
        self.stop_senders.clear();
        is_graceful
    }
}
