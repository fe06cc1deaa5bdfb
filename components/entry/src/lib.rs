//! An entry VM: caller, peer and operator listeners, relay, look-up and agents.

pub mod admission;
mod agents;
mod claims;
mod error;
pub mod exchange;
mod in_force;
mod links;
mod listeners;
mod loans;
mod look_up;
mod node;
pub mod operator;
mod peer;
mod quotas;
mod reach;
mod relay;
mod request;
mod steer;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_net::TcpListener;
use config::Settings;
use error_stack::ResultExt;
use http::server::{ServerOptions, serve};
use runtime::TimerService;

/// Messages between entry VMs, exported for capacity measurements and tests.
pub mod messages {
    pub use crate::agents::digests::{
        DigestRequest, PATH as DIGEST_PATH, Rotation, dead_after, period as digest_period,
    };
    pub use crate::agents::heartbeats::{
        Message as HeartbeatMessage, PATH as HEARTBEAT_PATH, members_hash,
    };
    pub use crate::loans::{Answer as LoanAnswer, Message as LoanMessage, PATH as LOAN_PATH};
}

pub use error::{Error, Result};
pub use node::Node;
pub use reach::Reachable;
pub use request::{DEADLINE_HEADER, HOUSE_HEADER, KEY_HEADER, SERVICE_HEADER, TICKET_HEADER};

/// Interval between two heartbeat rounds.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which the agent checks whether the next read of the head row is due.
const CONFIGURATION_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Interval between two rounds of the digest, server health and VM list agents.
const STATUS_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which a graceful shutdown checks for remaining work.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Runs an entry VM until `stop` closes, then shuts it down gracefully.
pub async fn run(settings: Settings, stop: Receiver<()>) -> Result<()> {
    run_with(settings, stop, reach::all_addresses()).await
}

/// Like [`run`], but opens connections only to addresses that `reachable` accepts. Tests use it to
/// simulate network partitions.
pub async fn run_with(settings: Settings, stop: Receiver<()>, reachable: Reachable) -> Result<()> {
    let node = Node::new(settings, reachable)?;
    let callers = listen(node.settings.caller_address).await?;
    let peers = listen(node.settings.peer_address).await?;
    let operators = listen(node.settings.operator_address).await?;
    let (stop_listeners, listeners_stop) = async_channel::bounded::<()>(1);
    let options = ServerOptions {
        max_body: node.settings.max_request_body,
        ..ServerOptions::default()
    };
    let peer_options = ServerOptions {
        max_body: node.settings.max_request_body + (1 << 16),
        ..options.clone()
    };
    let n = node.clone();
    let callers = runtime::spawn(serve(
        callers,
        options.clone(),
        listeners_stop.clone(),
        move |r| listeners::serve_caller(n.clone(), r),
    ));
    let n = node.clone();
    let peers = runtime::spawn(serve(
        peers,
        peer_options,
        listeners_stop.clone(),
        move |r| listeners::serve_peer(n.clone(), r),
    ));
    let n = node.clone();
    let operators = runtime::spawn(serve(operators, options, listeners_stop, move |r| {
        let n = n.clone();
        async move { operator::serve(&n, &r) }
    }));
    let timer = TimerService::start(node.clock);
    start_agents(&node, &timer);
    log::info!(
        "event=started vm={} domain={} callers={} peers={} operators={}",
        node.settings.id,
        node.settings.domain,
        node.settings.caller_address,
        node.settings.peer_address,
        node.settings.operator_address
    );
    // Nothing is sent on the channel; the only result is the error when it closes.
    let _ = stop.recv().await;
    shut_down(&node, &timer).await;
    drop(stop_listeners);
    callers.await;
    peers.await;
    operators.await;
    log::info!("event=stopped vm={}", node.settings.id);
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .inspect_err(|e| log::error!("event=listen_failed address={address} error=\"{e}\""))
        .change_context(Error::Listen)
        .attach_with(|| address)
}

fn start_agents(node: &Arc<Node>, timer: &TimerService) {
    use agents::{configuration, digests, health, heartbeats, vm_list};
    let n = || node.clone();
    runtime::spawn_service(configuration::run(
        n(),
        timer.subscribe(CONFIGURATION_CHECK_PERIOD),
    ));
    runtime::spawn_service(heartbeats::run(n(), timer.subscribe(HEARTBEAT_PERIOD)));
    runtime::spawn_service(digests::run(n(), timer.subscribe(STATUS_PERIOD)));
    runtime::spawn_service(health::run(n(), timer.subscribe(STATUS_PERIOD)));
    runtime::spawn_service(claims::run(n()));
    runtime::spawn_service(links::run(n()));
    runtime::spawn_service(loans::request_loans(n()));
    runtime::spawn_service(loans::maintain(n(), timer.subscribe(loans::PERIOD)));
    runtime::spawn_service(vm_list::run(n(), timer.subscribe(STATUS_PERIOD)));
}

/// Stops accepting work and waits until all executions have ended and the last ticket has expired.
async fn shut_down(node: &Arc<Node>, timer: &TimerService) {
    node.begin_shutdown();
    log::info!("event=stopping vm={}", node.settings.id);
    let ticks = timer.subscribe(STOP_CHECK_PERIOD);
    while let Ok(now) = ticks.recv().await {
        let work = node.lock_work();
        let has_valid_tickets = work
            .records
            .last_expiry()
            .is_some_and(|expiry| now < expiry);
        if work.records.running() == 0 && !has_valid_tickets {
            return;
        }
    }
}
