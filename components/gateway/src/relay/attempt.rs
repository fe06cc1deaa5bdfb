//! One attempt: at a server, or by way of an entry VM of another region.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dispatch::Outcome;
use futures_lite::FutureExt;
use futures_lite::future::pending;
use smallvec::SmallVec;

use super::trace::Trace;
use super::{MAX_UNREACHABLE, Plan, Request, SHORT_RETRY, TARGET_HEADER, Tried, WAITED_HEADER};
use crate::answer::{Answer, Rest};
use crate::codes::{Code, NOT_RUN, OUTCOME_HEADER};
use crate::dispatcher::{Admission, Request as SlotRequest, Slot};
use crate::exchange::{Failure, Outgoing, Received, exchange};
use crate::http::is_hop_by_hop;
use crate::node::Node;

/// Time for opening a connection within a region; a lost first packet is not waited for.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time for opening a connection to another region: one round trip and the same allowance.
const FAR_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection on which a binding request is sent. A server that closes the
/// connection meanwhile would leave its outcome unknown.
const BINDING_IDLE: Duration = Duration::from_secs(1);
/// Multiple of the usual service time after which an idempotent request is also sent to another
/// server.
const SLOW_FACTOR: f64 = 2.5;

/// What follows an attempt.
pub(super) enum Step {
    /// The caller gets this answer.
    Done(Box<Answer>),
    /// Another attempt is made, if it is admitted.
    Again,
}

impl Step {
    fn done(answer: Answer) -> Self {
        Step::Done(Box::new(answer))
    }
}

/// An attempt at a server that has ended.
struct Finished {
    slot: Slot,
    /// `None` if the time was up.
    result: Option<Result<Received, Failure>>,
    took: Duration,
}

impl Finished {
    /// Tells whether the answer is a server's and no error.
    fn is_good(&self) -> bool {
        matches!(&self.result, Some(Ok(r)) if r.head.status < 500)
    }
}

/// Sends the request to the server of `slot`, and to a second one if the first is slow.
pub(super) async fn send_to_server(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    tried: &mut Tried,
    slot: Slot,
    trace: &mut Trace,
) -> Step {
    let left = plan.give_up_at.saturating_sub(node.now());
    if left < Duration::from_millis(1) {
        return Step::done(super::out_of_time(std::mem::take(tried)));
    }
    tried.avoid.push(slot.grant.server.clone());
    let again = !plan.route.binding && tried.sends + 1 < plan.route.max_attempts;
    let slow_after = slow_after(node, plan, again, left);
    let first = attempt(node, req, plan, slot, slow_after);
    let finished = if slow_after < left {
        hedged(node, req, plan, tried, first, slow_after, trace).await
    } else {
        first.await
    };
    conclude(node, req, plan, tried, finished, trace)
}

/// Waits for the first attempt; once it is slow, a second one is made beside it if a server has a
/// spare slot. The first good answer is taken and the other attempt is cancelled.
async fn hedged(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    tried: &mut Tried,
    first: impl Future<Output = Finished>,
    slow_after: Duration,
    trace: &mut Trace,
) -> Finished {
    let sent_second = AtomicBool::new(false);
    let avoid = tried.avoid.clone();
    let second = async {
        runtime::sleep(slow_after).await;
        let request = SlotRequest {
            repeat: true,
            spare: true,
            avoid,
            regions: SmallVec::new(),
            ..super::slot_request(plan)
        };
        let Admission::Slot(slot) = node.dispatcher.admit(request).await else {
            return pending().await;
        };
        sent_second.store(true, Ordering::Relaxed);
        metrics::counter!("hedges").increment(1);
        attempt(node, req, plan, slot, Duration::MAX).await
    };
    let (mut first, mut second) = (pin!(first), pin!(second));
    let either = async { (true, (&mut first).await) }
        .or(async { (false, (&mut second).await) })
        .await;
    let (was_first, finished) = either;
    let sent_second = sent_second.load(Ordering::Relaxed);
    if sent_second {
        tried.sends += 1;
    }
    if finished.is_good() || !sent_second {
        return finished;
    }
    trace.attempt(&finished.slot.grant.server, "hedge_failed", finished.took);
    drop(finished);
    if was_first { second.await } else { first.await }
}

