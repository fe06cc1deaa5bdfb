//! Relays one request: routing, admission, attempts at servers or in another region, response.

mod attempt;
mod encode;
mod forward;
mod trace;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{Generation, RegionId, ServerId};
use dispatch::{RefuseReason, Route, RouteMatch, RouteTable};
use smallvec::SmallVec;

use crate::answer::Answer;
use crate::codes::Code;
use crate::dispatcher::{Admission, SlotRequest};
use crate::http::RequestHead;
use crate::memory::Reservation;
use crate::node::Node;
use attempt::Step;
use trace::Trace;

/// Header field, between entry VMs, with the rest of the target latency in milliseconds.
pub const TARGET_HEADER: &str = "x-target-ms";
/// Header field, between entry VMs, with the time the caller has waited so far in milliseconds.
pub const WAITED_HEADER: &str = "x-waited-ms";
/// Header field, between entry VMs, with the generation of the configuration that the sender applied
/// to the request.
pub const GENERATION_HEADER: &str = "x-generation";
/// `Retry-After` of refusals for which the dispatcher gives no time, such as those of an entry VM
/// without configuration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum idle time of a connection that is reused for a binding request. If the server closes the
/// connection at that moment, the outcome of the request is unknown.
const BINDING_MAX_IDLE: Duration = Duration::from_secs(1);
/// Shortest deadline with which a request is sent; the header field counts milliseconds.
const MIN_SENT_DEADLINE: Duration = Duration::from_millis(1);
/// Failed connection attempts after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Failed connection attempts after which a request is passed on to another entry VM, if there is one
/// that reaches the servers.
const MAX_CONNECT_FAILURES_HERE: u32 = 2;

/// Sender of a request. The variant names are written to the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller,
    /// Entry VM of another region, which forwarded the request to this one.
    EntryVm,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// Reservation of the memory that `body` takes.
    pub _memory: Reservation,
    /// Uptime at which the head was complete.
    pub received_at: Duration,
    pub origin: Origin,
}

/// Route, service and time limits of a request. Moments are uptimes.
#[derive(Debug)]
struct Plan {
    /// Request id that the caller set; each attempt of the caller has its own.
    id: Box<str>,
    routes: Arc<RouteTable>,
    route: Route,
    service: Box<str>,
    /// When the target latency is exceeded.
    target_at: Duration,
    /// When the caller's deadline or the timeout of the route passes, whichever is earlier.
    deadline_at: Duration,
    /// Since when the caller has been waiting.
    waiting_since: Duration,
    /// Hash of the object, if the route uses object affinity.
    object: Option<u64>,
}

impl Plan {
    /// Returns the time until the deadline.
    fn remaining(&self, node: &Node) -> Duration {
        self.deadline_at.saturating_sub(node.now())
    }

    /// Returns the maximum idle time of a connection that the request may be sent on.
    fn max_idle(&self) -> Duration {
        if self.route.binding {
            BINDING_MAX_IDLE
        } else {
            Duration::MAX
        }
    }

    /// Returns whether the request may be sent again after the current attempt, even if a server may
    /// have run it.
    fn may_retry(&self, history: &AttemptHistory) -> bool {
        !self.route.binding && history.sent_attempts + 1 < self.route.max_attempts
    }
}

/// Attempts made so far for one request.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// Attempts that a server may have received.
    sent_attempts: u32,
    /// Attempts for which no connection could be opened.
    connect_failures: u32,
    /// Servers already tried, hedges included, which get no further attempt. None is listed twice: no
    /// slot is granted at a listed server.
    excluded_servers: SmallVec<[ServerId; 2]>,
    /// Whether the request was forwarded to another region.
    forwarded: bool,
    /// Whether a server may have run the request.
    may_have_run: bool,
    /// Complete 5xx response of an earlier attempt, sent if no further attempt is possible.
    last_error: Option<Answer>,
}

impl AttemptHistory {
    /// Allows another attempt at a server to which nothing was sent. The next grant is checked as
    /// well; a server that is back may be used again.
    fn forget_withdrawn(&mut self, server: &str) {
        self.excluded_servers.retain(|s| &**s != server);
    }
}

/// Relays a request by `routes` and returns the response for its sender.
pub async fn relay(node: &Arc<Node>, req: Request, routes: Option<Arc<RouteTable>>) -> Answer {
    let _open = node.count_request();
    let mut trace = Trace::new(node, &req);
    let mut answer = match plan(node, &req, routes) {
        Ok(plan) => {
            trace.set_plan(&plan);
            attempt_until_done(node, &req, &plan, &mut trace).await
        }
        Err(answer) => *answer,
    };
    if answer.code.is_some()
        && let Some(id) = req.head.get(node.dialect.headers.request_id)
    {
        answer.add(node.dialect.headers.request_id, id);
    }
    trace.finish(node, &answer);
    answer
}

