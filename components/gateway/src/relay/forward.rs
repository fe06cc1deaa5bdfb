//! Requests that are passed on to an entry VM of another region.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::attempt::{BINDING_IDLE, Step, lost};
use super::encode::encode;
use super::trace::Trace;
use super::{Plan, Request, Tried};
use crate::answer::{Answer, Rest};
use crate::codes::{Code, NOT_RUN, OUTCOME_HEADER};
use crate::exchange::{Failure, Outgoing, exchange};
use crate::node::Node;

/// Time for opening a connection to another region: one round trip and the same allowance.
const FAR_CONNECT_LIMIT: Duration = Duration::from_millis(400);

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
    let result =
        runtime::timeout(left, exchange(&outgoing, names, &node.idle, || node.now())).await;
    let took = node.now().saturating_sub(now);
    match result {
        Some(Ok(received)) => {
            let not_run = received.head.get(OUTCOME_HEADER) == Some(NOT_RUN);
            trace.attempt(
                region,
                if not_run {
                    "forward_refused"
                } else {
                    "forwarded"
                },
                took,
            );
            if not_run && tried.sends == 0 {
                // The own region may have a slot by now.
                return Step::Again;
            }
            let rest = received.rest.map(|(connection, body)| Rest {
                connection,
                body,
                _slot: None,
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
            // The other region may have sent it to as many servers as the route allows.
            lost(tried, false, Code::AnswerLost)
        }
        None => {
            trace.attempt(region, "forward_silent", took);
            lost(tried, false, Code::Timeout)
        }
    }
}
