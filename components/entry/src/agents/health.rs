//! Health probes of the backend servers of this failure domain.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::ServerId;
use http::Method;
use http::client;
use routing::server::{LoadReport, State};
use serde::Deserialize;

use super::short_exchange_options;
use crate::node::Node;

/// Health answer of a server.
#[derive(Debug, Deserialize)]
struct Health {
    state: HealthState,
    /// Number of requests being served.
    busy: u32,
    /// Maximum number of concurrent requests.
    slots: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HealthState {
    Ready,
    Leaving,
    Starting,
}

/// Probes each server of the failure domain at each tick.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let Some(cfg) = node.in_force() else { continue };
        let domain = &node.settings.domain;
        for server in cfg
            .configuration
            .inventory
            .servers
            .iter()
            .filter(|s| s.domain == *domain)
        {
            runtime::spawn(probe(node.clone(), server.id.clone(), server.address)).detach();
        }
    }
}

/// Probes one server. A failed probe does not change the state of the server, because failed
/// requests show an outage sooner.
async fn probe(node: Arc<Node>, server: ServerId, address: std::net::SocketAddr) {
    let Ok(req) = client::build_request(Method::Get, "/health") else {
        return;
    };
    let measured = node.now();
    let health = async {
        let mut res = client::request(address, req, &short_exchange_options()).await?;
        client::parse_json::<Health>(&mut res).await
    };
    let Ok(health) = Box::pin(health).await else {
        metrics::counter!("probes_failed_total").increment(1);
        return;
    };
    let state = match health.state {
        HealthState::Ready => State::Ready,
        HealthState::Leaving => State::Leaving,
        HealthState::Starting => State::Starting,
    };
    let report = LoadReport {
        measured_at: measured,
        busy: health.busy,
        slots: health.slots,
    };
    node.admission.set_health(&server, state, report);
}
