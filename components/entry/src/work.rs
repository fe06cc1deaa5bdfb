//! Binding work: each ticket or key is executed at most once.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use binding::{
    Begin, Ending, Permit, RecordLimits, Records, SendRefusal, Ticket, Verdict, Work, WorkId,
    request_digest,
};
use http::codes::{self, Code, Refusal};
use http::{Body, Response, StatusCode};
use limits::budget::Reason;
use routing::server::Outcome;

use crate::admission::{Avoid, Slot};
use crate::exchange::{self, AnswerLimits, Attempt, NotRun};
use crate::node::Node;
use crate::request::{Meta, Outgoing, WorkIdentity};
use crate::{peer, steer};

/// Longest answer to binding work in bytes.
const MAX_ANSWER: u64 = 4 << 20;
/// Servers tried for one attempt that surely did not run before.
const MAX_SERVERS_TRIED: usize = 4;

/// A server's complete answer, kept for retries of the caller.
#[derive(Debug)]
pub struct Stored {
    /// HTTP status.
    status: u16,
    /// Headers.
    headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    body: Vec<u8>,
}

/// How an execution ended for the callers that wait for it.
#[derive(Clone, Debug)]
enum End {
    /// The server answered.
    Answer(Arc<Stored>),
    /// Refusal or unknown outcome.
    Code(Code),
}

/// Why a request starts or joins no execution.
enum NotStarted {
    /// An earlier attempt was answered.
    Answered(Arc<Stored>),
    /// Refused.
    Refused(Refusal),
}

/// An execution in progress.
#[derive(Debug)]
struct Execution {
    /// Closes when the execution has ended.
    done: Receiver<()>,
    /// How it ended.
    end: OnceLock<End>,
}

/// Records and executions in progress.
#[derive(Debug)]
pub struct WorkState {
    /// At-most-once records.
    pub records: Records<Arc<Stored>>,
    /// Executions in progress.
    executions: HashMap<WorkId, Arc<Execution>>,
}

impl Default for WorkState {
    fn default() -> Self {
        WorkState {
            records: Records::new(RecordLimits::default()),
            executions: HashMap::new(),
        }
    }
}

/// Serves a binding request.
pub async fn serve(node: &Arc<Node>, meta: Meta, outgoing: Outgoing) -> Response {
    match meta.identity.clone() {
        None => codes::refusal(Code::NoTicketOrKey, "look up the service to get a ticket"),
        Some(WorkIdentity::Ticket(text)) => serve_ticket(node, meta, outgoing, &text).await,
        Some(WorkIdentity::Key(_)) => codes::refusal(
            Code::PlatformUnreachable,
            "keys cannot be claimed by this entry VM",
        ),
    }
}

async fn serve_ticket(node: &Arc<Node>, meta: Meta, outgoing: Outgoing, text: &str) -> Response {
    let Ok(ticket) = Ticket::decode(text) else {
        return codes::refusal(Code::TicketForged, "the ticket cannot be decoded");
    };
    match ticket.verify(&node.keys, &meta.service, &node.identity, node.now()) {
        // An expired ticket may still have a record with its answer.
        Verdict::Mine | Verdict::Expired => {
            let work = Work {
                id: WorkId::Ticket(ticket.nonce),
                digest: digest(&outgoing),
                expires: ticket.expires(),
                deadline: meta.deadline,
                claimed: false,
            };
            execute(node, work, meta, outgoing).await
        }
        Verdict::OtherOwner(owner, _) => peer::forward_to_owner(node, &owner, meta, outgoing).await,
        Verdict::OtherIncarnation => codes::refusal(
            Code::OwnerGone,
            "the entry VM has restarted since the look-up",
        ),
        Verdict::Forged => codes::refusal(Code::TicketForged, "the keyed hash does not match"),
        Verdict::WrongService => {
            codes::refusal(Code::TicketForged, "the ticket is for another service")
        }
    }
}

