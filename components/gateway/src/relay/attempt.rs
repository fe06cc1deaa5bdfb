//! Attempts at servers: sending, hedging and the outcome.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use config::ServerId;
use dispatch::Outcome;
use futures_lite::FutureExt;
use smallvec::SmallVec;

use super::encode::encode;
use super::trace::Trace;
use super::{
    AttemptHistory, DEFAULT_RETRY_AFTER, MAX_CONNECT_FAILURES, MIN_SENT_DEADLINE, Plan, Request,
};
use crate::answer::{Answer, Rest};
use crate::codes::{Code, is_own_header, promises_not_run};
use crate::dispatcher::{Admission, GrantCheck, Slot, SlotRequest};
use crate::exchange::{Failure, OutgoingRequest, ReceivedResponse, connect, exchange};
use crate::http::{Error, ResponseHead};
use crate::node::Node;

/// Time limit for opening a connection within a region. It does not cover the retransmission of a
/// lost first packet; another server is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum hedge delay, so that network delay alone does not make an attempt slow.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Admission requests for a hedge within one hedge delay; they repeat until one gets a slot.
const SLOT_POLLS_PER_HEDGE_DELAY: u32 = 4;

/// How relaying continues after an attempt.
pub(super) enum Step {
    /// The request ends with this response.
    Done(Box<Answer>),
    /// Another attempt is made if the dispatcher admits it.
    Retry,
}

impl Step {
    pub fn done(answer: Answer) -> Self {
        Step::Done(Box::new(answer))
    }
}

/// An attempt that has ended.
struct FinishedAttempt {
    slot: Slot,
    /// `None` if the deadline passed.
    result: Option<Result<ReceivedResponse, Failure>>,
    elapsed: Duration,
}

impl FinishedAttempt {
    /// Returns whether a response was received that is neither an error nor a refusal.
    fn is_usable(&self) -> bool {
        matches!(&self.result, Some(Ok(r)) if !is_failure(r.head.status))
    }

    /// Returns whether the server may have run the request.
    fn may_have_run(&self, node: &Node, plan: &Plan) -> bool {
        match &self.result {
            Some(Ok(received)) => !is_not_run(node, plan, &received.head),
            Some(Err(Failure::Unreachable(_) | Failure::Withdrawn)) => false,
            Some(Err(Failure::Lost(_))) | None => true,
        }
    }
}

/// Sends the request to the server of `slot`, and a hedge to another server if the first is slow
/// and the request may be retried.
pub(super) async fn send_to_server(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    history: &mut AttemptHistory,
    slot: Slot,
    trace: &mut Trace,
) -> Step {
    let remaining = plan.remaining(node);
    if remaining < MIN_SENT_DEADLINE {
        return Step::done(super::deadline_exceeded(std::mem::take(history)));
    }
    history.excluded_servers.push(slot.grant.server.clone());
    let may_retry = plan.may_retry(history);
    let hedge_delay = hedge_delay(slot.grant.slow_after, may_retry, remaining);
    let first = attempt(node, req, plan, slot, hedge_delay);
    let finished = if hedge_delay < remaining {
        attempt_with_hedge(node, req, plan, history, first, hedge_delay, trace).await
    } else {
        first.await
    };
    handle_result(node, req, plan, history, finished, trace)
}

/// Waits for the first attempt. After the hedge delay, a hedge is sent as soon as another server
/// has a spare slot. The first usable response is taken and the other attempt is cancelled.
async fn attempt_with_hedge(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    history: &mut AttemptHistory,
    first: impl Future<Output = FinishedAttempt>,
    hedge_delay: Duration,
    trace: &mut Trace,
) -> FinishedAttempt {
    let hedge_server = OnceLock::new();
    let avoid = history.excluded_servers.clone();
    let hedge = async {
        runtime::sleep(hedge_delay).await;
        let slot = loop {
            let request = SlotRequest {
                retry: true,
                hedge: true,
                excluded_servers: avoid.clone(),
                forward_regions: SmallVec::new(),
                ..super::slot_request(plan)
            };
            if let Admission::Slot(slot) = node.dispatcher.admit(request).await {
                break slot;
            }
            runtime::sleep(hedge_delay / SLOT_POLLS_PER_HEDGE_DELAY).await;
        };
        let second = hedge_server.get_or_init(|| slot.grant.server.clone());
        metrics::counter!("gateway_hedges_total").increment(1);
        log::info!(
            "event=hedge id={} first={} second={second} slow_after_ms={}",
            plan.id,
            avoid.last().map_or("", |s| s),
            hedge_delay.as_millis()
        );
        attempt(node, req, plan, slot, Duration::MAX).await
    };
    let (mut first, mut hedge) = (pin!(first), pin!(hedge));
    let either = async { (true, (&mut first).await) }
        .or(async { (false, (&mut hedge).await) })
        .await;
    let (first_finished, finished) = either;
    let Some(hedge_server) = hedge_server.get() else {
        return finished;
    };
    history.sent_attempts += 1;
    history.excluded_servers.push(hedge_server.clone());
    if finished.is_usable() {
        return finished;
    }
    let server = &finished.slot.grant.server;
    match &finished.result {
        Some(Ok(received)) if is_not_run(node, plan, &received.head) => {
            trace.record_refusal(server, "hedge_failed", received, finished.elapsed);
        }
        _ => trace.record_attempt(server, "hedge_failed", finished.elapsed),
    }
    if let Some(Err(Failure::Withdrawn)) = finished.result {
        history.forget_withdrawn(server);
    }
    history.may_have_run |= finished.may_have_run(node, plan);
    drop(finished);
    if first_finished {
        hedge.await
    } else {
        first.await
    }
}

