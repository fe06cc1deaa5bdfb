//! Binding work: the request of each ticket or key is executed at most once.

mod send;
mod stored;

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use binding::{
    AttemptOutcome, BeginResult, ClaimOutcome, ClaimRefusal, ExecutionPermit, RecordLimits,
    Records, SendRefusal, Ticket, TicketStatus, Work, WorkId, request_digest,
};
use http::Response;
use http::codes::{self, Code, Refusal};

use crate::node::Node;
use crate::request::{Meta, Outgoing, WorkIdentity};
use crate::{claims, peer};
use send::{SendEvent, send};
use stored::StoredAnswer;

pub use send::serve_relayed;

/// Time within which the work of a caller's key may start; the claim in the table outlasts it.
const KEY_LIFETIME: Duration = Duration::from_secs(10);
/// Time after the deadline in which an execution that ran into it can report its result. Without
/// this margin, callers would get "unknown" for work that was never sent.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// Result of an execution, for the callers that wait for it.
#[derive(Clone, Debug)]
enum ExecutionResult {
    /// The server answered.
    Answer(Arc<StoredAnswer>),
    /// Refusal or unknown outcome.
    Code(Code),
}

/// Reason why a request neither starts nor joins an execution.
enum NotStarted {
    /// An earlier attempt was answered.
    Answered(Arc<StoredAnswer>),
    /// The record of the work does not allow an execution.
    Refused(Refusal),
}

/// An execution in progress.
#[derive(Debug)]
struct Execution {
    /// Closes when the execution has ended.
    done: Receiver<()>,
    /// Set before `done` closes; not set if the execution was cancelled.
    result: OnceLock<ExecutionResult>,
}

/// State of the binding work of this process.
#[derive(Debug)]
pub struct WorkState {
    /// Records that ensure at-most-once execution.
    pub records: Records<Arc<StoredAnswer>>,
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
        Some(WorkIdentity::Key(key)) => {
            let work = Work {
                id: WorkId::from_key(&meta.service, &meta.house, &key),
                digest: digest(&outgoing),
                expires: node.now() + KEY_LIFETIME,
                deadline: meta.deadline,
                claimed: false,
            };
            execute(node, work, meta, outgoing).await
        }
    }
}