/// Sends the request to one server.
async fn attempt(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    mut slot: Slot,
    slow_after: Duration,
) -> Finished {
    let start = node.now();
    let left = plan.give_up_at.saturating_sub(start);
    let outgoing = Outgoing {
        address: slot.grant.address,
        method: &req.head.method,
        id: &plan.id,
        bytes: encode(node, req, plan, Some(&slot.grant.server), left),
        connect_limit: CONNECT_LIMIT.min(left),
        idle_limit: if plan.route.binding {
            BINDING_IDLE
        } else {
            Duration::MAX
        },
        signed: true,
    };
    // If the caller leaves, this future is dropped and the slot reports this outcome.
    slot.set_outcome(Outcome::Cancelled);
    let names = &node.dialect.headers;
    let mut exchange = pin!(exchange(&outgoing, names, &node.idle, || node.now()));
    let mut result = runtime::timeout(slow_after.min(left), &mut exchange).await;
    if result.is_none() && slow_after < left {
        slot.set_outcome(Outcome::Silent);
        result = runtime::timeout(left.saturating_sub(slow_after), exchange).await;
    }
    let took = node.now().saturating_sub(start);
    Finished { slot, result, took }
}

/// Reports the outcome of an attempt and decides what follows.
fn conclude(
    node: &Node,
    req: &Request,
    plan: &Plan,
    tried: &mut Tried,
    finished: Finished,
    trace: &mut Trace,
) -> Step {
    let Finished {
        mut slot,
        result,
        took,
    } = finished;
    let names = &node.dialect.headers;
    let server = slot.grant.server.clone();
    let again = !plan.route.binding && tried.sends + 1 < plan.route.max_attempts;
    match result {
        Some(Ok(received)) => {
            let load = received.head.get(names.load);
            slot.set_load(load.and_then(node.dialect.parse_load));
            let not_run = received.head.get(names.not_run).is_some() || received.head.status == 421;
            if not_run {
                trace.attempt(&server, "not_run", took);
                slot.set_outcome(Outcome::Refused);
                tried.sends += 1;
                return not_run_step(plan, tried);
            }
            answered(req, tried, slot, received, again, took, trace)
        }
        Some(Err(Failure::Unreachable(e))) => {
            trace.failed(&server, "unreachable", &e.to_string(), took);
            slot.set_outcome(Outcome::Unreachable);
            tried.unreachable += 1;
            if tried.unreachable < MAX_UNREACHABLE {
                return Step::Again;
            }
            if tried.may_have_run {
                return Step::done(Answer::own(Code::AnswerLost, None));
            }
            Step::done(Answer::own(Code::Refused, Some(SHORT_RETRY)))
        }
        Some(Err(Failure::Lost(e))) => {
            trace.failed(&server, "lost", &e.to_string(), took);
            slot.set_outcome(Outcome::Failed);
            lost(tried, again, Code::AnswerLost)
        }
        None => {
            trace.attempt(&server, "silent", took);
            slot.set_outcome(Outcome::Silent);
            lost(tried, false, Code::Timeout)
        }
    }
}

/// Time after which an attempt counts as slow; all of `left` if there is no time or no attempt
/// left for another server.
fn slow_after(node: &Node, plan: &Plan, again: bool, left: Duration) -> Duration {
    let Some(usual) = node.dispatcher.usual(&plan.service).filter(|_| again) else {
        return left;
    };
    let slow = usual.mul_f64(SLOW_FACTOR);
    if slow + usual < left { slow } else { left }
}

fn lost(tried: &mut Tried, again: bool, code: Code) -> Step {
    tried.sends += 1;
    tried.may_have_run = true;
    if again {
        return Step::Again;
    }
    Step::done(Answer::own(code, None))
}

/// Handles a request that a server refused without running it.
fn not_run_step(plan: &Plan, tried: &mut Tried) -> Step {
    if tried.sends < plan.route.max_attempts {
        return Step::Again;
    }
    if tried.may_have_run {
        return Step::done(Answer::own(Code::AnswerLost, None));
    }
    Step::done(Answer::own(Code::Refused, Some(SHORT_RETRY)))
}

