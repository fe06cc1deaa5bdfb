//! Forwarding of requests to entry VMs of other regions, and of this one while it does not reach the
//! servers itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::attempt::{Step, handle_lost_response};
use super::encode::encode;
use super::trace::Trace;
use super::{AttemptHistory, MIN_SENT_DEADLINE, Plan, Request};
use crate::answer::{Answer, Rest};
use crate::codes::{Code, NOT_RUN, OUTCOME_HEADER, promises_not_run};
use crate::exchange::{Failure, OutgoingRequest, ReceivedResponse, connect, exchange};
use crate::node::Node;

/// Time limit for opening a connection to another region: a round trip between regions in addition
/// to the limit within a region.
const FORWARD_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Forwards the request to the entry VM `peer` in `region`.
pub(super) async fn forward(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    history: &mut AttemptHistory,
    region: &str,
    peer: SocketAddr,
    trace: &mut Trace,
) -> Step {
    let start = node.now();
    let remaining = plan.deadline_at.saturating_sub(start);
    history.forwarded = true;
    let sent = AtomicBool::new(false);
    let mut result = runtime::timeout(remaining, send(node, req, plan, peer, &sent)).await;
    if result.is_none() && !sent.load(Ordering::Relaxed) {
        result = Some(Err(Failure::Withdrawn));
    }
    let elapsed = node.now().saturating_sub(start);
    match result {
        Some(Ok(received)) => {
            let not_run = received.head.get(OUTCOME_HEADER) == Some(NOT_RUN);
            if not_run {
                trace.record_refusal(region, "forward_refused", &received, elapsed);
            } else {
                trace.record_attempt(region, "forwarded", elapsed);
            }
            let same_region = *region == *node.settings().region;
            if not_run && history.sent_attempts == 0 && !same_region {
                // This region may have a slot by now.
                return Step::Retry;
            }
            if plan.route.binding && !not_run && promises_not_run(received.head.status) {
                // The answer of a server, of which the other entry VM could not know this.
                return handle_lost_response(history, false, Code::AnswerLost);
            }
            let rest = received.rest.map(|(connection, body)| Rest {
                id: plan.id.clone(),
                address: received.address,
                connection,
                body,
                deadline_at: plan.deadline_at,
                _slot: None,
            });
            let method = &req.head.method;
            let mut answer = Answer::passed_on(received.head, method, received.body, rest);
            answer.memory = Some(received.memory);
            Step::done(answer)
        }
        Some(Err(Failure::Unreachable(e))) => {
            trace.record_failure(region, "forward_unreachable", &e.to_string(), elapsed);
            Step::Retry
        }
        Some(Err(Failure::Withdrawn)) => {
            trace.record_attempt(region, "forward_withdrawn", elapsed);
            Step::Retry
        }
        Some(Err(Failure::Lost(e))) => {
            trace.record_failure(region, "forward_lost", &e.to_string(), elapsed);
            // The other region may have used all attempts that the route allows.
            handle_lost_response(history, false, Code::AnswerLost)
        }
        None => {
            trace.record_attempt(region, "forward_silent", elapsed);
            handle_lost_response(history, false, Code::Timeout)
        }
    }
}

/// Connects to an entry VM and sends the request. `sent` is set before the first byte is written.
async fn send(
    node: &Arc<Node>,
    req: &Request,
    plan: &Plan,
    peer: SocketAddr,
    sent: &AtomicBool,
) -> Result<ReceivedResponse, Failure> {
    let limit = FORWARD_CONNECT_TIMEOUT.min(plan.remaining(node));
    let connection = connect(
        peer,
        &req.head.method,
        &plan.id,
        limit,
        plan.max_idle(),
        &node.idle,
        node.now(),
    )
    .await?;
    let remaining = plan.remaining(node);
    if remaining < MIN_SENT_DEADLINE {
        return Err(Failure::Withdrawn);
    }
    let (bytes, body) = encode(node, req, plan, None, remaining);
    let outgoing = OutgoingRequest {
        address: peer,
        method: &req.head.method,
        id: &plan.id,
        bytes,
        body,
        require_signature: false,
    };
    let names = &node.dialect.headers;
    sent.store(true, Ordering::Relaxed);
    let budget = &node.body_memory;
    exchange(connection, &outgoing, names, &node.idle, budget, || {
        node.now()
    })
    .await
}