/// Sends the request to one server. After `slow_after` the attempt counts as slow but continues.
async fn attempt(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    mut slot: Slot,
    slow_after: Duration,
) -> FinishedAttempt {
    let start = node.now();
    let remaining = plan.deadline_at.saturating_sub(start);
    // If the caller disconnects, this future is dropped and the slot reports this outcome.
    slot.set_outcome(Outcome::Cancelled);
    let (address, server) = (slot.grant.address, slot.grant.server.clone());
    let sent = AtomicBool::new(false);
    let grant = slot.check();
    let mut exchange = pin!(send(node, req, plan, address, server, grant, &sent));
    let mut result = runtime::timeout(slow_after.min(remaining), &mut exchange).await;
    if result.is_none() && slow_after < remaining {
        slot.set_outcome(Outcome::Slow);
        result = runtime::timeout(remaining.saturating_sub(slow_after), exchange).await;
    }
    if result.is_none() && !sent.load(Ordering::Relaxed) {
        result = Some(Err(Failure::Withdrawn));
    }
    let elapsed = node.now().saturating_sub(start);
    FinishedAttempt {
        slot,
        result,
        elapsed,
    }
}

/// Connects to a server and sends the request if its grant is still valid then. `sent` is set
/// before the first byte is written.
async fn send(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    address: SocketAddr,
    server: ServerId,
    grant: GrantCheck,
    sent: &AtomicBool,
) -> Result<ReceivedResponse, Failure> {
    let limit = CONNECT_TIMEOUT.min(plan.remaining(node));
    let connection = connect(
        address,
        &req.head.method,
        &plan.id,
        limit,
        plan.max_idle(),
        &node.idle,
        node.now(),
    )
    .await?;
    if connection.is_new() {
        node.dispatcher.record_server_contact();
    }
    let allowed = grant.allows_sending().await;
    let remaining = plan.remaining(node);
    if !allowed || remaining < MIN_SENT_DEADLINE {
        return Err(Failure::Withdrawn);
    }
    let (bytes, body) = encode(node, req, plan, Some(&server), remaining);
    let outgoing = OutgoingRequest {
        address,
        method: &req.head.method,
        id: &plan.id,
        bytes,
        body,
        require_signature: true,
    };
    let names = &node.dialect.headers;
    sent.store(true, Ordering::Relaxed);
    let budget = &node.body_memory;
    exchange(connection, &outgoing, names, &node.idle, budget, || {
        node.now()
    })
    .await
}

/// Returns whether a response states that the server did not run the request. The status alone does
/// not: bytes of a faulty server may look like a refusal. For a request that may be repeated, a
/// misdirected one is sent elsewhere in any case.
fn is_not_run(node: &Node, plan: &Plan, head: &ResponseHead) -> bool {
    let stated = head.get(node.dialect.headers.not_run).is_some();
    stated || (head.status == 421 && !plan.route.binding)
}

/// Returns whether a response with this status is an error or a refusal.
fn is_failure(status: u16) -> bool {
    status >= 500 || promises_not_run(status)
}