fn digest(outgoing: &Outgoing) -> binding::RequestDigest {
    request_digest(
        outgoing.method().as_ref(),
        &outgoing.path(),
        outgoing.body(),
    )
}

/// Executes work once, or joins the execution in progress.
pub async fn execute(node: &Arc<Node>, work: Work, meta: Meta, outgoing: Outgoing) -> Response {
    let execution = match begin(node, &work, meta, outgoing) {
        Ok(execution) => execution,
        Err(NotStarted::Answered(stored)) => return stored.response(),
        Err(NotStarted::Refused(refusal)) => return refusal.response(),
    };
    let remaining = work.deadline.saturating_sub(node.now());
    // The channel closes at the end; nothing is ever sent on it.
    let ended = runtime::timeout(remaining, execution.done.recv())
        .await
        .is_some();
    match execution.end.get() {
        Some(End::Answer(stored)) => stored.response(),
        Some(End::Code(code)) => codes::refusal(*code, ""),
        None if ended => codes::refusal(Code::OutcomeUnknown, "the execution was cancelled"),
        None => codes::refusal(Code::AnswerTimeout, "retry with the same ticket or key"),
    }
}

fn begin(
    node: &Arc<Node>,
    work: &Work,
    meta: Meta,
    outgoing: Outgoing,
) -> Result<Arc<Execution>, NotStarted> {
    let now = node.now();
    let mut state = node.lock_work();
    let (code, detail) = match state.records.begin(work, now) {
        Begin::Run(permit) => {
            let (tx, rx) = async_channel::bounded(1);
            let execution = Arc::new(Execution {
                done: rx,
                end: OnceLock::new(),
            });
            state.executions.insert(work.id, execution.clone());
            // The execution goes on when the caller leaves, so that a retry gets the answer.
            let task = run(node.clone(), permit, meta, outgoing, execution.clone(), tx);
            runtime::spawn(task).detach();
            return Ok(execution);
        }
        Begin::Running => match state.executions.get(&work.id) {
            Some(execution) => return Ok(execution.clone()),
            None => (Code::OutcomeUnknown, "the execution was cancelled"),
        },
        Begin::Answered(stored) => {
            metrics::counter!("binding_answers_replayed_total").increment(1);
            return Err(NotStarted::Answered(stored));
        }
        Begin::Unknown => (Code::OutcomeUnknown, "retries cannot settle it"),
        Begin::NotRun => (Code::DeadlinePassed, "the ticket can no longer be executed"),
        Begin::DigestMismatch => (Code::TicketReused, "look up another ticket"),
        Begin::Full => (
            Code::RecordsFull,
            "try another entry VM with another ticket",
        ),
        Begin::Stopping => (Code::Stopping, "try another entry VM with another ticket"),
        Begin::Expired => (
            Code::TicketExpired,
            "the ticket expired before this request",
        ),
    };
    Err(NotStarted::Refused(Refusal::new(code, detail)))
}

/// Runs one attempt to its end, whatever the caller does meanwhile.
async fn run(
    node: Arc<Node>,
    permit: Permit,
    meta: Meta,
    outgoing: Outgoing,
    execution: Arc<Execution>,
    done: Sender<()>,
) {
    let id = permit.id();
    let check = |node: &Node, event| check_send(node, &permit, event);
    let mut result = Box::pin(send_once(&node, &check, &meta, &outgoing)).await;
    if let Err(code) = result
        && steer::may_be_served_elsewhere(code)
    {
        result = Box::pin(send_elsewhere(&node, &check, &meta, &outgoing, code)).await;
    }
    let now = node.now();
    let mut state = node.lock_work();
    let end = match result {
        Ok(stored) => {
            let bytes = stored.body.len();
            let stored = Arc::new(stored);
            if state.records.answered(permit, stored.clone(), bytes, now) != Ending::Answered {
                metrics::counter!("binding_answers_not_kept_total").increment(1);
            }
            End::Answer(stored)
        }
        Err(code) if code.outcome() == codes::Outcome::NotRun => {
            match state.records.not_run(permit, now) {
                Ending::NotRun => End::Code(code),
                _ => End::Code(Code::OutcomeUnknown),
            }
        }
        Err(code) => {
            state.records.unknown(permit, now);
            End::Code(code)
        }
    };
    state.executions.remove(&id);
    // Set before the channel closes, so that every waiter finds it.
    let _ = execution.end.set(end);
    drop(done);
}

