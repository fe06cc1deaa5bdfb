//! Polling, adoption and distribution of configurations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::Generation;
use futures_lite::future;
use serde::{Deserialize, Serialize};

use super::short_exchange_options;
use crate::node::Node;

/// URL path of the configuration exchange between entry VMs.
pub const PATH: &str = "/peer/config";
/// URL path of the notice that a new generation is in force on the sender.
pub const NOTICE_PATH: &str = "/peer/newer";
/// Maximum rate of reads of the head row by all entry VMs together, in reads per second.
const HEAD_READS_PER_SECOND: u64 = 60;
/// Number of entry VMs of this VM's domain that are notified of a new generation.
const OWN_DOMAIN_FAN_OUT: usize = 8;

/// Request for a configuration newer than `known_generation`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// Generation in force on the requesting VM.
    #[serde(rename = "known")]
    pub known_generation: Generation,
}

/// Notice that a generation is in force on the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    pub generation: Generation,
    /// Peer address of the sender.
    pub address: SocketAddr,
}

/// Answer to a `ConfigurationRequest`; the default value if the requesting VM is up to date.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigurationAnswer {
    /// Generation; 0 if there is no newer configuration.
    pub generation: Generation,
    /// Name of the object that holds the configuration.
    pub object: Box<str>,
    /// Encoded configuration.
    pub bytes: Vec<u8>,
}

/// Polls the head row of the platform. Before the first configuration, asks the seeds whenever the
/// platform does not answer.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    let mut next = Duration::ZERO;
    while let Ok(now) = ticks.recv().await {
        if now < next {
            continue;
        }
        let has_answered = poll_platform(&node).await;
        if !has_answered && node.in_force().is_none() {
            pull_from_seeds(&node).await;
        }
        next = now + poll_interval(&node);
    }
}

/// Returns the time until the next read of the head row, with jitter. It is proportional to the
/// number of entry VMs to bound the total rate of reads, and about 1 s at least.
pub fn poll_interval(node: &Node) -> Duration {
    let vms = node
        .in_force()
        .map_or(0, |c| c.configuration.inventory.entry_vms.len() as u64);
    let mean = Duration::from_secs((vms / HEAD_READS_PER_SECOND).max(1));
    mean.mul_f64(0.8 + 0.4 * fastrand::f64())
}

/// Reads the head row and adopts a newer generation. Returns whether the platform answered.
async fn poll_platform(node: &Arc<Node>) -> bool {
    let head = match node.platform.head().await {
        Ok(head) => head,
        Err(report) => {
            metrics::counter!("platform_reads_failed_total").increment(1);
            log::debug!(
                "event=head_read_failed error=\"{}\"",
                report.current_context()
            );
            return false;
        }
    };
    let Some(head) = head.head else { return true };
    if head.generation <= node.generation() {
        return true;
    }
    match node.platform.object(&head.object).await {
        Ok(bytes) => {
            validate_and_adopt(node, head.generation, &head.object, bytes);
        }
        Err(report) => {
            metrics::counter!("configurations_rejected_total", "reason" => "object").increment(1);
            log::warn!(
                "event=object_read_failed object={} error=\"{}\"",
                head.object,
                report.current_context()
            );
        }
    }
    true
}

async fn pull_from_seeds(node: &Arc<Node>) {
    for address in &node.settings.seeds {
        pull(node, *address).await;
    }
}

/// Requests a configuration newer than the one in force from a peer and adopts it.
pub async fn pull(node: &Arc<Node>, address: SocketAddr) {
    let request = ConfigurationRequest {
        known_generation: node.generation(),
    };
    let options = http::client::ClientOptions {
        max_body: 64 << 20,
        ..short_exchange_options()
    };
    match node
        .call::<_, ConfigurationAnswer>(address, PATH, &request, &options)
        .await
    {
        Ok(answer) if answer.generation > node.generation() => {
            validate_and_adopt(node, answer.generation, &answer.object, answer.bytes);
        }
        Ok(_) => {}
        Err(report) => {
            log::debug!(
                "event=pull_failed peer={address} error=\"{}\"",
                report.current_context()
            );
        }
    }
}

/// Answers a peer that requests a newer configuration.
pub fn answer(node: &Node, request: &ConfigurationRequest) -> ConfigurationAnswer {
    match node.in_force() {
        Some(cfg) if cfg.generation > request.known_generation => ConfigurationAnswer {
            generation: cfg.generation,
            object: cfg.object.clone(),
            bytes: cfg.bytes.to_vec(),
        },
        _ => ConfigurationAnswer::default(),
    }
}

/// Validates a configuration and adopts it if it is newer. Logs an invalid one and keeps the
/// current one.
pub fn validate_and_adopt(node: &Arc<Node>, generation: Generation, object: &str, bytes: Vec<u8>) {
    let reason = if *config::object_name(&bytes) == *object {
        match config::parse_configuration(&bytes) {
            Ok(configuration) => {
                if node.adopt(generation, object, bytes.into(), configuration) {
                    runtime::spawn(notify_peers(node.clone(), generation)).detach();
                }
                return;
            }
            Err(report) => {
                log::warn!(
                    "event=configuration_rejected generation={generation} error=\"{}\"",
                    report.current_context()
                );
                "invalid"
            }
        }
    } else {
        log::warn!(
            "event=configuration_rejected generation={generation} error=\"hash does not match object name {object}\""
        );
        "hash"
    };
    metrics::counter!("configurations_rejected_total", "reason" => reason).increment(1);
}

/// Notifies peers of the domain, and one entry VM of each other domain, of a new generation.
async fn notify_peers(node: Arc<Node>, generation: Generation) {
    let Some(cfg) = node.in_force() else { return };
    let mut rng = fastrand::Rng::new();
    let mut targets = Vec::new();
    for domain in cfg.domains() {
        let mut vms: Vec<SocketAddr> = cfg
            .entry_vms_of(&domain.id)
            .filter(|v| v.id != node.identity.vm)
            .map(|v| v.peer_address)
            .collect();
        rng.shuffle(&mut vms);
        let is_own = domain.id == node.settings.domain;
        targets.extend(
            vms.into_iter()
                .take(if is_own { OWN_DOMAIN_FAN_OUT } else { 1 }),
        );
    }
    let notice = Notice {
        generation,
        address: node.settings.peer_address,
    };
    let mut tasks = Vec::new();
    for address in targets {
        let node = node.clone();
        let notice = notice.clone();
        tasks.push(runtime::spawn(async move {
            let sent: http::Result<()> = node
                .call(address, NOTICE_PATH, &notice, &short_exchange_options())
                .await;
            if sent.is_err() {
                metrics::counter!("notices_failed_total").increment(1);
            }
        }));
    }
    for task in tasks {
        task.await;
        future::yield_now().await;
    }
}

/// Handles a notice: if it names a newer generation, pulls the configuration from the sender.
pub fn on_notice(node: &Arc<Node>, notice: &Notice) {
    if notice.generation > node.generation() {
        let node = node.clone();
        let address = notice.address;
        runtime::spawn(async move { pull(&node, address).await }).detach();
    }
}