/// Reports the outcome of an attempt to its slot and decides how to continue.
fn handle_result(
    node: &Node,
    req: &Request,
    plan: &Plan,
    history: &mut AttemptHistory,
    finished: FinishedAttempt,
    trace: &mut Trace,
) -> Step {
    let FinishedAttempt {
        mut slot,
        result,
        elapsed,
    } = finished;
    let names = &node.dialect.headers;
    let server = slot.grant.server.clone();
    let may_retry = plan.may_retry(history);
    if let Some(Err(Failure::Unreachable(_) | Failure::Lost(Error::Io(_) | Error::Closed))) =
        &result
    {
        node.dispatcher.record_server_failure(&server);
    }
    match result {
        Some(Ok(received)) => {
            let load = received.head.get(names.load);
            slot.set_load(load.and_then(node.dialect.parse_load));
            if is_not_run(node, plan, &received.head) {
                trace.record_refusal(&server, "not_run", &received, elapsed);
                slot.set_outcome(Outcome::Refused);
                history.sent_attempts += 1;
                return handle_not_run(plan, history);
            }
            handle_response(req, plan, history, slot, received, elapsed, trace)
        }
        Some(Err(Failure::Unreachable(e))) => {
            trace.record_failure(&server, "unreachable", &e.to_string(), elapsed);
            slot.set_outcome(Outcome::Unreachable);
            history.connect_failures += 1;
            if history.connect_failures < MAX_CONNECT_FAILURES {
                return Step::Retry;
            }
            if history.may_have_run {
                return Step::done(Answer::own(Code::AnswerLost, None));
            }
            Step::done(Answer::own(Code::Refused, Some(DEFAULT_RETRY_AFTER)))
        }
        Some(Err(Failure::Withdrawn)) => {
            trace.record_attempt(&server, "withdrawn", elapsed);
            slot.set_outcome(Outcome::Unused);
            history.forget_withdrawn(&server);
            Step::Retry
        }
        Some(Err(Failure::Lost(e))) => {
            trace.record_failure(&server, "lost", &e.to_string(), elapsed);
            slot.set_outcome(Outcome::Failed);
            handle_lost_response(history, may_retry, Code::AnswerLost)
        }
        None => {
            trace.record_attempt(&server, "silent", elapsed);
            slot.set_outcome(Outcome::TimedOut);
            handle_lost_response(history, false, Code::Timeout)
        }
    }
}

/// Returns the time after which a hedge is sent: `slow`, the server's own limit, but at least
/// [`MIN_HEDGE_DELAY`]. Returns `remaining`, which means no hedge, if no retry is allowed or too
/// little time would remain for it.
fn hedge_delay(slow: Duration, may_retry: bool, remaining: Duration) -> Duration {
    let slow = slow.max(MIN_HEDGE_DELAY);
    if may_retry && slow.mul_f64(1.5) < remaining {
        slow
    } else {
        remaining
    }
}

/// Handles an attempt that got no response although the server may have run the request.
pub(super) fn handle_lost_response(
    history: &mut AttemptHistory,
    may_retry: bool,
    code: Code,
) -> Step {
    history.sent_attempts += 1;
    history.may_have_run = true;
    if may_retry {
        return Step::Retry;
    }
    Step::done(Answer::own(code, None))
}

/// Handles an attempt that the server refused without running the request.
fn handle_not_run(plan: &Plan, history: &mut AttemptHistory) -> Step {
    if history.sent_attempts < plan.route.max_attempts {
        return Step::Retry;
    }
    if history.may_have_run {
        return Step::done(Answer::own(Code::AnswerLost, None));
    }
    Step::done(Answer::own(Code::Refused, Some(DEFAULT_RETRY_AFTER)))
}

/// Handles the response of a server that ran the request. A 5xx response leads to a retry if one is
/// allowed and the body is complete.
fn handle_response(
    req: &Request,
    plan: &Plan,
    history: &mut AttemptHistory,
    mut slot: Slot,
    received: ReceivedResponse,
    elapsed: Duration,
    trace: &mut Trace,
) -> Step {
    let may_retry = plan.may_retry(history);
    let status = received.head.status;
    let failed = is_failure(status);
    let server = &slot.grant.server;
    if promises_not_run(status) {
        // The server does not state that it has not run the request.
        trace.record_refusal(server, "error", &received, elapsed);
    } else {
        trace.record_attempt(server, if failed { "error" } else { "answered" }, elapsed);
    }
    slot.set_outcome(if failed {
        Outcome::Failed
    } else {
        Outcome::Answered(elapsed)
    });
    let method = req.head.method.clone();
    history.sent_attempts += 1;
    history.may_have_run = true;
    if plan.route.binding && promises_not_run(status) {
        // Passed on, the status would promise that the request has not run.
        return Step::done(Answer::own(Code::AnswerLost, None));
    }
    let rest = received.rest.map(|(connection, body)| Rest {
        id: plan.id.clone(),
        address: received.address,
        connection,
        body,
        deadline_at: plan.deadline_at,
        _slot: Some(slot),
    });
    let complete = rest.is_none();
    let mut head = received.head;
    head.headers.retain(|h| !is_own_header(&h.name));
    let mut answer = Answer::passed_on(head, &method, received.body, rest);
    answer.memory = Some(received.memory);
    if failed && may_retry && complete {
        history.last_error = Some(answer);
        return Step::Retry;
    }
    Step::done(answer)
}
