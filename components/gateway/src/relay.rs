//! The way of one request: route, admission, exchange with a server, answer.

mod attempt;
mod encode;
mod forward;
mod trace;

use std::sync::Arc;
use std::time::Duration;

use config::{RegionId, ServerId};
use dispatch::{RefuseReason, Route, RouteMatch, RouteTable};
use smallvec::SmallVec;

use crate::answer::Answer;
use crate::codes::Code;
use crate::dispatcher::{Admission, SlotRequest};
use crate::http::RequestHead;
use crate::node::{BodyMemory, Node};
use attempt::Step;
use trace::Trace;

/// Header field with the target latency that is left, in milliseconds, between entry VMs.
pub const TARGET_HEADER: &str = "x-target-ms";
/// Header field with the time that the caller has waited, in milliseconds, between entry VMs.
pub const WAITED_HEADER: &str = "x-waited-ms";
/// Time after which a caller may come back to an entry VM without configuration, or to another.
const SHORT_RETRY: Duration = Duration::from_millis(300);
/// Time before SIGKILL at which requests in flight are expected to have ended.
const LAST_MOMENTS: Duration = Duration::from_millis(1100);
/// Attempts to open a connection, beyond which a request is refused.
const MAX_UNREACHABLE: u32 = 4;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry VM, which passed it on to this region.
    EntryVm,
}

/// A request of a caller.
#[derive(Debug)]
pub struct Request {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// Memory of the body.
    pub memory: Option<BodyMemory>,
    /// When the head was complete.
    pub arrived: Duration,
    /// Who sent it.
    pub origin: Origin,
}

/// Terms under which a request is relayed.
#[derive(Debug)]
struct Plan {
    /// Id of the attempt of the caller.
    id: Box<str>,
    routes: Arc<RouteTable>,
    route: Route,
    service: Box<str>,
    /// When the target latency passes.
    target_at: Duration,
    /// When the caller or the route gives up.
    give_up_at: Duration,
    /// From when the caller has waited.
    since: Duration,
    object: Option<u64>,
}

/// What has been tried.
#[derive(Debug, Default)]
struct Tried {
    /// Sends that a server may have received.
    sends: u32,
    /// Connections that could not be opened.
    unreachable: u32,
    /// Servers that are not tried again.
    avoid: SmallVec<[ServerId; 2]>,
    /// Whether it was passed on to another region.
    forwarded: bool,
    /// Whether a server may have run it.
    may_have_run: bool,
    /// Answer of the gateway if nothing better comes.
    last: Option<Answer>,
}

