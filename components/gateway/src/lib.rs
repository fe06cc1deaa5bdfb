//! The gateway of an entry VM: relays requests of callers to backend servers.
//!
//! The entry VMs of a region share the slots of its servers: for each service, one of them owns the
//! pool of slots and grants slots to the others. Requests for which the region has no free slot are
//! forwarded to a region that has one.

mod answer;
mod callers;
mod codes;
mod dialect;
mod dispatcher;
mod endpoints;
mod error;
mod exchange;
mod freshness;
mod http;
mod idle;
mod memory;
mod message;
mod node;
mod relay;
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_net::TcpListener;
use dispatch::{Member, MemberState};
use error_stack::ResultExt;
use runtime::{Clock, TimerService};

pub use codes::Code;
pub use dialect::{Dialect, HeaderNames, LookUpQuery};
pub use error::{Error, Result};
pub use node::Node;
pub use settings::Settings;

use dispatcher::Dispatcher;
use relay::Origin;

/// Fraction of the grace period after which idle connections of callers are closed. By then,
/// callers have a new answer to their look-up, without this entry VM unless all of its region leave.
const IDLE_CLOSE_FRACTION: f64 = 0.5;
/// Fraction of the grace period before which the process does not exit, so that callers with a
/// cached look-up answer can still connect.
const MIN_STOP_FRACTION: f64 = 0.6;
/// Time before the end of the grace period at which the process exits even if requests are open.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// Time between attempts to reach a server while cut off from all of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of such an attempt, as for a connection for a request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between checks for open work during a graceful stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts an entry VM. It becomes ready once it has a configuration and a complete list of servers,
/// and knows the other entry VMs.
pub async fn start(settings: Settings, dialect: Dialect, clock: Clock) -> Result<Arc<Node>> {
    let own = Member {
        id: settings.id.clone(),
        incarnation: fastrand::u64(1..),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        callers: settings.callers,
        peers: settings.peers,
        state: MemberState::Starting,
        platform_connected: false,
    };
    log::info!(
        "event=start id={} incarnation={:x} domain={} region={} callers={} version={}",
        own.id,
        own.incarnation,
        own.domain,
        own.region,
        own.callers,
        env!("CARGO_PKG_VERSION")
    );
    let dispatcher = Dispatcher::bind(&settings, own, clock)
        .change_context_lazy(|| Error::Bind(settings.peers))?;
    let node = Node::new(settings, dialect, dispatcher.clone());
    let timers = TimerService::start(clock);
    runtime::spawn_service(dispatcher.clone().receive());
    runtime::spawn_service(dispatcher.tick(timers.clone()));
    runtime::spawn_service(close_expired_idle(node.clone(), timers.clone()));
    runtime::spawn_service(probe_while_cut_off(node.clone(), timers));
    let cfg = node.settings();
    let callers = bind(cfg.callers).await?;
    runtime::spawn_service(callers::serve(node.clone(), callers, Origin::Caller));
    let peers = bind(cfg.peers).await?;
    runtime::spawn_service(callers::serve(node.clone(), peers, Origin::EntryVm));
    let endpoints: [(SocketAddr, endpoints::Handler); 3] = [
        (cfg.readiness, endpoints::readiness),
        (cfg.look_ups, endpoints::look_up),
        (cfg.metrics, endpoints::metrics),
    ];
    for (address, handler) in endpoints {
        let listener = bind(address).await?;
        runtime::spawn_service(endpoints::serve(node.clone(), listener, handler));
    }
    Ok(node)
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context_lazy(|| Error::Bind(address))
}

/// Closes idle connections to servers and other entry VMs when their lifetime ends.
async fn close_expired_idle(node: Arc<Node>, timers: TimerService) {
    let ticks = timers.subscribe(Duration::from_secs(1));
    while ticks.recv().await.is_ok() {
        node.idle.expire(node.now());
    }
}

/// While this entry VM is cut off from the servers, opens a connection to one of them now and then, to
/// notice the end of the cut. Requests are passed on meanwhile and do not show it.
async fn probe_while_cut_off(node: Arc<Node>, timers: TimerService) {
    let ticks = timers.subscribe(PROBE_INTERVAL);
    while ticks.recv().await.is_ok() {
        if !node.dispatcher.is_cut_off() {
            continue;
        }
        let Some(address) = node.dispatcher.draw_server() else {
            continue;
        };
        if let Ok(connection) = http::Connection::open(address, PROBE_TIMEOUT).await {
            node.dispatcher.record_server_contact();
            node.idle.put(address, connection, None, node.now());
        }
    }
}

/// Serves until `stop` closes, then stops gracefully: look-ups return this entry VM only if no other of
/// its region is ready, open requests are answered, and the function returns before the grace period ends.
pub async fn run_until(node: &Node, stop: Receiver<()>) {
    // Nothing is sent on the channel; it closes when the process is told to stop.
    let _ = stop.recv().await;
    let grace = node.settings().grace_period;
    log::info!(
        "event=stopping open_requests={} grace_ms={}",
        node.open_requests(),
        grace.as_millis()
    );
    node.leave();
    let started = node.now();
    runtime::sleep(grace.mul_f64(IDLE_CLOSE_FRACTION)).await;
    node.close_idle_connections();
    let earliest = started + grace.mul_f64(MIN_STOP_FRACTION);
    let latest = (started + grace).saturating_sub(EXIT_MARGIN);
    while node.now() < latest {
        if node.now() >= earliest && !node.has_open_work() {
            break;
        }
        runtime::sleep(STOP_POLL_INTERVAL).await;
    }
    node.announce_exit();
    log::info!("event=stopped open_requests={}", node.open_requests());
}
