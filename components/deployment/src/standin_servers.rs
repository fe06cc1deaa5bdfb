//! Starts the stand-ins for the platform and the backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_net::TcpListener;
use config::{Class, Configuration, ServerId};
use error_stack::ResultExt;
use standins::platform::{Platform, serve_platform};
use standins::server::{Server, ServerSettings, serve_server};

use crate::deployment::Options;
use crate::error::{Error, Result};

/// Number of times that a failed bind is retried.
const MAX_BIND_RETRIES: u32 = 50;
/// Delay before a bind is retried.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves a platform at an address until the returned sender is dropped.
pub async fn listen_platform(
    platform: &Platform,
    address: SocketAddr,
) -> Result<(SocketAddr, Sender<()>)> {
    let listener = bind(address).await?;
    let address = listener.local_addr().change_context(Error::Listen)?;
    let (tx, rx) = async_channel::bounded(1);
    runtime::spawn(serve_platform(listener, platform.clone(), rx)).detach();
    Ok((address, tx))
}

/// Opens a listener. A bind is retried because the previous listener on the same address closes
/// only a moment after it is told to stop.
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if retries < MAX_BIND_RETRIES => runtime::sleep(BIND_RETRY_DELAY).await,
            result => return result.change_context(Error::Listen),
        }
        retries += 1;
    }
}

/// Starts a stand-in for every server of a configuration; they run until their senders in
/// `stop_senders` are dropped.
pub async fn start_servers(
    configuration: &Configuration,
    options: &Options,
    stop_senders: &mut Vec<Sender<()>>,
) -> Result<BTreeMap<ServerId, Server>> {
    let mut servers = BTreeMap::new();
    for (i, backend_server) in configuration.inventory.servers.iter().enumerate() {
        let services = &configuration.inventory.services;
        let class = services
            .iter()
            .find(|s| s.id == backend_server.service)
            .map(|s| s.class);
        let factor = if class == Some(Class::Deferrable) {
            options.deferrable_factor
        } else {
            1
        };
        let server = Server::new(ServerSettings {
            name: backend_server.id.clone(),
            slots: backend_server.slots as usize + options.spare_slots,
            max_queue: options.server_queue,
            max_connections: backend_server.connections as usize,
            service_time: options.service_time * factor,
            exponential: true,
            straggler_probability: options.straggler_probability,
            straggler_factor: 20.0,
            binding: class == Some(Class::Binding),
            seed: options.seed + i as u64,
            ..ServerSettings::default()
        });
        let listener = TcpListener::bind(backend_server.address)
            .await
            .change_context(Error::Listen)?;
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(serve_server(listener, server.clone(), rx)).detach();
        stop_senders.push(tx);
        servers.insert(backend_server.id.clone(), server);
    }
    Ok(servers)
}
