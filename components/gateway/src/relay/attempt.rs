//! Attempts at servers.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dispatch::Outcome;
use futures_lite::FutureExt;
use smallvec::SmallVec;

use super::encode::encode;
use super::trace::Trace;
use super::{MAX_UNREACHABLE, Plan, Request, SHORT_RETRY, Tried};
use crate::answer::{Answer, Rest};
use crate::codes::Code;
use crate::dispatcher::{Admission, Slot, SlotRequest};
use crate::exchange::{Failure, Outgoing, Received, exchange};
use crate::node::Node;

/// Time for opening a connection within a region; a lost first packet is not waited for.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest idle time of a connection on which a binding request is sent. A server that closes the
/// connection meanwhile would leave its outcome unknown.
pub(super) const BINDING_IDLE: Duration = Duration::from_secs(1);
/// Least time after which an attempt counts as slow; delays of the network do not.
const LEAST_SLOW: Duration = Duration::from_millis(50);
/// Tries to find a spare slot for a second attempt in that time.
const SPARE_TRIES: u32 = 4;

/// What follows an attempt.
pub(super) enum Step {
    /// The caller gets this answer.
    Done(Box<Answer>),
    /// Another attempt is made, if it is admitted.
    Again,
}

impl Step {
    pub fn done(answer: Answer) -> Self {
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
    let slow_after = slow_after(slot.grant.slow_after, again, left);
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
            runtime::sleep(slow_after / SPARE_TRIES).await;
        };
        sent_second.store(true, Ordering::Relaxed);
        metrics::counter!("gateway_hedges_total").increment(1);
        log::info!(
            "event=hedge id={} first={} second={} slow_after_ms={}",
            plan.id,
            avoid.last().map_or("", |s| s),
            slot.grant.server,
            slow_after.as_millis()
        );
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
        slot.set_outcome(Outcome::Slow);
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
            slot.set_outcome(Outcome::TimedOut);
            lost(tried, false, Code::Timeout)
        }
    }
}

/// Time after which an idempotent request is also sent to another server; all of `left` if there is
/// no time or no attempt left for it.
fn slow_after(slow: Duration, again: bool, left: Duration) -> Duration {
    let slow = slow.max(LEAST_SLOW);
    if again && slow.mul_f64(1.5) < left {
        slow
    } else {
        left
    }
}

pub(super) fn lost(tried: &mut Tried, again: bool, code: Code) -> Step {
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
    trace.attempt(
        &slot.grant.server,
        if failed { "error" } else { "answered" },
        took,
    );
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
        _slot: Some(slot),
    });
    let complete = rest.is_none();
    let answer = Answer::passed_on(received.head, &method, received.body, rest);
    if failed && again && complete {
        tried.last = Some(answer);
        return Step::Again;
    }
    Step::done(answer)
}