fn answered(
    req: &Request,
    tried: &mut Tried,
    mut slot: Slot,
    received: Received,
    again: bool,
    took: Duration,
    trace: &mut Trace,
) -> Step {
    let status = received.head.status;
    let failed = status >= 500;
    trace.attempt(&slot.grant.server, if failed { "error" } else { "answered" }, took);
    slot.set_outcome(if failed {
        Outcome::Failed
    } else {
        Outcome::Answered(took)
    });
    let method = req.head.method.clone();
    tried.sends += 1;
    tried.may_have_run = true;
    let rest = received.rest.map(|(connection, body)| Rest {
        connection,
        body,
        slot: Some(slot),
    });
    let complete = rest.is_none();
    let answer = Answer::passed_on(received.head, &method, received.body, rest);
    if failed && again && complete {
        tried.last = Some(answer);
        return Step::Again;
    }
    Step::done(answer)
}

/// Passes the request on to the entry VM `peer` of another region.
pub(super) async fn forward(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    tried: &mut Tried,
    region: &str,
    peer: SocketAddr,
    trace: &mut Trace,
) -> Step {
    let now = node.now();
    let left = plan.give_up_at.saturating_sub(now);
    tried.forwarded = true;
    let outgoing = Outgoing {
        address: peer,
        method: &req.head.method,
        id: &plan.id,
        bytes: encode(node, req, plan, None, left),
        connect_limit: FAR_CONNECT_LIMIT.min(left),
        idle_limit: if plan.route.binding {
            BINDING_IDLE
        } else {
            Duration::MAX
        },
        signed: false,
    };
    let names = &node.dialect.headers;
    let result = runtime::timeout(left, exchange(&outgoing, names, &node.idle, || node.now())).await;
    let took = node.now().saturating_sub(now);
    match result {
        Some(Ok(received)) => {
            let not_run = received.head.get(OUTCOME_HEADER) == Some(NOT_RUN);
            trace.attempt(region, if not_run { "forward_refused" } else { "forwarded" }, took);
            if not_run && tried.sends == 0 {
                // The own region may have a slot by now.
                return Step::Again;
            }
            let rest = received.rest.map(|(connection, body)| Rest {
                connection,
                body,
                slot: None,
            });
            Step::done(Answer::passed_on(
                received.head,
                &req.head.method,
                received.body,
                rest,
            ))
        }
        Some(Err(Failure::Unreachable(e))) => {
            trace.failed(region, "forward_unreachable", &e.to_string(), took);
            Step::Again
        }
        Some(Err(Failure::Lost(e))) => {
            trace.failed(region, "forward_lost", &e.to_string(), took);
            let again = !plan.route.binding && plan.route.max_attempts > 1;
            lost(tried, again, Code::AnswerLost)
        }
        None => {
            trace.attempt(region, "forward_silent", took);
            lost(tried, false, Code::Timeout)
        }
    }
}

/// Encodes the request for a server, or for another entry VM if `server` is `None`.
fn encode(
    node: &Node,
    req: &Request,
    plan: &Plan,
    server: Option<&str>,
    left: Duration,
) -> Vec<u8> {
    use std::io::Write as _;
    let names = &node.dialect.headers;
    let head = &req.head;
    let dropped = [
        names.deadline_ms,
        names.expected_server,
        "content-length",
        "expect",
        TARGET_HEADER,
        WAITED_HEADER,
    ];
    let mut out = Vec::with_capacity(512 + req.body.len());
    // Writing to a vector cannot fail.
    let _ = write!(out, "{} {} HTTP/1.1\r\n", head.method, head.target);
    for h in &head.headers {
        let skip = is_hop_by_hop(&h.name) || dropped.iter().any(|d| h.name.eq_ignore_ascii_case(d));
        if !skip {
            out.extend_from_slice(h.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&h.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let _ = write!(out, "{}: {}\r\n", names.deadline_ms, left.as_millis());
    match server {
        Some(id) => {
            let _ = write!(out, "{}: {id}\r\n", names.expected_server);
        }
        None => {
            let now = node.now();
            let target = plan.target_at.saturating_sub(now).as_millis();
            let waited = now.saturating_sub(plan.since).as_millis();
            let _ = write!(out, "{TARGET_HEADER}: {target}\r\n{WAITED_HEADER}: {waited}\r\n");
        }
    }
    let has_body = !req.body.is_empty() || matches!(&*head.method, "POST" | "PUT" | "PATCH");
    if has_body {
        let _ = write!(out, "Content-Length: {}\r\n", req.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&req.body);
    out
}
