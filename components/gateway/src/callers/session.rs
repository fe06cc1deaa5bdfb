//! Session on one connection of a caller or of another entry VM.

mod receive;

use std::collections::VecDeque;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_net::TcpStream;
use dispatch::RouteTable;
use futures_lite::FutureExt;
use runtime::Task;

use crate::answer::{Answer, CutBy, Rest, append_chunk};
use crate::codes::Code;
use crate::http::{Connection, Error, Result};
use crate::node::{BusyConnectionGuard, Node};
use crate::relay::{Origin, Request, is_binding, relay};
use receive::Incoming;

/// Maximum number of pipelined requests of one connection that are handled concurrently.
const MAX_PIPELINED_REQUESTS: usize = 8;
/// Bytes that are buffered of further requests while responses are pending.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Bytes of a long body that are buffered for one chunk.
const STREAM_CHUNK_BYTES: usize = 16 * 1024;
/// Time limit for writing a response to a caller; longer than the deadlines in use.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which input is read and discarded after the write side is closed. Closing with unread
/// input would send a reset, by which the caller could lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time before which a stopping process does not close a connection; a new one is probably about
/// to carry a request.
const MIN_IDLE_AT_STOP: Duration = Duration::from_millis(500);
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection with its pipelined requests.
pub(super) struct Session {
    node: Arc<Node>,
    connection: Connection,
    origin: Origin,
    incoming: Incoming,
    /// Responses not yet written, in the order of the requests.
    pending: VecDeque<AnswerSource>,
    /// Whether reading of requests has ended because the connection closes after a pending
    /// response.
    stop_reading: bool,
    /// Set from the first pending response until the last one is written, and received if the
    /// connection closes.
    busy: Option<BusyConnectionGuard>,
    /// Uptime at which the connection became idle, or at which the first bytes of a head arrived.
    state_since: Duration,
}

/// Where the response to a request comes from.
enum AnswerSource {
    /// A binding request that is not started before the responses ahead of it are written. If the
    /// connection ends with one of them, the caller takes the request for unread and sends it again.
    NotStarted(Box<Request>),
    /// Task of an idempotent request; dropping it cancels the request.
    Cancellable(Task<Answer>),
    /// Channel of a binding request, which continues if the caller disconnects.
    Detached(Receiver<Answer>),
    /// A response that needs no relaying; `None` once taken.
    Ready(Option<Box<Answer>>),
}

enum Event {
    Answer(Box<Answer>),
    Received(Result<usize>),
    /// The time limit for an idle connection, a head or a body has passed.
    TimedOut,
    /// The connection is idle and the process is stopping.
    Stop,
}

impl Session {
    pub fn new(node: Arc<Node>, stream: TcpStream, origin: Origin) -> Self {
        Session {
            state_since: node.now(),
            node,
            connection: Connection::new(stream),
            origin,
            incoming: Incoming::Idle,
            pending: VecDeque::new(),
            stop_reading: false,
            busy: None,
        }
    }

    /// Serves the connection until it is closed.
    pub async fn run(mut self) {
        if let Err(e) = self.serve().await {
            log::debug!(
                "event=connection_ended error=\"{e}\" owed={}",
                self.pending.len()
            );
        }
    }