/// Relays a request and returns the answer.
pub async fn relay(node: &Arc<Node>, req: Request) -> Answer {
    let _open = node.count_request();
    let mut trace = Trace::new(node, &req);
    let mut answer = match plan(node, &req) {
        Ok(plan) => {
            trace.planned(&plan);
            run(node, &req, &plan, &mut trace).await
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

fn plan(node: &Arc<Node>, req: &Request) -> Result<Plan, Box<Answer>> {
    let refuse = |code, after| Err(Box::new(Answer::own(code, after)));
    let names = &node.dialect.headers;
    let head = &req.head;
    let Some(routes) = node.routes() else {
        return refuse(Code::NoConfiguration, Some(SHORT_RETRY));
    };
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
    let until = |name: &str| header_ms(head, name).unwrap_or_default();
    let (before, target) = match req.origin {
        Origin::Caller => {
            let before = deadline.map_or(Duration::ZERO, |d| node.waited_before(&route.name, d));
            (before, route.target_latency.saturating_sub(before))
        }
        Origin::EntryVm => (until(WAITED_HEADER), until(TARGET_HEADER)),
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
        target_at: req.arrived + target,
        give_up_at: req.arrived + limit,
        since: match req.origin {
            Origin::Caller => req.arrived,
            Origin::EntryVm => req.arrived.saturating_sub(before),
        },
        object,
        route,
        routes,
    })
}

/// Tells whether a request may run at most once.
pub fn is_binding(node: &Node, head: &RequestHead) -> bool {
    node.routes().is_some_and(|routes| {
        let host = head.get("host").unwrap_or("");
        matches!(routes.find(host, &head.target), RouteMatch::Found(route) if route.binding)
    })
}

fn header_ms(head: &RequestHead, name: &str) -> Option<Duration> {
    head.get(name)?.parse().ok().map(Duration::from_millis)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

async fn run(node: &Arc<Node>, req: &Request, plan: &Plan, trace: &mut Trace) -> Answer {
    if must_refuse_while_leaving(node, plan) {
        return Answer::own(Code::Leaving, Some(Duration::ZERO));
    }
    let mut tried = Tried::default();
    loop {
        let left = plan.give_up_at.saturating_sub(node.now());
        let admission = runtime::timeout(left, admit(node, req, plan, &tried)).await;
        let step = match admission {
            None => return out_of_time(tried),
            Some(Admission::Refused {
                reason,
                retry_after,
            }) => {
                metrics::counter!("gateway_refusals_total", "reason" => reason.label())
                    .increment(1);
                return refused(tried, reason, retry_after);
            }
            Some(Admission::Slot(slot)) => {
                attempt::send_to_server(node, req, plan, &mut tried, slot, trace).await
            }
            Some(Admission::Forward(region, peer)) => {
                forward::forward(node, req, plan, &mut tried, &region, peer, trace).await
            }
        };
        match step {
            Step::Done(answer) => return *answer,
            Step::Again => {}
        }
    }
}

/// A request that could not end before the process is killed is refused.
fn must_refuse_while_leaving(node: &Node, plan: &Plan) -> bool {
    let Some(since) = node.leaving_since() else {
        return false;
    };
    let usual = node
        .dispatcher
        .mean_service_time(&plan.service)
        .unwrap_or(plan.route.target_latency);
    let end = (since + node.settings().grace_period).saturating_sub(LAST_MOMENTS);
    node.now() + usual.mul_f64(1.5) > end
}

async fn admit(node: &Arc<Node>, req: &Request, plan: &Plan, tried: &Tried) -> Admission {
    if !plan.route.allows_region(&node.settings().region) {
        return admit_at_home(node, req, plan, tried);
    }
    let request = SlotRequest {
        retry: tried.sends > 0,
        excluded_servers: tried.avoid.clone(),
        forward_regions: regions(node, req, plan, tried),
        ..slot_request(plan)
    };
    node.dispatcher.admit(request).await
}

/// A request for a first slot in this region.
fn slot_request(plan: &Plan) -> SlotRequest {
    SlotRequest {
        service: plan.service.clone(),
        target_at: plan.target_at,
        deadline_at: plan.give_up_at,
        waiting_since: plan.since,
        priority: plan.route.priority,
        retry: false,
        hedge: false,
        object: plan.object,
        excluded_servers: SmallVec::new(),
        forward_regions: SmallVec::new(),
    }
}

/// Passes a request that must not be handled in this region on to the nearest that may.
fn admit_at_home(node: &Node, req: &Request, plan: &Plan, tried: &Tried) -> Admission {
    let homes = regions(node, req, plan, tried);
    node.dispatcher.nearest_owner(&plan.service, &homes).map_or(
        Admission::Refused {
            reason: RefuseReason::NoServers,
            retry_after: SHORT_RETRY,
        },
        |(region, peer)| Admission::Forward(region, peer),
    )
}

/// Regions to which the request may be passed on.
fn regions(node: &Node, req: &Request, plan: &Plan, tried: &Tried) -> SmallVec<[RegionId; 2]> {
    if req.origin == Origin::EntryVm || tried.forwarded || tried.sends > 0 {
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

fn out_of_time(tried: Tried) -> Answer {
    if tried.may_have_run {
        return Answer::own(Code::Timeout, None);
    }
    tried
        .last
        .unwrap_or_else(|| Answer::own(Code::NoTime, Some(SHORT_RETRY)))
}

fn refused(tried: Tried, reason: RefuseReason, retry_after: Duration) -> Answer {
    if let Some(answer) = tried.last {
        return answer;
    }
    if tried.may_have_run {
        return Answer::own(Code::AnswerLost, None);
    }
    let code = match reason {
        RefuseReason::Overloaded => Code::Overloaded,
        RefuseReason::NoServers => Code::NoServers,
        RefuseReason::RetryBudget => Code::RetryBudget,
    };
    Answer::own(code, Some(retry_after))
}
