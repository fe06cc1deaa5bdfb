//! HTTP endpoints for look-ups, readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;
use dispatch::{Distance, HostRoute, MemberState, Quality};

use crate::answer::Answer;
use crate::dialect::LookUpQuery;
use crate::http::{Connection, RequestHead, Result};
use crate::node::Node;

/// Longest request head that these endpoints accept.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time without data after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most addresses in the answer to a look-up; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// Uptime until which look-ups wait if this entry VM is starting and knows of none in the caller's region
/// that could be named. Entry VMs that start together are ready by then; callers wait for an answer for
/// a second.
const MAX_START_WAIT: Duration = Duration::from_millis(800);
/// Time between attempts to answer such a look-up.
const START_WAIT_INTERVAL: Duration = Duration::from_millis(25);

/// Answers a request to one of the endpoints.
pub type Handler = fn(&Node, &RequestHead) -> Reply;

/// Result of a handler.
pub enum Reply {
    Answer(Box<Answer>),
    /// The request waits, and the handler is called again.
    Wait,
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        Reply::Answer(Box::new(answer))
    }
}

/// Answers requests on `listener` with `handler` until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, handler: Handler) {
    let mut budget = runtime::YieldBudget::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                runtime::spawn(async move {
                    let connection = Connection::new(stream);
                    if let Err(e) = serve_connection(&node, connection, handler).await {
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
        budget.step().await;
    }
}

async fn serve_connection(node: &Node, mut connection: Connection, handler: Handler) -> Result<()> {
    loop {
        let head = loop {
            if let Some(head) = connection.parse_request_head(MAX_HEAD_BYTES)? {
                break head;
            }
            match runtime::timeout(IDLE_TIMEOUT, connection.fill()).await {
                Some(Ok(n)) if n > 0 => {}
                _ => return Ok(()),
            }
        };
        let keep_alive = head.keeps_alive();
        let answer = loop {
            if let Reply::Answer(answer) = handler(node, &head) {
                break answer;
            }
            runtime::sleep(START_WAIT_INTERVAL).await;
        };
        connection.write(&answer.encode(!keep_alive)).await?;
        if !keep_alive {
            return Ok(());
        }
    }
}

/// Answers a readiness check: status 200 if this entry VM is ready for requests, 503 otherwise.
pub fn readiness(node: &Node, head: &RequestHead) -> Reply {
    if path(head) != node.dialect.readiness_path {
        return not_found().into();
    }
    let ready = node.dispatcher.state() == MemberState::Ready;
    let answer = if ready {
        Answer::plain(200, "OK", Vec::new())
    } else {
        unavailable()
    };
    answer.into()
}

/// Serves the metrics in the Prometheus text format.
pub fn metrics(_: &Node, head: &RequestHead) -> Reply {
    if path(head) != "/metrics" {
        return not_found().into();
    }
    let mut answer = Answer::plain(200, "OK", runtime::recorder::render().into_bytes());
    answer.add("Content-Type", "text/plain; version=0.0.4");
    answer.into()
}

/// Answers a look-up with the addresses of entry VMs that the caller should use. Waits for a while if
/// this entry VM is starting: it may not have heard of the others yet, nor know from the configuration
/// whether other regions are allowed.
pub fn look_up(node: &Node, head: &RequestHead) -> Reply {
    if path(head) != node.dialect.look_up_path {
        return not_found().into();
    }
    let query_string = head.target.split_once('?').map_or("", |(_, q)| q);
    let query = (node.dialect.parse_look_up)(query_string);
    let state = node.dispatcher.state();
    let selected = select_addresses(node, &query);
    if state == MemberState::Starting
        && node.now() < MAX_START_WAIT
        && selected.as_ref().is_none_or(|s| !s.in_region)
    {
        return Reply::Wait;
    }
    let Some(selected) = selected else {
        metrics::counter!("gateway_look_ups_empty_total").increment(1);
        log::info!(
            "event=look_up_empty host={} domain={} state={state:?}",
            query.host,
            query.domain
        );
        return unavailable().into();
    };
    metrics::counter!("gateway_look_ups_total", "named" => selected.quality.label()).increment(1);
    let body = (node.dialect.encode_look_up)(&selected.addresses, selected.lifetime);
    let mut answer = Answer::plain(200, "OK", body);
    answer.add("Content-Type", node.dialect.look_up_content_type);
    answer.into()
}

fn not_found() -> Answer {
    Answer::plain(404, "Not Found", Vec::new())
}

fn unavailable() -> Answer {
    Answer::plain(503, "Service Unavailable", Vec::new())
}

fn path(head: &RequestHead) -> &str {
    head.target.split('?').next().unwrap_or("")
}

/// Content of the answer to a look-up.
struct Selected {
    addresses: Vec<SocketAddr>,
    lifetime: Duration,
    quality: Quality,
    /// Whether the entry VMs are in the caller's region.
    in_region: bool,
}

/// Selects the best entry VMs for a caller, in random order; `None` if no entry VM takes requests of the
/// host.
fn select_addresses(node: &Node, query: &LookUpQuery) -> Option<Selected> {
    let table = node.routes();
    let routes = table.as_ref().and_then(|t| t.hosts.get(&query.host));
    let routes = routes.into_iter().flatten().map(|route| HostRoute {
        allowed_regions: &route.allowed_regions,
        time_limit: node.usual_deadline(route),
    });
    let routes: Vec<HostRoute> = routes.collect();
    let longest = node.settings().look_up_lifetime;
    node.dispatcher.select(query, &routes, |selection| {
        let members = selection.members.iter();
        let mut addresses: Vec<SocketAddr> = members.map(|m| m.callers).collect();
        fastrand::shuffle(&mut addresses);
        addresses.truncate(MAX_ADDRESSES);
        Selected {
            addresses,
            lifetime: selection.lifetime(longest),
            quality: selection.quality,
            in_region: selection.distance != Distance::OtherRegion,
        }
    })
}
