//! Stand-ins of the platform and of the backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_channel::Sender;
use async_net::TcpListener;
use config::{Class, Configuration, ServerId};
use error_stack::ResultExt;
use standins::platform::{Platform, serve_platform};
use standins::server::{Server, ServerSettings, serve_server};

use crate::error::{Error, Result};
use crate::running::Options;

/// Serves a platform at an address until the returned channel is dropped.
pub async fn listen_platform(
    platform: &Platform,
    address: SocketAddr,
) -> Result<(SocketAddr, Sender<()>)> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(Error::Listen)?;
    let address = listener.local_addr().change_context(Error::Listen)?;
    let (tx, rx) = async_channel::bounded(1);
    runtime::spawn(serve_platform(listener, platform.clone(), rx)).detach();
    Ok((address, tx))
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
            queue: options.server_queue,
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