/// Matches the route and derives the time limits; the error is the response to the sender.
fn plan(
    node: &Arc<Node>,
    req: &Request,
    routes: Option<Arc<RouteTable>>,
) -> Result<Plan, Box<Answer>> {
    let refuse = |code, after| Err(Box::new(Answer::own(code, after)));
    let names = &node.dialect.headers;
    let head = &req.head;
    // Without the members, the own pool would grant slots that the owner of the pool grants as well.
    let Some(routes) = routes.filter(|_| node.knows_members()) else {
        return refuse(Code::NoConfiguration, Some(DEFAULT_RETRY_AFTER));
    };
    if req.origin == Origin::EntryVm && is_behind_sender(routes.generation, head) {
        return refuse(Code::NoConfiguration, Some(DEFAULT_RETRY_AFTER));
    }
    let Some(id) = head.get(names.request_id) else {
        return refuse(Code::BadRequest, None);
    };
    let route = match routes.find(head.get("host").unwrap_or(""), &head.target) {
        RouteMatch::Found(route) => route.clone(),
        RouteMatch::UnknownHost | RouteMatch::UnknownPath => return refuse(Code::NoRoute, None),
    };
    let deadline = head
        .get(names.deadline_ms)
        .and_then(|v| v.trim().parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map(|ms| Duration::from_secs_f64(ms.min(86_400_000.0) / 1000.0));
    let header_or_zero = |name: &str| header_ms(head, name).unwrap_or_default();
    let (waited, target) = match req.origin {
        Origin::Caller => {
            let waited = deadline.map_or(Duration::ZERO, |d| node.waited_before(&route.name, d));
            (waited, route.target_latency.saturating_sub(waited))
        }
        Origin::EntryVm => (header_or_zero(WAITED_HEADER), header_or_zero(TARGET_HEADER)),
    };
    let limit = deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let object = head
        .get(names.object)
        .filter(|_| route.object_affinity)
        .map(|v| hash(v.as_bytes()));
    let service = route.select_service(hash(id.as_bytes())).clone();
    Ok(Plan {
        id: id.into(),
        service,
        target_at: req.received_at + target,
        deadline_at: req.received_at + limit,
        waiting_since: match req.origin {
            Origin::Caller => req.received_at,
            Origin::EntryVm => req.received_at.saturating_sub(waited),
        },
        object,
        route,
        routes,
    })
}

/// Returns whether the entry VM that forwarded the request applied a newer configuration than
/// `in_force`. By the older one, the request could go to a server from which its route has moved.
fn is_behind_sender(in_force: Generation, head: &RequestHead) -> bool {
    let applied = head.get(GENERATION_HEADER).and_then(|v| v.parse().ok());
    applied.is_some_and(|applied: Generation| applied > in_force)
}

/// Returns whether a request must run at most once. A request that matches no route is not binding.
pub fn is_binding(routes: Option<&RouteTable>, head: &RequestHead) -> bool {
    routes.is_some_and(|routes| {
        let host = head.get("host").unwrap_or("");
        matches!(routes.find(host, &head.target), RouteMatch::Found(route) if route.binding)
    })
}

fn header_ms(head: &RequestHead, name: &str) -> Option<Duration> {
    head.get(name)?.parse().ok().map(Duration::from_millis)
}

/// Returns the first 8 bytes of the BLAKE3 hash, little-endian.
fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Requests admission and makes attempts until one gives the final response.
async fn attempt_until_done(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    trace: &mut Trace,
) -> Answer {
    if may_outlast_process(node, plan) {
        return Answer::own(Code::Leaving, Some(Duration::ZERO));
    }
    let mut history = AttemptHistory::default();
    loop {
        let remaining = plan.deadline_at.saturating_sub(node.now());
        let admission = runtime::timeout(remaining, admit(node, req, plan, &history)).await;
        let step = match admission {
            None => return deadline_exceeded(history),
            Some(Admission::Refused {
                reason,
                retry_after,
            }) => {
                metrics::counter!("gateway_refusals_total", "reason" => reason.label())
                    .increment(1);
                return refusal(history, reason, retry_after);
            }
            Some(Admission::Slot(slot)) => {
                attempt::send_to_server(node, req, plan, &mut history, slot, trace).await
            }
            Some(Admission::Forward(region, peer)) => {
                forward::forward(node, req, plan, &mut history, &region, peer, trace).await
            }
        };
        match step {
            Step::Done(answer) => return *answer,
            Step::Retry => {}
        }
    }
}

/// Returns whether the entry VM is stopping and the process may end before the request's deadline.
/// The time that a server usually takes is no bound: the request is not run and sent elsewhere.
fn may_outlast_process(node: &Node, plan: &Plan) -> bool {
    node.leaving_until()
        .is_some_and(|until| plan.deadline_at > until)
}

async fn admit(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    history: &AttemptHistory,
) -> Admission {
    if !plan.route.allows_region(&node.settings().region) {
        return admit_in_other_region(node, req, plan, history);
    }
    if req.origin == Origin::EntryVm && node.dispatcher.is_cut_off() {
        // Passing it on again could send it round in circles.
        return Admission::Refused {
            reason: RefuseReason::NoServers,
            retry_after: DEFAULT_RETRY_AFTER,
        };
    }
    if let Some(relay) = draw_relay(node, req, plan, history) {
        return Admission::Forward(node.settings().region.clone(), relay);
    }
    let request = SlotRequest {
        retry: history.sent_attempts > 0,
        excluded_servers: history.excluded_servers.clone(),
        forward_regions: forward_regions(node, req, plan, history),
        ..slot_request(plan)
    };
    let admission = node.dispatcher.admit(request).await;
    if matches!(admission, Admission::Refused { .. })
        && let Some(relay) = draw_relay(node, req, plan, history)
    {
        // The cut has become known while the request waited.
        return Admission::Forward(node.settings().region.clone(), relay);
    }
    admission
}

/// Returns the entry VM of this region that a request is passed on to, because this one does not
/// reach the servers. Requests are passed on at most once, and only before they were written.
fn draw_relay(
    node: &Node,
    req: &Request,
    plan: &Plan,
    history: &AttemptHistory,
) -> Option<SocketAddr> {
    if req.origin == Origin::EntryVm || history.forwarded || history.sent_attempts > 0 {
        return None;
    }
    let must_pass_on =
        history.connect_failures >= MAX_CONNECT_FAILURES_HERE || node.dispatcher.is_cut_off();
    let remaining = plan.remaining(node);
    let relay = must_pass_on.then(|| node.dispatcher.draw_relay(remaining));
    let relay = relay.flatten();
    if relay.is_some() {
        metrics::counter!("gateway_passed_on_total").increment(1);
    }
    relay
}

/// Builds the request for the slot of a first attempt in this region.
fn slot_request(plan: &Plan) -> SlotRequest {
    SlotRequest {
        service: plan.service.clone(),
        target_at: plan.target_at,
        deadline_at: plan.deadline_at,
        waiting_since: plan.waiting_since,
        priority: plan.route.priority,
        retry: false,
        hedge: false,
        object: plan.object,
        excluded_servers: SmallVec::new(),
        forward_regions: SmallVec::new(),
    }
}

/// Admits a request that this region must not handle: forwards it to the nearest region that the
/// route allows, or refuses it.
fn admit_in_other_region(
    node: &Node,
    req: &Request,
    plan: &Plan,
    history: &AttemptHistory,
) -> Admission {
    let allowed_regions = forward_regions(node, req, plan, history);
    node.dispatcher
        .nearest_owner(&plan.service, &allowed_regions)
        .map_or(
            Admission::Refused {
                reason: RefuseReason::NoServers,
                retry_after: DEFAULT_RETRY_AFTER,
            },
            |(region, peer)| Admission::Forward(region, peer),
        )
}

/// Returns the regions to which the request may be forwarded. Requests are forwarded at most once,
/// and only before their first attempt at a server.
fn forward_regions(
    node: &Node,
    req: &Request,
    plan: &Plan,
    history: &AttemptHistory,
) -> SmallVec<[RegionId; 2]> {
    if req.origin == Origin::EntryVm || history.forwarded || history.sent_attempts > 0 {
        return SmallVec::new();
    }
    let mut regions: SmallVec<[RegionId; 2]> = SmallVec::new();
    for region in node.settings().domains.values() {
        let other = *region != node.settings().region && !regions.contains(region);
        if other && plan.route.allows_region(region) {
            regions.push(region.clone());
        }
    }
    regions
}

/// Returns the response to a request whose deadline passed while it waited for a slot.
fn deadline_exceeded(history: AttemptHistory) -> Answer {
    if history.may_have_run {
        return Answer::own(Code::Timeout, None);
    }
    history
        .last_error
        .unwrap_or_else(|| Answer::own(Code::NoTime, Some(DEFAULT_RETRY_AFTER)))
}

/// Returns the response to a request that got no slot.
fn refusal(history: AttemptHistory, reason: RefuseReason, retry_after: Duration) -> Answer {
    if let Some(answer) = history.last_error {
        return answer;
    }
    if history.may_have_run {
        return Answer::own(Code::AnswerLost, None);
    }
    let code = match reason {
        RefuseReason::Overloaded | RefuseReason::NoServers
            if history.sent_attempts + history.connect_failures > 0 =>
        {
            Code::Refused
        }
        RefuseReason::Overloaded => Code::Overloaded,
        RefuseReason::NoServers => Code::NoServers,
        RefuseReason::RetryBudget => Code::RetryBudget,
    };
    Answer::own(code, Some(retry_after))
}
