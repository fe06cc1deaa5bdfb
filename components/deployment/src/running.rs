//! Start and stop of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use async_net::TcpListener;
use config::{
    Class, Configuration, EntryVm, EntryVmId, Generation, KeySettings, ServerId, Settings,
};
use error_stack::{Report, ResultExt};
use http::Method;
use http::client::{self, ClientOptions};
use platform::{Client, ClientSettings};
use serde::Deserialize;
use standins::platform::{Platform, PlatformSettings, VmState, serve_platform};
use standins::server::{Server, ServerSettings, serve_server};

use crate::addresses;
use crate::error::{Error, Result};

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
    /// Factor on the service time of deferrable services.
    pub deferrable_factor: u32,
    /// Lag of the VM list.
    pub vm_list_lag: Duration,
    /// Seed of the stand-ins.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            configuration: Configuration::default(),
            service_time: Duration::from_millis(5),
            deferrable_factor: 10,
            vm_list_lag: Duration::from_millis(200),
            seed: 1,
        }
    }
}

/// One entry VM of the deployment.
struct RunningVm {
    /// Ends the VM when dropped.
    stop: Sender<()>,
    /// Its task.
    task: Task<entry::Result<()>>,
}

/// A running deployment.
pub struct Deployment {
    /// Configuration with the addresses in use.
    pub configuration: Configuration,
    /// Platform stand-in.
    pub platform: Platform,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, Server>,
    /// Entry VMs.
    vms: BTreeMap<EntryVmId, RunningVm>,
    /// End the stand-ins when dropped.
    stops: Vec<Sender<()>>,
}

/// The part of an entry VM's status that tells whether it serves.
#[derive(Debug, Deserialize)]
struct Status {
    /// Generation in force.
    generation: Generation,
    /// Free slots per service.
    free_slots: BTreeMap<Box<str>, u32>,
}

impl Deployment {
    /// Starts platform, servers and entry VMs, applies the configuration and waits until every
    /// entry VM serves.
    pub async fn start(options: Options) -> Result<Deployment> {
        let mut configuration = options.configuration.clone();
        addresses::assign(&mut configuration)?;
        let mut stops = Vec::new();
        let platform = Platform::new(PlatformSettings {
            vm_list_lag: options.vm_list_lag,
            ..PlatformSettings::default()
        });
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .change_context(Error::Listen)?;
        let platform_address = listener.local_addr().change_context(Error::Listen)?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_platform(listener, platform.clone(), rx)).detach();
        stops.push(tx);
        let servers = start_servers(&configuration, &options, &mut stops).await?;
        let mut deployment = Deployment {
            configuration,
            platform,
            platform_address,
            servers,
            vms: BTreeMap::new(),
            stops,
        };
        deployment
            .apply(0, &deployment.configuration.clone())
            .await?;
        for vm in deployment.configuration.inventory.entry_vms.clone() {
            deployment.start_entry_vm(&vm);
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Starts an entry VM.
    pub fn start_entry_vm(&mut self, vm: &EntryVm) {
        let settings = self.settings_of(vm);
        let (stop, rx) = async_channel::bounded(1);
        let task = runtime::spawn(entry::run(settings, rx));
        self.platform.put_vm(&vm.id, VmState::Live);
        self.vms.insert(vm.id.clone(), RunningVm { stop, task });
    }

    /// Returns the settings of an entry VM.
    pub fn settings_of(&self, vm: &EntryVm) -> Settings {
        let others = self
            .configuration
            .inventory
            .entry_vms
            .iter()
            .filter(|v| v.id != vm.id);
        Settings {
            id: vm.id.clone(),
            domain: vm.domain.clone(),
            caller_address: vm.caller_address,
            peer_address: vm.peer_address,
            operator_address: vm.operator_address,
            platform: vec![self.platform_address],
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

    /// Stops an entry VM gracefully; returns when it has ended.
    pub async fn stop_entry_vm(&mut self, id: &str) -> bool {
        let Some(vm) = self.vms.remove(id) else {
            return false;
        };
        self.platform.put_vm(id, VmState::Leaving);
        drop(vm.stop);
        let ended = vm.task.await.is_ok();
        self.platform.remove_vm(id);
        ended
    }

    /// Returns the entry VMs that run.
    pub fn running(&self) -> Vec<&EntryVm> {
        let vms = self.configuration.inventory.entry_vms.iter();
        vms.filter(|v| self.vms.contains_key(&v.id)).collect()
    }

    /// Waits until a generation is in force at every running entry VM; returns the time taken.
    pub async fn wait_generation(&self, generation: Generation) -> Result<Duration> {
        self.wait(|_, status| status.generation >= generation).await
    }

    /// Waits until every running entry VM has a configuration and, where its domain has servers,
    /// slots.
    async fn wait_ready(&self) -> Result<Duration> {
        let servers = &self.configuration.inventory.servers;
        self.wait(|vm, status| {
            let has_servers = servers.iter().any(|s| s.domain == vm.domain);
            let has_slots = status.free_slots.values().any(|free| *free > 0);
            status.generation > 0 && (has_slots || !has_servers)
        })
        .await
    }

    async fn wait(&self, is_met: impl Fn(&EntryVm, &Status) -> bool) -> Result<Duration> {
        let started = Instant::now();
        for vm in self.running() {
            loop {
                if started.elapsed() > READY_LIMIT {
                    return Err(Report::new(Error::NotReady).attach(vm.id.to_string()));
                }
                if read_status(vm.operator_address)
                    .await
                    .is_ok_and(|s| is_met(vm, &s))
                {
                    break;
                }
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Stops everything.
    pub async fn stop(mut self) -> bool {
        let mut graceful = true;
        let vms = std::mem::take(&mut self.vms);
        let mut tasks = Vec::new();
        for (_, vm) in vms {
            drop(vm.stop);
            tasks.push(vm.task);
        }
        for task in tasks {
            graceful &= task.await.is_ok();
        }
        self.stops.clear();
        graceful
    }
}

async fn start_servers(
    configuration: &Configuration,
    options: &Options,
    stops: &mut Vec<Sender<()>>,
) -> Result<BTreeMap<ServerId, Server>> {
    let mut servers = BTreeMap::new();
    for (i, known) in configuration.inventory.servers.iter().enumerate() {
        let services = &configuration.inventory.services;
        let class = services
            .iter()
            .find(|s| s.id == known.service)
            .map(|s| s.class);
        let factor = if class == Some(Class::Deferrable) {
            options.deferrable_factor
        } else {
            1
        };
        let server = Server::new(ServerSettings {
            name: known.id.clone(),
            slots: known.slots as usize,
            connections: known.connections as usize,
            service_time: options.service_time * factor,
            exponential: true,
            binding: class == Some(Class::Binding),
            seed: options.seed + i as u64,
            ..ServerSettings::default()
        });
        let listener = TcpListener::bind(known.address)
            .await
            .change_context(Error::Listen)?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_server(listener, server.clone(), rx)).detach();
        stops.push(tx);
        servers.insert(known.id.clone(), server);
    }
    Ok(servers)
}

async fn read_status(address: SocketAddr) -> Result<Status> {
    let req = client::build(Method::Get, "/status").change_context(Error::Exchange)?;
    let options = ClientOptions {
        timeout: Duration::from_secs(1),
        ..ClientOptions::default()
    };
    let mut res = Box::pin(client::request(address, req, &options))
        .await
        .change_context(Error::Exchange)?;
    client::parse_json(&mut res)
        .await
        .change_context(Error::Exchange)
}
