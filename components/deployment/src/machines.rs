//! Stand-ins of the platform and of the backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_net::TcpListener;
use config::{Class, Configuration, ServerId};
use error_stack::ResultExt;
use standins::platform::{Platform, serve_platform};
use standins::server::{Server, ServerSettings, serve_server};

use crate::error::{Error, Result};
use crate::running::Options;

/// Most repetitions of a failed bind.
const BIND_TRIES: u32 = 50;
/// Pause between them.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Serves a platform at an address until the returned channel is dropped.
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

/// Opens a listener; one that just ended on the same address closes a moment later.
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if tries < BIND_TRIES => runtime::sleep(BIND_PAUSE).await,
            result => return result.change_context(Error::Listen),
        }
        tries += 1;
    }
}

/// Starts all servers of a configuration.
pub async fn start_servers(
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
            slots: known.slots as usize + options.spare_slots,
            max_queue: options.server_queue,
            max_connections: known.connections as usize,
            service_time: options.service_time * factor,
            exponential: true,
            straggler_probability: options.straggler_probability,
            straggler_factor: 20.0,
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