    async fn serve(&mut self) -> Result<()> {
        loop {
            self.read_requests();
            self.start_first();
            self.update_busy();
            match self.next_event().await {
                Event::Answer(answer) => {
                    // A stopping process answers the requests that it has taken, and no more.
                    self.stop_reading |= self.node.leaving_until().is_some();
                    self.pending.pop_front();
                    let close = self.stop_reading && self.pending.is_empty();
                    self.write(*answer, close).await?;
                    if close {
                        return self.linger().await;
                    }
                    self.state_since = self.node.now();
                }
                Event::Received(Ok(0)) => return Err(Error::Closed),
                Event::Received(Ok(_)) => {}
                Event::Received(Err(e)) => return Err(e),
                Event::TimedOut | Event::Stop => return self.linger().await,
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let idle_stop = self.node.idle_close_signal();
        let close_deadline = self.close_deadline();
        let now = self.node.now();
        let may_buffer =
            self.pending.is_empty() || self.connection.unconsumed_len() < READ_AHEAD_BYTES;
        let read_more = !self.stop_reading && may_buffer;
        let Session {
            connection,
            pending,
            state_since,
            ..
        } = self;
        let idle = pending.is_empty();
        let answer = async {
            match pending.front_mut() {
                Some(first) => Event::Answer(first.answer().await),
                None => futures_lite::future::pending().await,
            }
        };
        let receive = async {
            if read_more {
                return Event::Received(connection.fill().await);
            }
            // Detects that the caller has closed the connection without reading further requests.
            connection.wait_closed().await;
            Event::Received(Ok(0))
        };
        let timed_out = async {
            match close_deadline {
                Some((at, _)) => {
                    runtime::sleep(at.saturating_sub(now)).await;
                    Event::TimedOut
                }
                None => futures_lite::future::pending().await,
            }
        };
        let idle_close_at = *state_since + MIN_IDLE_AT_STOP;
        let stop = async {
            if idle && close_deadline.is_some_and(|(_, idle)| idle) {
                // Nothing is sent; the channel closes when the process stops.
                let _ = idle_stop.recv().await;
                runtime::sleep(idle_close_at.saturating_sub(now)).await;
                return Event::Stop;
            }
            futures_lite::future::pending().await
        };
        answer.or(receive).or(timed_out).or(stop).await
    }

    /// Returns when the connection is closed unless more is received, and whether it is idle until
    /// then; `None` while responses are pending.
    fn close_deadline(&self) -> Option<(Duration, bool)> {
        if !self.pending.is_empty() {
            return None;
        }
        let limits = self.node.limits();
        Some(match &self.incoming {
            Incoming::Idle => (self.state_since + limits.idle_timeout, true),
            Incoming::Head => (self.state_since + limits.head_timeout, false),
            Incoming::Body { received_at, .. } | Incoming::RefusedBody { received_at, .. } => {
                (*received_at + BODY_TIMEOUT, false)
            }
        })
    }

    /// Starts the requests that have been received completely. A malformed one is answered with an
    /// error, after which the connection is closed.
    fn read_requests(&mut self) {
        while !self.stop_reading && self.pending.len() < MAX_PIPELINED_REQUESTS {
            match self.read_request() {
                Ok(Some(req)) => self.start_request(req),
                Ok(None) => return,
                Err(e) => {
                    let code = match e {
                        Error::HeadTooLong => Code::HeadTooLong,
                        Error::BodyTooLong => Code::BodyTooLong,
                        _ => Code::BadRequest,
                    };
                    log::info!("event=request_malformed error=\"{e}\"");
                    self.push_answer(AnswerSource::ready(code), true);
                }
            }
        }
    }

    /// Starts a request, unless it is binding and others are ahead of it.
    fn start_request(&mut self, req: Request) {
        let close = !req.head.keeps_alive();
        let routes = self.node.routes();
        let source = if !self.pending.is_empty() && is_binding(routes.as_deref(), &req.head) {
            AnswerSource::NotStarted(Box::new(req))
        } else {
            AnswerSource::start(self.node.clone(), req, routes)
        };
        self.push_answer(source, close);
    }

    /// Starts the first request if it has waited for the responses ahead of it.
    fn start_first(&mut self) {
        if let Some(AnswerSource::NotStarted(_)) = self.pending.front()
            && let Some(AnswerSource::NotStarted(req)) = self.pending.pop_front()
        {
            let started = AnswerSource::start(self.node.clone(), *req, self.node.routes());
            self.pending.push_front(started);
        }
    }

    fn update_busy(&mut self) {
        if self.pending.is_empty() {
            self.busy = None;
        } else if self.busy.is_none() {
            self.busy = Some(self.node.count_busy_connection());
        }
    }

    /// Adds a response; `close` states whether the connection is closed after it.
    fn push_answer(&mut self, source: AnswerSource, close: bool) {
        self.stop_reading |= close;
        self.pending.push_back(source);
    }

    async fn write(&mut self, mut answer: Answer, close: bool) -> Result<()> {
        let bytes = answer.take_encoded(close);
        let mut rest = answer.rest.take();
        let limit = rest.as_ref().map_or(WRITE_TIMEOUT, |r| {
            r.deadline_at
                .saturating_sub(self.node.now())
                .min(WRITE_TIMEOUT)
        });
        let writing = async {
            match &mut rest {
                Some(rest) => self.write_streamed(bytes, rest).await,
                None => self.connection.write(&bytes).await,
            }
        };
        if let Some(result) = runtime::timeout(limit, writing).await {
            return result;
        }
        if let Some(rest) = rest {
            rest.record_cut(CutBy::Deadline, Error::Timeout);
        }
        Err(Error::Timeout)
    }

    /// Writes the start of an answer and streams the rest of its long body. If the server's body is cut
    /// short, or has not ended by the deadline of the request, the connection is closed without the last
    /// chunk, so that the caller does not take the response for complete.
    async fn write_streamed(&mut self, start: Vec<u8>, rest: &mut Rest) -> Result<()> {
        let mut out = start;
        loop {
            self.connection
                .write(&out)
                .await
                .inspect_err(|e| rest.record_cut(CutBy::Caller, *e))?;
            if rest.body.is_complete() {
                return Ok(());
            }
            let mut bytes = Vec::new();
            rest.body
                .read(&mut rest.connection, &mut bytes, STREAM_CHUNK_BYTES)
                .await
                .inspect_err(|e| rest.record_cut(CutBy::Server, *e))?;
            out = Vec::with_capacity(bytes.len() + 16);
            append_chunk(&mut out, &bytes);
            if rest.body.is_complete() {
                out.extend_from_slice(b"0\r\n\r\n");
            }
        }
    }

    /// Closes the write side and discards input, so that the caller can read what was sent.
    async fn linger(&mut self) -> Result<()> {
        let limit = match self.incoming {
            Incoming::RefusedBody { .. } => BODY_TIMEOUT,
            _ => LINGER_TIMEOUT,
        };
        self.connection.stream().shutdown(Shutdown::Write)?;
        let draining = async {
            while self.connection.fill().await? > 0 {
                self.connection.discard();
            }
            Ok(())
        };
        runtime::timeout(limit, draining).await.unwrap_or(Ok(()))
    }
}

impl AnswerSource {
    fn ready(code: Code) -> Self {
        AnswerSource::Ready(Some(Box::new(Answer::own(code, None))))
    }

    /// Starts relaying a request by `routes`. A binding request runs in a detached task, since its
    /// outcome would be unknown if it were cancelled.
    fn start(node: Arc<Node>, req: Request, routes: Option<Arc<RouteTable>>) -> Self {
        if !is_binding(routes.as_deref(), &req.head) {
            let task = runtime::spawn(async move { relay(&node, req, routes).await });
            return AnswerSource::Cancellable(task);
        }
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(async move {
            let answer = relay(&node, req, routes).await;
            if tx.send(answer).await.is_err() {
                log::info!("event=answer_not_taken");
            }
        })
        .detach();
        AnswerSource::Detached(rx)
    }

    async fn answer(&mut self) -> Box<Answer> {
        match self {
            // Not awaited: the first request is started before its response is.
            AnswerSource::NotStarted(_) => futures_lite::future::pending().await,
            AnswerSource::Cancellable(task) => Box::new(task.await),
            AnswerSource::Detached(rx) => Box::new(match rx.recv().await {
                Ok(answer) => answer,
                Err(_) => Answer::own(Code::AnswerLost, None),
            }),
            AnswerSource::Ready(answer) => answer
                .take()
                .unwrap_or_else(|| Box::new(Answer::own(Code::AnswerLost, None))),
        }
    }
}
