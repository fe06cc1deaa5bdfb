//! Look-ups, readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;
use dispatch::{Member, MemberState};

use crate::answer::Answer;
use crate::dialect::LookUp;
use crate::http::{Connection, RequestHead, Result};
use crate::node::Node;

/// Longest head of a request to these listeners.
const MAX_HEAD: usize = 16 * 1024;
/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Addresses in the answer to a look-up; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// Answers a request of a simple listener.
pub type Respond = fn(&Node, &RequestHead) -> Answer;

/// Answers requests on `listener` with `respond` until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, respond: Respond) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                runtime::spawn(async move {
                    let connection = Connection::new(stream);
                    if let Err(e) = serve_connection(&node, connection, respond).await {
                        log::debug!("event=connection_ended error=\"{e}\"");
                    }
                })
                .detach();
            }
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(node: &Node, mut connection: Connection, respond: Respond) -> Result<()> {
    loop {
        let head = loop {
            if let Some(head) = connection.parse_request_head(MAX_HEAD)? {
                break head;
            }
            match runtime::timeout(IDLE_TIMEOUT, connection.fill()).await {
                Some(Ok(n)) if n > 0 => {}
                _ => return Ok(()),
            }
        };
        let keep = head.keeps_alive();
        connection
            .write(&respond(node, &head).encode(!keep))
            .await?;
        if !keep {
            return Ok(());
        }
    }
}

/// Answers a readiness check.
pub fn readiness(node: &Node, head: &RequestHead) -> Answer {
    if path(head) != node.dialect.readiness_path {
        return Answer::plain(404, "Not Found", Vec::new());
    }
    if node.dispatcher.state() == MemberState::Ready {
        Answer::plain(200, "OK", Vec::new())
    } else {
        Answer::plain(503, "Service Unavailable", Vec::new())
    }
}

/// Serves the metrics in the Prometheus text format.
pub fn metrics(_: &Node, head: &RequestHead) -> Answer {
    if path(head) != "/metrics" {
        return Answer::plain(404, "Not Found", Vec::new());
    }
    let mut answer = Answer::plain(200, "OK", runtime::recorder::render().into_bytes());
    answer.add("Content-Type", "text/plain; version=0.0.4");
    answer
}

/// Answers a look-up of entry VMs.
pub fn look_up(node: &Node, head: &RequestHead) -> Answer {
    if path(head) != node.dialect.look_up_path {
        return Answer::plain(404, "Not Found", Vec::new());
    }
    let query = head.target.split_once('?').map_or("", |(_, q)| q);
    let wanted = (node.dialect.parse_look_up)(query);
    let addresses = choose(node, &wanted);
    if addresses.is_empty() {
        log::info!(
            "event=look_up_empty host={} domain={}",
            wanted.host,
            wanted.domain
        );
        return Answer::plain(503, "Service Unavailable", Vec::new());
    }
    metrics::counter!("gateway_look_ups_total").increment(1);
    let body = (node.dialect.encode_look_up)(&addresses, node.settings().look_up_lifetime);
    let mut answer = Answer::plain(200, "OK", body);
    answer.add("Content-Type", node.dialect.look_up_type);
    answer
}

fn path(head: &RequestHead) -> &str {
    head.target.split('?').next().unwrap_or("")
}

/// Chooses the serving entry VMs of the caller's failure domain, else of its region, else of all
/// regions that may handle requests for the host.
fn choose(node: &Node, wanted: &LookUp) -> Vec<SocketAddr> {
    let serving = node.dispatcher.serving();
    let allowed: Vec<&Member> = serving
        .iter()
        .filter(|m| m.region == wanted.region || may_handle(node, &wanted.host, &m.region))
        .collect();
    let near = |f: &dyn Fn(&Member) -> bool| -> Vec<SocketAddr> {
        allowed.iter().filter(|m| f(m)).map(|m| m.callers).collect()
    };
    let mut addresses = near(&|m| m.domain == wanted.domain);
    if addresses.is_empty() {
        addresses = near(&|m| m.region == wanted.region);
    }
    if addresses.is_empty() {
        addresses = near(&|_| true);
    }
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Tells whether every route of the host allows the region.
fn may_handle(node: &Node, host: &str, region: &str) -> bool {
    let routes = node.routes();
    let host = routes.as_ref().and_then(|r| r.hosts.get(host));
    host.is_none_or(|routes| routes.iter().all(|r| r.allows_region(region)))
}
