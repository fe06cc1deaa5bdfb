//! Sending of binding work to servers of this failure domain or to other failure domains.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use http::codes::{self, Code};
use limits::budget::RetryReason;
use routing::server::Outcome;

use super::stored::StoredAnswer;
use crate::admission::{ExcludedServers, Slot};
use crate::exchange::{self, AnswerLimits, Attempt, NotRun};
use crate::node::Node;
use crate::peer;
use crate::relay;
use crate::request::{Meta, Outgoing};
use crate::steer::{self, Target};

/// Longest body of an answer to binding work.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// Most servers tried for one attempt; another is tried only if the earlier ones certainly did not
/// run the request.
const MAX_SERVERS_TRIED: usize = 4;

/// Event of a send that the record of the work must be updated with.
#[derive(Clone, Copy, Debug)]
pub enum SendEvent {
    /// The first byte is about to be written.
    BeforeSend,
    /// It is certain that the server did not run the request.
    NotExecuted,
}

/// Serves binding work that its owner in another failure domain relays to this one.
pub async fn serve_relayed(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Response {
    // The owner keeps the record, so only the deadline or a shutdown can forbid a send here.
    let check = |node: &Node, event| match event {
        SendEvent::BeforeSend if node.now() >= meta.deadline => Err(Code::DeadlinePassed),
        SendEvent::BeforeSend if node.is_stopping() => Err(Code::Stopping),
        _ => Ok(()),
    };
    match Box::pin(send_in_domain(node, &check, meta, outgoing)).await {
        Ok(stored) => stored.response(),
        Err(code) => codes::refusal(code, ""),
    }
}

/// Sends the request to its target domains in order, until one may have run it.
pub async fn send(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<StoredAnswer, Code> {
    let _in_flight = node.steering.begin(&meta.service, outgoing.body().len());
    let mut code = Code::NoServer;
    for (i, target) in steer::route(node, meta).into_iter().enumerate() {
        if i > 0 {
            steer::count_spill(meta);
        }
        let result = match target {
            Target::Own => Box::pin(send_in_domain(node, check, meta, outgoing)).await,
            Target::Other(_, address) => {
                Box::pin(send_to_other_domain(node, check, meta, outgoing, address)).await
            }
        };
        match result {
            Err(refused) if steer::other_domain_may_serve(refused) => code = refused,
            result => return result,
        }
    }
    Err(code)
}

/// Relays the request to another failure domain.
async fn send_to_other_domain(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
    address: SocketAddr,
) -> Result<StoredAnswer, Code> {
    check(node, SendEvent::BeforeSend)?;
    match peer::relay_to(node, address, meta, outgoing).await {
        Ok(res) => read_other_domain_answer(node, meta, res).await,
        Err(code) => {
            check(node, SendEvent::NotExecuted)?;
            Err(code)
        }
    }
}

/// Reads the answer of another failure domain. A refusal by its entry VM that arrives here means an
/// unknown outcome.
async fn read_other_domain_answer(
    node: &Node,
    meta: &Meta,
    res: Response,
) -> Result<StoredAnswer, Code> {
    let is_refusal = res.header(codes::CODE_HEADER).is_some();
    let stored = StoredAnswer::read(res, meta.deadline, node)
        .await
        .ok_or(Code::AnswerCut)?;
    if is_refusal {
        Err(Code::ConnectionLost)
    } else {
        Ok(stored)
    }
}

/// Sends the request to servers of this domain until one may have run it.
async fn send_in_domain(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<StoredAnswer, Code> {
    let mut excluded_servers = ExcludedServers::new();
    loop {
        let slot = relay::acquire(node, meta, &excluded_servers).await?;
        let server = slot.server().clone();
        let not_run = match send_to_server(node, check, meta, outgoing, slot).await? {
            Ok(stored) => return Ok(stored),
            Err(not_run) => not_run,
        };
        check(node, SendEvent::NotExecuted)?;
        excluded_servers.push(server);
        let (reason, code) = match not_run {
            NotRun::Connect | NotRun::Withdrawn => (RetryReason::Connect, Code::NoServer),
            NotRun::Shed => (RetryReason::Shed, Code::ServersShed),
        };
        if excluded_servers.len() >= MAX_SERVERS_TRIED
            || !node.admission.may_retry(&meta.service, reason)
        {
            return Err(code);
        }
    }
}

/// Sends the request to one server.
///
/// The outer error ends the attempt; the inner one means that the server did not run the request.
async fn send_to_server(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
    mut slot: Slot,
) -> Result<Result<StoredAnswer, NotRun>, Code> {
    let remaining = meta.deadline.saturating_sub(node.now());
    let Some(tcp) = exchange::connect(node, slot.address, remaining).await else {
        slot.end(Outcome::Failed);
        return Ok(Err(NotRun::Connect));
    };
    // The process may have been paused since the slot was acquired, so this is checked again right
    // before the send.
    if !slot.may_send() {
        return Ok(Err(NotRun::Withdrawn));
    }
    check(node, SendEvent::BeforeSend)?;
    let remaining = meta.deadline.saturating_sub(node.now());
    let limits = AnswerLimits {
        max_body: MAX_ANSWER_BYTES,
        max_buffered: MAX_ANSWER_BYTES,
    };
    match exchange::send_on(tcp, outgoing.build(remaining), remaining, limits).await {
        Attempt::Answer(res) => {
            let stored = StoredAnswer::read(*res, meta.deadline, node).await;
            slot.end(if stored.is_some() {
                Outcome::Answered
            } else {
                Outcome::Failed
            });
            stored.map(Ok).ok_or(Code::AnswerCut)
        }
        Attempt::NotRun(not_run) => {
            slot.end(Outcome::Shed);
            Ok(Err(not_run))
        }
        Attempt::Unknown(code) => {
            slot.end(Outcome::Failed);
            Err(code)
        }
    }
}
