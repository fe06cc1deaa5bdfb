//! Sends of binding work: to servers of this failure domain, or to another one.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use http::codes::{self, Code};
use limits::budget::RetryReason;
use routing::server::Outcome;

use super::stored::Stored;
use crate::admission::{Avoid, Slot};
use crate::exchange::{self, AnswerLimits, Attempt, NotRun};
use crate::node::Node;
use crate::peer;
use crate::relay;
use crate::request::{Meta, Outgoing};
use crate::steer::{self, Target};

/// Longest answer to binding work in bytes.
const MAX_ANSWER: u64 = 4 << 20;
/// Servers tried for one attempt that surely did not run before.
const MAX_SERVERS_TRIED: usize = 4;

/// What the record of the work has to know about a send.
#[derive(Clone, Copy, Debug)]
pub enum SendEvent {
    /// The first byte is about to be written.
    About,
    /// The server surely did not run what was sent.
    NotExecuted,
}

/// Serves binding work that the owner in another failure domain sends here, once.
pub async fn serve_relayed(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Response {
    // The owner keeps the record. Here only the deadline and the shutdown forbid a send.
    let check = |node: &Node, event| match event {
        SendEvent::About if node.now() >= meta.deadline => Err(Code::DeadlinePassed),
        SendEvent::About if node.is_stopping() => Err(Code::Stopping),
        _ => Ok(()),
    };
    match Box::pin(send_once(node, &check, meta, outgoing)).await {
        Ok(stored) => stored.response(),
        Err(code) => codes::refusal(code, ""),
    }
}

/// Sends the request to one failure domain after the other until one may have run it.
pub async fn send(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<Stored, Code> {
    let _in_flight = node.steers.begin(&meta.service, outgoing.body().len());
    let mut code = Code::NoServer;
    for (i, target) in steer::route(node, meta).into_iter().enumerate() {
        if i > 0 {
            steer::count_spill(meta);
        }
        let result = match target {
            Target::Own => Box::pin(send_once(node, check, meta, outgoing)).await,
            Target::Other(_, address) => {
                Box::pin(send_elsewhere(node, check, meta, outgoing, address)).await
            }
        };
        match result {
            Err(refused) if steer::may_be_served_elsewhere(refused) => code = refused,
            result => return result,
        }
    }
    Err(code)
}

/// Sends the request to another failure domain.
async fn send_elsewhere(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
    address: SocketAddr,
) -> Result<Stored, Code> {
    check(node, SendEvent::About)?;
    match peer::relay_to(node, address, meta, outgoing).await {
        Ok(res) => from_elsewhere(node, meta, res).await,
        Err(code) => {
            check(node, SendEvent::NotExecuted)?;
            Err(code)
        }
    }
}

/// Reads the answer of another failure domain; its own refusals here mean an unknown outcome.
async fn from_elsewhere(node: &Node, meta: &Meta, res: Response) -> Result<Stored, Code> {
    let is_refusal = res.header(codes::CODE_HEADER).is_some();
    let stored = Stored::take(res, meta.deadline, node)
        .await
        .ok_or(Code::AnswerCut)?;
    if is_refusal {
        Err(Code::ConnectionLost)
    } else {
        Ok(stored)
    }
}

/// Sends the request to servers until one may have seen it.
async fn send_once(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<Stored, Code> {
    let mut avoid = Avoid::new();
    loop {
        let slot = relay::acquire(node, meta, &avoid).await?;
        let server = slot.server().clone();
        let not_run = match send_to(node, check, meta, outgoing, slot).await? {
            Ok(stored) => return Ok(stored),
            Err(not_run) => not_run,
        };
        check(node, SendEvent::NotExecuted)?;
        avoid.push(server);
        let (reason, code) = match not_run {
            NotRun::Connect => (RetryReason::Connect, Code::NoServer),
            NotRun::Shed => (RetryReason::Shed, Code::ServersShed),
        };
        if avoid.len() >= MAX_SERVERS_TRIED || !node.admission.may_retry(&meta.service, reason) {
            return Err(code);
        }
    }
}

/// Sends the request to one server.
///
/// The outer error ends the attempt; the inner one says that the server did not run it.
async fn send_to(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
    mut slot: Slot,
) -> Result<Result<Stored, NotRun>, Code> {
    let remaining = meta.deadline.saturating_sub(node.now());
    let Some(tcp) = exchange::connect(node, slot.address, remaining).await else {
        slot.end(Outcome::Failed);
        return Ok(Err(NotRun::Connect));
    };
    // The process may have been paused since the slot was taken: check again before the send.
    if !slot.may_send() {
        return Ok(Err(NotRun::Connect));
    }
    check(node, SendEvent::About)?;
    let remaining = meta.deadline.saturating_sub(node.now());
    let limits = AnswerLimits {
        max_body: MAX_ANSWER,
        buffered: MAX_ANSWER,
    };
    match exchange::send_on(tcp, outgoing.build(remaining), remaining, limits).await {
        Attempt::Answer(res) => {
            let stored = Stored::take(*res, meta.deadline, node).await;
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
