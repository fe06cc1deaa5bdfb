//! Adoption and distribution of configurations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::Generation;
use futures_lite::future;
use serde::{Deserialize, Serialize};

use super::short_exchange;
use crate::node::Node;

/// Path of the configuration exchange between entry VMs.
pub const PATH: &str = "/peer/config";
/// Path of the notice that a newer configuration is in force at the sender.
pub const NOTICE_PATH: &str = "/peer/newer";
/// Head reads a second of all nodes together.
const HEAD_READS_PER_SECOND: u64 = 60;
/// Entry VMs of the own domain that are told of a new generation.
const DOMAIN_FAN_OUT: usize = 8;

/// Asks for a configuration newer than `known`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// Generation in force at the asking VM.
    pub known: Generation,
}

/// Tells that a generation is in force at the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// Generation.
    pub generation: Generation,
    /// Peer address of the sender.
    pub address: SocketAddr,
}

/// A configuration, or nothing when the asking VM is up to date.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Answer {
    /// Generation; 0 for nothing.
    pub generation: Generation,
    /// Name of the object.
    pub object: Box<str>,
    /// Encoded configuration.
    pub bytes: Vec<u8>,
}

/// Reads the head row of the platform at the rate that the number of nodes allows.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    let mut next = Duration::ZERO;
    while let Ok(now) = ticks.recv().await {
        if now < next {
            continue;
        }
        let platform_answers = poll_platform(&node).await;
        if !platform_answers && node.in_force().is_none() {
            ask_seeds(&node).await;
        }
        next = now + poll_interval(&node);
    }
}

/// Returns the time between two reads of the head, with jitter.
pub fn poll_interval(node: &Node) -> Duration {
    let nodes = node
        .in_force()
        .map_or(0, |c| c.configuration.inventory.entry_vms.len() as u64);
    let mean = Duration::from_secs((nodes / HEAD_READS_PER_SECOND).max(1));
    mean.mul_f64(0.8 + 0.4 * fastrand::f64())
}

/// Reads the head and adopts a newer generation; tells whether the platform answered.
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
            offer(node, head.generation, &head.object, bytes);
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

async fn ask_seeds(node: &Arc<Node>) {
    for address in &node.settings.seeds {
        pull(node, *address).await;
    }
}

/// Asks a peer for a configuration newer than the own one.
pub async fn pull(node: &Arc<Node>, address: SocketAddr) {
    let question = Question {
        known: node.generation(),
    };
    let options = http::client::ClientOptions {
        max_body: 64 << 20,
        ..short_exchange()
    };
    match node
        .call::<_, Answer>(address, PATH, &question, &options)
        .await
    {
        Ok(answer) if answer.generation > node.generation() => {
            offer(node, answer.generation, &answer.object, answer.bytes);
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

/// Answers a peer that asks for a newer configuration.
pub fn answer(node: &Node, question: &Question) -> Answer {
    match node.in_force() {
        Some(cfg) if cfg.generation > question.known => Answer {
            generation: cfg.generation,
            object: cfg.object.clone(),
            bytes: cfg.bytes.to_vec(),
        },
        _ => Answer::default(),
    }
}

/// Checks a configuration and puts it in force when it is newer; the last good one stays otherwise.
pub fn offer(node: &Arc<Node>, generation: Generation, object: &str, bytes: Vec<u8>) {
    let reason = if *config::object_name(&bytes) == *object {
        match config::parse_configuration(&bytes) {
            Ok(configuration) => {
                if node.adopt(generation, object, bytes.into(), configuration) {
                    runtime::spawn(announce(node.clone(), generation)).detach();
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
        log::warn!("event=configuration_rejected generation={generation} error=\"hash differs\"");
        "hash"
    };
    metrics::counter!("configurations_rejected_total", "reason" => reason).increment(1);
}

/// Tells peers of the domain, and one entry VM of each other domain, of a new generation.
async fn announce(node: Arc<Node>, generation: Generation) {
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
        let own = domain.id == node.settings.domain;
        targets.extend(vms.into_iter().take(if own { DOMAIN_FAN_OUT } else { 1 }));
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
                .call(address, NOTICE_PATH, &notice, &short_exchange())
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

/// Takes a notice; pulls the newer configuration from its sender.
pub fn take_notice(node: &Arc<Node>, notice: &Notice) {
    if notice.generation > node.generation() {
        let node = node.clone();
        let address = notice.address;
        runtime::spawn(async move { pull(&node, address).await }).detach();
    }
}
