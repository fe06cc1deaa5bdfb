//! Start and stop of a deployment.

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
use crate::cuts::Cuts;
use crate::error::{Error, Result};
use crate::machines::{listen_platform, start_servers};
use crate::process::{Place, Process};
use crate::status::{self, Status};

/// Longest time until all entry VMs serve.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Author of the changes that a deployment makes itself.
const AUTHOR: &str = "deployment";

/// How to start a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration; its addresses are replaced by free ones on loopback.
    pub configuration: Configuration,
    /// Mean service time of the servers.
    pub service_time: Duration,
    /// Share of requests that take 20 times longer.
    pub straggler_probability: f64,
    /// Factor on the service time of deferrable services.
    pub deferrable_factor: u32,
    /// Requests that wait for a slot at a server; further ones are shed.
    pub server_queue: usize,
    /// Slots that a server has beyond the configured ones, so that an overload shows in its
    /// execution log instead of waiting in its queue.
    pub spare_slots: usize,
    /// Lag of the VM list.
    pub vm_list_lag: Duration,
    /// Where the entry VMs run.
    pub place: Place,
    /// Seed of the stand-ins.
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
            place: Place::Inside,
            seed: 1,
        }
    }
}

/// One entry VM of the deployment.
enum RunningVm {
    /// A task of this process.
    Inside {
        /// Ends the VM when dropped.
        stop: Sender<()>,
        /// Its task.
        task: Task<entry::Result<()>>,
    },
    /// A child process.
    Child(Process),
}

/// The platform as one failure domain reaches it.
struct PlatformLink {
    /// Address.
    address: SocketAddr,
    /// Ends the listener when dropped; `None` while the domain is cut off.
    listening: Option<Sender<()>>,
}

/// A running deployment.
pub struct Deployment {
    /// Configuration with the addresses in use.
    pub configuration: Configuration,
    /// Platform stand-in.
    pub platform: Platform,
    /// Address of the platform for operators.
    pub platform_address: SocketAddr,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Links between the machines, for entry VMs inside this process.
    pub cuts: Cuts,
    /// Where the entry VMs run.
    place: Place,
    /// Listener of the platform per failure domain.
    platform_links: BTreeMap<DomainId, PlatformLink>,
    /// Entry VMs.
    vms: BTreeMap<EntryVmId, RunningVm>,
    /// End the stand-ins when dropped.
    stops: Vec<Sender<()>>,
}

