//! Relaying of idempotent and deferrable requests to the servers of this domain, with retries and
//! hedging.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, Stream, io};
use http::codes::{self, Code};
use http::{Body, Response};
use limits::budget::{Backoff, RetryReason};
use routing::server::Outcome;

use crate::admission::{ExcludedServers, Slot};
use crate::exchange::{self, AnswerLimits, Attempt, NotRun};
use crate::node::Node;
use crate::request::{Meta, Outgoing};

/// Answers up to this size are read whole, so that a truncated one can be retried.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;
/// Most attempts for one request, without hedges.
const MAX_ATTEMPTS: u32 = 4;

/// Result of one attempt, which may have been hedged.
struct AttemptResult {
    attempt: Attempt,
    /// Slot of the server that gave the result; held until the answer has been forwarded.
    slot: Slot,
}

/// Serves an idempotent or deferrable request with the servers of this domain.
pub async fn serve(node: &Arc<Node>, meta: &Meta, outgoing: &Outgoing) -> Result<Response, Code> {
    let lost = OnceLock::new();
    serve_until_answered(node, meta, outgoing, &lost)
        .await
        // A later refusal says nothing about an earlier attempt that a server may have run.
        .map_err(|code| lost.get().copied().unwrap_or(code))
}

/// Makes attempts until one gives an answer. `lost` gets the code of the first attempt whose
/// outcome is unknown, if there is one.
async fn serve_until_answered(
    node: &Arc<Node>,
    meta: &Meta,
    outgoing: &Outgoing,
    lost: &OnceLock<Code>,
) -> Result<Response, Code> {
    let mut excluded_servers = ExcludedServers::new();
    let mut retries = 0;
    loop {
        let slot = acquire(node, meta, &excluded_servers).await?;
        let AttemptResult { attempt, mut slot } =
            attempt_hedged(node, meta, outgoing, slot, &mut excluded_servers, lost).await;
        let (reason, code) = match attempt {
            Attempt::Answer(res) => return Ok(forward_answer(*res, slot)),
            Attempt::NotRun(NotRun::Connect | NotRun::Withdrawn) => {
                (RetryReason::Connect, Code::NoServer)
            }
            Attempt::NotRun(NotRun::Shed) => (RetryReason::Shed, Code::ServersShed),
            Attempt::Unknown(code @ Code::AnswerTimeout) => (RetryReason::Timeout, code),
            Attempt::Unknown(code) => (RetryReason::Closed, code),
        };
        if let Attempt::Unknown(code) = attempt {
            lost.get_or_init(|| code);
        }
        match attempt {
            Attempt::NotRun(NotRun::Withdrawn) => {}
            Attempt::NotRun(NotRun::Shed) => slot.end(Outcome::Shed),
            _ => slot.end(Outcome::Failed),
        }
        let server = slot.server().clone();
        drop(slot);
        if !excluded_servers.contains(&server) {
            excluded_servers.push(server);
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

/// Waits for a slot; requests a loan from the peers if none is free at once.
pub async fn acquire(
    node: &Arc<Node>,
    meta: &Meta,
    excluded_servers: &ExcludedServers,
) -> Result<Slot, Code> {
    let waiting = node.admission.acquire(meta, excluded_servers.clone());
    let ask = async {
        futures_lite::future::yield_now().await;
        node.loans.request(&meta.service);
        futures_lite::future::pending().await
    };
    waiting.or(ask).await
}

/// Sends the request to one server and, after the hedge delay, to a second one.
///
/// The first attempt to finish cancels the other. A failed hedge is ignored, but `lost` records that
/// its server may have run the request.
async fn attempt_hedged(
    node: &Arc<Node>,
    meta: &Meta,
    outgoing: &Outgoing,
    slot: Slot,
    excluded_servers: &mut ExcludedServers,
    lost: &OnceLock<Code>,
) -> AttemptResult {
    excluded_servers.push(slot.server().clone());
    let Some(delay) = node.admission.hedge_delay(meta) else {
        return attempt_server(node, meta, outgoing, slot).await;
    };
    let first = attempt_server(node, meta, outgoing, slot);
    let second = async {
        runtime::sleep(delay).await;
        match node.admission.try_acquire(meta, excluded_servers) {
            Some(slot) => {
                metrics::counter!("retries_total", "reason" => "hedge", "result" => "granted")
                    .increment(1);
                let result = attempt_server(node, meta, outgoing, slot).await;
                if let Attempt::Unknown(code) = result.attempt {
                    lost.get_or_init(|| code);
                }
                if !matches!(result.attempt, Attempt::Answer(_)) {
                    futures_lite::future::pending::<()>().await;
                }
                result
            }
            None => futures_lite::future::pending().await,
        }
    };
    first.or(second).await
}

async fn attempt_server(
    node: &Arc<Node>,
    meta: &Meta,
    outgoing: &Outgoing,
    mut slot: Slot,
) -> AttemptResult {
    let remaining = meta.deadline.saturating_sub(node.now());
    let Some(tcp) = exchange::connect(node, slot.address, remaining).await else {
        return AttemptResult {
            attempt: Attempt::NotRun(NotRun::Connect),
            slot,
        };
    };
    if !slot.may_send() {
        return AttemptResult {
            attempt: Attempt::NotRun(NotRun::Withdrawn),
            slot,
        };
    }
    let remaining = meta.deadline.saturating_sub(node.now());
    let limits = AnswerLimits {
        max_body: node.settings.max_response_body,
        max_buffered: MAX_BUFFERED_ANSWER_BYTES,
    };
    let exchange = exchange::send_on(tcp, outgoing.build(remaining), remaining, limits);
    let cancelled = slot.cancelled.clone();
    let loan_ended = async {
        // Nothing is sent on the channel; it closes when the loan ends.
        let _ = cancelled.recv().await;
        metrics::counter!("loans_total", "result" => "ended").increment(1);
        Attempt::Unknown(Code::ConnectionLost)
    };
    let attempt = exchange.or(loan_ended).await;
    if matches!(attempt, Attempt::Answer(_)) {
        slot.end(Outcome::Answered);
    }
    AttemptResult { attempt, slot }
}

/// Forwards an answer; a body that was not buffered holds the slot until its last byte.
fn forward_answer(mut res: Response, slot: Slot) -> Response {
    let len = res.len();
    if len.is_some_and(|n| n as u64 <= MAX_BUFFERED_ANSWER_BYTES) {
        return res;
    }
    let held = SlotBody {
        body: res.take_body(),
        loan_end: Box::pin(slot.cancelled.clone()),
        _slot: Box::new(slot),
    };
    res.set_body(Body::from_reader(held, len));
    res
}

/// Body that is still arriving from a server and holds its slot.
struct SlotBody {
    body: Body,
    /// Closes when the loan of a borrowed slot ends.
    loan_end: Pin<Box<Receiver<()>>>,
    /// Slot of the server that sends the body.
    _slot: Box<Slot>,
}

impl SlotBody {
    /// Fails if the loan of the slot has ended.
    fn check_loan(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.loan_end.as_mut().poll_next(cx).is_ready() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for SlotBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.check_loan(cx)?;
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl AsyncBufRead for SlotBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        this.check_loan(cx)?;
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        Pin::new(&mut self.body).consume(amt);
    }
}

/// Builds a refusal without details of the servers tried.
pub fn refuse(code: Code) -> Response {
    codes::refusal(code, "")
}
