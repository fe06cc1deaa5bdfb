//! Relaying of requests that may run more than once.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, Stream, io};
use http::codes::{self, Code};
use http::{Body, Response};
use limits::budget::{Backoff, RetryReason};
use routing::server::Outcome;

use crate::admission::{Avoid, Slot};
use crate::exchange::{self, AnswerLimits, Attempt, NotRun};
use crate::node::Node;
use crate::request::{Meta, Outgoing};

/// Answers up to this many bytes are read whole, so that a cut one can be retried.
const BUFFERED_ANSWER: u64 = 64 << 10;
/// Servers tried for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Result of one try, which may have been hedged.
struct Tried {
    /// How it ended.
    attempt: Attempt,
    /// The slot, held until the answer has been passed on.
    slot: Slot,
}

/// Serves an idempotent or deferrable request from the servers of this domain.
pub async fn serve(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Result<Response, Code> {
    let mut avoid = Avoid::new();
    let mut retries = 0;
    loop {
        let slot = acquire(node, meta, &avoid).await?;
        let Tried { attempt, mut slot } = try_hedged(node, meta, outgoing, slot, &mut avoid).await;
        let (reason, code) = match attempt {
            Attempt::Answer(res) => return Ok(pass_on(*res, slot)),
            Attempt::NotRun(NotRun::Connect) => (RetryReason::Connect, Code::NoServer),
            Attempt::NotRun(NotRun::Shed) => (RetryReason::Shed, Code::ServersShed),
            Attempt::Unknown(code @ Code::AnswerTimeout) => (RetryReason::Timeout, code),
            Attempt::Unknown(code) => (RetryReason::Closed, code),
        };
        slot.end(if reason == RetryReason::Shed {
            Outcome::Shed
        } else {
            Outcome::Failed
        });
        let server = slot.server().clone();
        drop(slot);
        if !avoid.contains(&server) {
            avoid.push(server);
        }
        retries += 1;
        if retries >= MAX_ATTEMPTS || !node.admission.may_retry(&meta.service, reason) {
            return Err(code);
        }
        let mut rng = fastrand::Rng::new();
        let delay = Backoff::default().delay(retries - 1, node.now(), meta.deadline, &mut rng);
        let Some(delay) = delay else { return Err(code) };
        runtime::sleep(delay).await;
    }
}

/// Waits for a slot; asks the peers for one when it is not free at once.
pub async fn acquire(node: &Arc<Node>, meta: &Meta, avoid: &Avoid) -> Result<Slot, Code> {
    let waiting = node.admission.acquire(meta, avoid.clone());
    let ask = async {
        futures_lite::future::yield_now().await;
        node.loans.want(&meta.service);
        futures_lite::future::pending().await
    };
    waiting.or(ask).await
}

/// Tries one server, and a second one when the first is slow; the loser is cancelled.
async fn try_hedged(
    node: &Arc<Node>,
    meta: &Meta,
    outgoing: &Outgoing,
    slot: Slot,
    avoid: &mut Avoid,
) -> Tried {
    avoid.push(slot.server().clone());
    let Some(delay) = node.admission.hedge_delay(meta) else {
        return try_one(node, meta, outgoing, slot).await;
    };
    let first = try_one(node, meta, outgoing, slot);
    let second = async {
        runtime::sleep(delay).await;
        match node.admission.try_acquire(meta, avoid) {
            Some(slot) => {
                metrics::counter!("retries_total", "reason" => "hedge", "result" => "granted")
                    .increment(1);
                let tried = try_one(node, meta, outgoing, slot).await;
                if !matches!(tried.attempt, Attempt::Answer(_)) {
                    futures_lite::future::pending::<()>().await;
                }
                tried
            }
            None => futures_lite::future::pending().await,
        }
    };
    first.or(second).await
}

async fn try_one(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing, mut slot: Slot) -> Tried {
    let remaining = meta.deadline.saturating_sub(node.now());
    let Some(tcp) = exchange::connect(node, slot.address, remaining).await else {
        return Tried {
            attempt: Attempt::NotRun(NotRun::Connect),
            slot,
        };
    };
    let remaining = meta.deadline.saturating_sub(node.now());
    let limits = AnswerLimits {
        max_body: node.settings.max_response_body,
        buffered: BUFFERED_ANSWER,
    };
    let exchange = exchange::send_on(tcp, outgoing.build(remaining), remaining, limits);
    let cancelled = slot.cancelled.clone();
    let lease_ended = async {
        // The channel only closes.
        let _ = cancelled.recv().await;
        metrics::counter!("loans_total", "result" => "ended").increment(1);
        Attempt::Unknown(Code::ConnectionLost)
    };
    let attempt = exchange.or(lease_ended).await;
    if matches!(attempt, Attempt::Answer(_)) {
        slot.end(Outcome::Answered);
    }
    Tried { attempt, slot }
}

/// Passes an answer on; the slot is held until its last byte.
fn pass_on(mut res: Response, slot: Slot) -> Response {
    let len = res.len();
    if len.is_some_and(|n| n as u64 <= BUFFERED_ANSWER) {
        return res;
    }
    let held = HeldBody {
        body: res.take_body(),
        lease_end: Box::pin(slot.cancelled.clone()),
        _slot: Box::new(slot),
    };
    res.set_body(Body::from_reader(held, len));
    res
}

/// Body of an answer that still occupies a slot.
struct HeldBody {
    /// Body.
    body: Body,
    /// Closes when the slot was borrowed and its lease ends.
    lease_end: Pin<Box<Receiver<()>>>,
    /// Slot of the server that sends it.
    _slot: Box<Slot>,
}

impl HeldBody {
    /// Fails when the lease of the slot has ended.
    fn check_lease(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.lease_end.as_mut().poll_next(cx).is_ready() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.check_lease(cx)?;
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl AsyncBufRead for HeldBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        this.check_lease(cx)?;
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        Pin::new(&mut self.body).consume(amt);
    }
}

/// Refuses with a code that tells nothing about the servers tried.
pub fn refuse(code: Code) -> Response {
    codes::refusal(code, "")
}