impl Deployment {
    /// Starts platform, servers and entry VMs, applies the configuration and waits until every
    /// entry VM serves.
    pub async fn start(options: Options) -> Result<Deployment> {
        let mut deployment = Deployment::start_machines(options).await?;
        for vm in deployment.configuration.inventory.entry_vms.clone() {
            deployment.start_entry_vm(&vm)?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Starts platform and servers and applies the configuration, without entry VMs.
    pub async fn start_machines(options: Options) -> Result<Deployment> {
        let mut configuration = options.configuration.clone();
        addresses::assign(&mut configuration)?;
        let platform = Platform::new(PlatformSettings {
            vm_list_lag: options.vm_list_lag,
            ..PlatformSettings::default()
        });
        let mut stops = Vec::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (platform_address, tx) = listen_platform(&platform, any).await?;
        stops.push(tx);
        let mut platform_links = BTreeMap::new();
        for domain in &configuration.inventory.domains {
            let (address, tx) = listen_platform(&platform, addresses::free()?).await?;
            let link = PlatformLink {
                address,
                listening: Some(tx),
            };
            platform_links.insert(domain.id.clone(), link);
        }
        let servers = start_servers(&configuration, &options, &mut stops).await?;
        let cuts = Cuts::default();
        cuts.learn(&configuration);
        let deployment = Deployment {
            configuration,
            platform,
            platform_address,
            servers,
            cuts,
            place: options.place,
            platform_links,
            vms: BTreeMap::new(),
            stops,
        };
        deployment.apply(0, &deployment.configuration).await?;
        Ok(deployment)
    }

    /// Starts an entry VM.
    pub fn start_entry_vm(&mut self, vm: &EntryVm) -> Result<()> {
        let settings = self.settings_of(vm);
        let running = match &self.place {
            Place::Inside => {
                let (stop, rx) = async_channel::bounded(1);
                let reachable = self.cuts.reachable(&vm.id);
                let task = runtime::spawn(entry::run_with(settings, rx, reachable));
                RunningVm::Inside { stop, task }
            }
            Place::Children { program, directory } => {
                RunningVm::Child(Process::start(program, directory, &settings)?)
            }
        };
        self.platform.put_vm(&vm.id, VmState::Live);
        self.vms.insert(vm.id.clone(), running);
        Ok(())
    }

    /// Returns the settings of an entry VM.
    pub fn settings_of(&self, vm: &EntryVm) -> Settings {
        let others = self
            .configuration
            .inventory
            .entry_vms
            .iter()
            .filter(|v| v.id != vm.id);
        let link = self.platform_links.get(&vm.domain);
        Settings {
            id: vm.id.clone(),
            domain: vm.domain.clone(),
            caller_address: vm.caller_address,
            peer_address: vm.peer_address,
            operator_address: vm.operator_address,
            platform: vec![link.map_or(self.platform_address, |l| l.address)],
            seeds: others.map(|v| v.peer_address).take(3).collect(),
            keys: vec![KeySettings {
                id: 1,
                secret: "key of a deployment on loopback".into(),
            }],
            ..Settings::default()
        }
    }

    /// Applies a configuration on a base generation.
    pub async fn apply(&self, base: Generation, next: &Configuration) -> Result<Generation> {
        let bytes = config::encode(next);
        let client = self.client();
        platform::apply(&client, base, &bytes, AUTHOR, &mut fastrand::Rng::new())
            .await
            .change_context(Error::Apply)
    }

    /// Returns a client of the platform.
    pub fn client(&self) -> Client {
        Client::new(ClientSettings {
            addresses: vec![self.platform_address],
            ..ClientSettings::default()
        })
    }

    /// Cuts a failure domain off from the platform; open connections close.
    pub fn cut_platform(&mut self, domain: &str) {
        if let Some(link) = self.platform_links.get_mut(domain) {
            link.listening = None;
        }
    }

    /// Lets a failure domain that is cut off reach the platform again.
    pub async fn restore_platform(&mut self, domain: &str) -> Result<()> {
        let platform = self.platform.clone();
        self.connect_platform(domain, &platform).await
    }

    /// Lets a failure domain that is cut off reach another platform, such as an outdated copy.
    pub async fn connect_platform(&mut self, domain: &str, platform: &Platform) -> Result<()> {
        if let Some(link) = self.platform_links.get_mut(domain)
            && link.listening.is_none()
        {
            let (_, tx) = listen_platform(platform, link.address).await?;
            link.listening = Some(tx);
        }
        Ok(())
    }

    /// Stops an entry VM gracefully; returns when it has ended.
    ///
    /// A child process has to be told by a signal first.
    pub async fn stop_entry_vm(&mut self, id: &str) -> bool {
        let Some(vm) = self.vms.remove(id) else {
            return false;
        };
        self.platform.put_vm(id, VmState::Leaving);
        let ended = match vm {
            RunningVm::Inside { stop, task } => {
                drop(stop);
                task.await.is_ok()
            }
            RunningVm::Child(mut process) => {
                let status = process.wait(READY_LIMIT).await;
                status.is_ok_and(|s| s.success())
            }
        };
        self.platform.remove_vm(id);
        ended
    }

    /// Kills the child process of an entry VM; the VM list shows it after its lag.
    pub fn kill_entry_vm(&mut self, id: &str) -> Result<()> {
        if let Some(RunningVm::Child(mut process)) = self.vms.remove(id) {
            process.kill()?;
            self.platform.remove_vm(id);
        }
        Ok(())
    }

    /// Returns the process id of an entry VM that runs as a child.
    pub fn process_id(&self, id: &str) -> Option<u32> {
        match self.vms.get(id)? {
            RunningVm::Child(process) => Some(process.id()),
            RunningVm::Inside { .. } => None,
        }
    }

    /// Returns the entry VMs that run.
    pub fn running(&self) -> Vec<&EntryVm> {
        let vms = self.configuration.inventory.entry_vms.iter();
        vms.filter(|v| self.vms.contains_key(&v.id)).collect()
    }

    /// Returns an entry VM of the configuration.
    pub fn entry_vm(&self, id: &str) -> Option<&EntryVm> {
        let mut vms = self.configuration.inventory.entry_vms.iter();
        vms.find(|v| &*v.id == id)
    }

    /// Counts how often each execution id was started by all servers together.
    pub fn runs(&self) -> BTreeMap<Box<str>, u64> {
        let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
        for server in self.servers.values() {
            for (id, n) in server.stats().executions {
                *runs.entry(id).or_default() += n;
            }
        }
        runs
    }

    /// Returns the servers that had more requests present than slots, with both numbers.
    pub fn past_slots(&self) -> Vec<(ServerId, usize, usize)> {
        let known = self.configuration.inventory.servers.iter();
        known
            .filter_map(|s| {
                let peak = self.servers.get(&s.id)?.stats().peak_present;
                let slots = s.slots as usize;
                (peak > slots).then(|| (s.id.clone(), peak, slots))
            })
            .collect()
    }

    /// Waits until a generation is in force at every running entry VM; returns the time taken.
    pub async fn wait_generation(&self, generation: Generation) -> Result<Duration> {
        self.wait(|_, status| status.generation >= generation).await
    }

    /// Waits until every running entry VM has a configuration and, where its domain has servers,
    /// slots.
    pub async fn wait_ready(&self) -> Result<Duration> {
        let servers = &self.configuration.inventory.servers;
        self.wait(|vm, status| {
            let has_servers = servers.iter().any(|s| s.domain == vm.domain);
            let has_slots = status.free_slots.values().any(|free| *free > 0);
            status.generation > 0 && (has_slots || !has_servers)
        })
        .await
    }

    /// Waits until the status of every running entry VM meets a condition.
    pub async fn wait(&self, is_met: impl Fn(&EntryVm, &Status) -> bool) -> Result<Duration> {
        let started = Instant::now();
        for vm in self.running() {
            loop {
                if started.elapsed() > READY_LIMIT {
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

    /// Stops everything; children are killed.
    pub async fn stop(mut self) -> bool {
        let mut graceful = true;
        let mut tasks = Vec::new();
        for (_, vm) in std::mem::take(&mut self.vms) {
            if let RunningVm::Inside { stop, task } = vm {
                drop(stop);
                tasks.push(task);
            }
        }
        for task in tasks {
            graceful &= task.await.is_ok();
        }
        self.stops.clear();
        graceful
    }
}