/// What the record of the work has to know about a send.
#[derive(Clone, Copy, Debug)]
enum SendEvent {
    /// The first byte is about to be written.
    About,
    /// The server surely did not run what was sent.
    NotExecuted,
}

/// Tells the record of the work about a send; an error forbids it.
fn check_send(node: &Node, permit: &Permit, event: SendEvent) -> Result<(), Code> {
    let mut state = node.lock_work();
    match event {
        SendEvent::About => state
            .records
            .about_to_send(permit, node.now())
            .map_err(code_of),
        SendEvent::NotExecuted => {
            state.records.surely_not_executed(permit);
            Ok(())
        }
    }
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

/// Sends the request to another failure domain.
async fn send_elsewhere(
    node: &Arc<Node>,
    check: &(impl Fn(&Node, SendEvent) -> Result<(), Code> + Sync),
    meta: &Meta,
    outgoing: &Outgoing,
    mut code: Code,
) -> Result<Stored, Code> {
    for address in steer::other_domains(node, meta) {
        check(node, SendEvent::About)?;
        match peer::relay_to(node, address, meta, outgoing).await {
            Ok(res) => return from_elsewhere(node, meta, res).await,
            Err(other) => code = other,
        }
        check(node, SendEvent::NotExecuted)?;
    }
    Err(code)
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
        let slot = node.admission.acquire(meta, avoid.clone()).await?;
        let server = slot.server().clone();
        let not_run = match send_to(node, check, meta, outgoing, slot).await? {
            Ok(stored) => return Ok(stored),
            Err(not_run) => not_run,
        };
        check(node, SendEvent::NotExecuted)?;
        avoid.push(server);
        let (reason, code) = match not_run {
            NotRun::Connect => (Reason::Connect, Code::NoServer),
            NotRun::Shed => (Reason::Shed, Code::ServersShed),
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
    let Some(tcp) = exchange::connect(slot.address, remaining).await else {
        slot.end(Outcome::Failed);
        return Ok(Err(NotRun::Connect));
    };
    // The process may have been paused since the slot was taken: check again before the send.
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

fn code_of(refusal: SendRefusal) -> Code {
    match refusal {
        SendRefusal::Stopping => Code::Stopping,
        SendRefusal::Expired | SendRefusal::DeadlinePassed => Code::DeadlinePassed,
        SendRefusal::AlreadySent | SendRefusal::NoRecord => Code::OutcomeUnknown,
    }
}

impl Stored {
    /// Reads the whole answer; `None` when it is cut or late.
    async fn take(mut res: Response, deadline: Duration, node: &Node) -> Option<Stored> {
        let remaining = deadline.saturating_sub(node.now());
        let body = runtime::timeout(remaining, res.body_bytes()).await?.ok()?;
        let headers = res
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "content-length" | "transfer-encoding"))
            .flat_map(|(name, values)| {
                values
                    .iter()
                    .map(|v| (name.as_str().into(), v.as_str().into()))
            })
            .collect();
        Some(Stored {
            status: res.status().into(),
            headers,
            body,
        })
    }

    /// Builds the response for a caller.
    fn response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::BadGateway);
        let mut res = Response::new(status);
        res.set_body(Body::from_bytes(self.body.clone()));
        res.remove_header("content-type");
        for (name, value) in &self.headers {
            res.append_header(&**name, &**value);
        }
        res
    }
}