async fn serve_ticket(node: &Arc<Node>, meta: Meta, outgoing: Outgoing, text: &str) -> Response {
    let Ok(ticket) = Ticket::decode(text) else {
        return codes::refusal(Code::TicketForged, "the ticket cannot be decoded");
    };
    match ticket.verify(&node.keys, &meta.service, &node.identity, node.now()) {
        // An expired ticket may still have a record with its answer.
        TicketStatus::Owned | TicketStatus::Expired => {
            let work = Work {
                id: WorkId::Ticket(ticket.nonce),
                digest: digest(&outgoing),
                expires: ticket.expires(),
                deadline: meta.deadline,
                claimed: false,
            };
            execute(node, work, meta, outgoing).await
        }
        TicketStatus::OtherOwner(owner, _) => {
            peer::forward_to_owner(node, &owner, meta, outgoing).await
        }
        TicketStatus::OtherIncarnation => codes::refusal(
            Code::OwnerGone,
            "the entry VM has restarted since the look-up",
        ),
        TicketStatus::Forged => codes::refusal(Code::TicketForged, "the keyed hash does not match"),
        TicketStatus::WrongService => {
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
    let remaining = (work.deadline + REPORT_MARGIN).saturating_sub(node.now());
    // Nothing is sent on the channel; it closes when the execution ends.
    let ended = runtime::timeout(remaining, execution.done.recv())
        .await
        .is_some();
    match execution.result.get() {
        Some(ExecutionResult::Answer(stored)) => stored.response(),
        Some(ExecutionResult::Code(code)) => codes::refusal(*code, ""),
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
        BeginResult::Run(permit) => {
            let (tx, rx) = async_channel::bounded(1);
            let execution = Arc::new(Execution {
                done: rx,
                result: OnceLock::new(),
            });
            state.executions.insert(work.id, execution.clone());
            // The execution continues if the caller disconnects, so that a retry gets the answer.
            let task = run(node.clone(), permit, meta, outgoing, execution.clone(), tx);
            runtime::spawn(task).detach();
            return Ok(execution);
        }
        BeginResult::Running => match state.executions.get(&work.id) {
            Some(execution) => return Ok(execution.clone()),
            None => (Code::OutcomeUnknown, "the execution was cancelled"),
        },
        BeginResult::Answered(stored) => {
            metrics::counter!("binding_answers_replayed_total").increment(1);
            return Err(NotStarted::Answered(stored));
        }
        BeginResult::Unknown => (Code::OutcomeUnknown, "retries cannot settle it"),
        BeginResult::NotRun => (Code::DeadlinePassed, "the ticket can no longer be executed"),
        BeginResult::DigestMismatch => (Code::TicketReused, "look up another ticket"),
        BeginResult::Full => (
            Code::RecordsFull,
            "try another entry VM with another ticket",
        ),
        BeginResult::Stopping => (Code::Stopping, "try another entry VM with another ticket"),
        BeginResult::Expired => (
            Code::TicketExpired,
            "the ticket expired before this request",
        ),
    };
    Err(NotStarted::Refused(Refusal::new(code, detail)))
}

/// Runs one attempt to its end, even if the caller disconnects.
async fn run(
    node: Arc<Node>,
    permit: ExecutionPermit,
    meta: Meta,
    outgoing: Outgoing,
    execution: Arc<Execution>,
    done: Sender<()>,
) {
    let id = permit.id();
    let attempt_result = match claim(&node, &permit, &meta).await {
        Ok(()) => {
            let check = |node: &Node, event| record_send_event(node, &permit, event);
            Box::pin(send(&node, &check, &meta, &outgoing)).await
        }
        Err(ClaimFailure::Code(code)) => Err(code),
        Err(ClaimFailure::HeldBy(vm)) => {
            // Nothing was executed here; the holder of the claim has the answer.
            let result = fetch_from_holder(&node, &vm, &meta, &outgoing).await;
            let mut state = node.lock_work();
            state.records.finish_not_run(permit, node.now());
            state.executions.remove(&id);
            let _ = execution.result.set(result);
            return;
        }
    };
    let now = node.now();
    let mut state = node.lock_work();
    let result = match attempt_result {
        Ok(stored) => {
            let bytes = stored.body.len();
            let stored = Arc::new(stored);
            if state
                .records
                .finish_answered(permit, stored.clone(), bytes, now)
                != AttemptOutcome::Answered
            {
                metrics::counter!("binding_answers_not_kept_total").increment(1);
            }
            ExecutionResult::Answer(stored)
        }
        Err(code) if code.outcome() == codes::ExecutionStatus::NotRun => {
            match state.records.finish_not_run(permit, now) {
                AttemptOutcome::NotRun => ExecutionResult::Code(code),
                _ => ExecutionResult::Code(Code::OutcomeUnknown),
            }
        }
        Err(code) => {
            state.records.finish_unknown(permit, now);
            ExecutionResult::Code(code)
        }
    };
    state.executions.remove(&id);
    // The result is set before the channel closes, so that every waiting caller finds it.
    let _ = execution.result.set(result);
    drop(done);
}

/// Reason why this process must not execute the work of a caller's key.
enum ClaimFailure {
    /// Refusal or unknown outcome.
    Code(Code),
    /// The process on this other entry VM holds the claim of the key.
    HeldBy(config::EntryVmId),
}

/// Claims the key of the work in the table service; tickets need no claim.
async fn claim(
    node: &Arc<Node>,
    permit: &ExecutionPermit,
    meta: &Meta,
) -> Result<(), ClaimFailure> {
    if !matches!(meta.identity, Some(WorkIdentity::Key(_))) {
        return Ok(());
    }
    let row = claims::row_key(&meta.service, permit.id());
    let outcome = node
        .claims
        .claim(row, permit.record_number(), node.now(), meta.deadline)
        .await;
    Err(match outcome {
        ClaimOutcome::Won => return Ok(()),
        ClaimOutcome::Held(holder) if holder.process.vm == node.identity.vm => {
            ClaimFailure::Code(Code::OwnerGone)
        }
        ClaimOutcome::Held(_) if meta.is_forwarded => ClaimFailure::Code(Code::OwnerGone),
        ClaimOutcome::Held(holder) => ClaimFailure::HeldBy(holder.process.vm),
        ClaimOutcome::HeldByEarlierOperation => ClaimFailure::Code(Code::OutcomeUnknown),
        ClaimOutcome::Refused(refusal) => ClaimFailure::Code(match refusal {
            ClaimRefusal::QueueFull => Code::QueueFull,
            ClaimRefusal::Unreachable => Code::PlatformUnreachable,
            ClaimRefusal::DeadlinePassed => Code::DeadlinePassed,
            ClaimRefusal::Busy => Code::ClaimUnsettled,
        }),
    })
}

/// Forwards the request to the entry VM that holds the claim and returns its answer.
async fn fetch_from_holder(
    node: &Arc<Node>,
    vm: &str,
    meta: &Meta,
    outgoing: &Outgoing,
) -> ExecutionResult {
    let Some(address) = node
        .in_force()
        .and_then(|c| c.entry_vm(vm).map(|v| v.peer_address))
    else {
        return ExecutionResult::Code(Code::OwnerGone);
    };
    let Ok(res) = peer::forward(node, address, peer::WORK_PATH, meta, outgoing).await else {
        return ExecutionResult::Code(Code::OwnerGone);
    };
    match StoredAnswer::read(res, meta.deadline, node).await {
        Some(stored) => ExecutionResult::Answer(Arc::new(stored)),
        None => ExecutionResult::Code(Code::AnswerCut),
    }
}

/// Updates the record of the work for a send; an error forbids the send.
fn record_send_event(node: &Node, permit: &ExecutionPermit, event: SendEvent) -> Result<(), Code> {
    let mut state = node.lock_work();
    match event {
        SendEvent::BeforeSend => state
            .records
            .authorize_send(permit, node.now())
            .map_err(refusal_code),
        SendEvent::NotExecuted => {
            state.records.mark_not_executed(permit);
            Ok(())
        }
    }
}

fn refusal_code(refusal: SendRefusal) -> Code {
    match refusal {
        SendRefusal::Stopping => Code::Stopping,
        SendRefusal::Expired | SendRefusal::DeadlinePassed => Code::DeadlinePassed,
        SendRefusal::AlreadySent | SendRefusal::NoRecord => Code::OutcomeUnknown,
    }
}
