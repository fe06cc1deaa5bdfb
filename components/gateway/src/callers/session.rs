//! One connection of a caller.

use std::collections::VecDeque;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_net::TcpStream;
use futures_lite::FutureExt;
use runtime::Task;

use crate::answer::{Answer, Rest, append_chunk};
use crate::codes::Code;
use crate::http::{Body, Connection, Error, RequestHead, Result};
use crate::node::Node;
use crate::relay::{Origin, Request, is_binding, relay};

/// Requests of one connection that are handled at the same time.
const PIPELINED: usize = 8;
/// Bytes that are received ahead of the requests in progress.
const READ_AHEAD: usize = 64 * 1024;
/// Bytes of a long body that are passed on at once.
const STREAM_CHUNK: usize = 64 * 1024;
/// Time for a caller to take an answer; longer than the deadlines in use.
const WRITE_LIMIT: Duration = Duration::from_secs(20);
/// Time for which a closed connection is read, so that a reset does not destroy the last answer.
const LINGER: Duration = Duration::from_secs(1);
/// Time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection with the requests whose answers are owed.
pub(super) struct Session {
    node: Arc<Node>,
    connection: Connection,
    origin: Origin,
    incoming: Incoming,
    /// Answers in the order of the requests.
    owed: VecDeque<Owed>,
    /// Whether no further request is read.
    last_read: bool,
    /// When the connection became idle, or the request in `incoming` began.
    since: Duration,
}

/// A request that is being received.
enum Incoming {
    Nothing,
    Head,
    Body {
        head: RequestHead,
        body: Body,
        bytes: Vec<u8>,
        arrived: Duration,
    },
}

/// An answer that is owed.
struct Owed {
    making: Making,
    /// Whether the connection is closed after it.
    close: bool,
}

enum Making {
    /// Dropping the task cancels the request.
    Cancellable(Task<Answer>),
    /// The request goes on when the caller leaves.
    Detached(Receiver<Answer>),
    /// The answer, until it is taken.
    Ready(Option<Box<Answer>>),
}

enum Event {
    Answer(Box<Answer>),
    Received(Result<usize>),
    /// A time limit has passed.
    Late,
    /// The process is stopping.
    Stop,
}

impl Session {
    pub fn new(node: Arc<Node>, stream: TcpStream, origin: Origin) -> Self {
        Session {
            since: node.now(),
            node,
            connection: Connection::new(stream),
            origin,
            incoming: Incoming::Nothing,
            owed: VecDeque::new(),
            last_read: false,
        }
    }

    /// Serves the connection until it ends.
    pub async fn run(mut self) {
        if let Err(e) = self.serve().await {
            log::debug!(
                "event=connection_ended error=\"{e}\" owed={}",
                self.owed.len()
            );
        }
    }

    async fn serve(&mut self) -> Result<()> {
        loop {
            self.read_requests();
            match self.next_event().await {
                Event::Answer(answer) => {
                    let close = self.owed.pop_front().is_none_or(|o| o.close);
                    let close = close || self.node.leaving_since().is_some();
                    self.write(*answer, close).await?;
                    if close {
                        return self.linger().await;
                    }
                    self.since = self.node.now();
                }
                Event::Received(Ok(0)) => return Err(Error::Closed),
                Event::Received(Ok(_)) => {}
                Event::Received(Err(e)) => return Err(e),
                Event::Late | Event::Stop => return self.linger().await,
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let idle_stop = self.node.idle_close_signal();
        let waits = self.waits_until();
        let now = self.node.now();
        let receives = !self.last_read && self.connection.held() < READ_AHEAD;
        let Session {
            connection, owed, ..
        } = self;
        let idle = owed.is_empty();
        let answer = async {
            match owed.front_mut() {
                Some(o) => Event::Answer(o.making.answer().await),
                None => futures_lite::future::pending().await,
            }
        };
        let receive = async {
            if receives {
                return Event::Received(connection.fill().await);
            }
            // The end of the connection is noticed although nothing more is read.
            connection.wait_closed().await;
            Event::Received(Ok(0))
        };
        let late = async {
            match waits {
                Some((at, _)) => {
                    runtime::sleep(at.saturating_sub(now)).await;
                    Event::Late
                }
                None => futures_lite::future::pending().await,
            }
        };
        let stop = async {
            if idle && waits.is_some_and(|(_, idle)| idle) {
                // Nothing is sent; the channel closes when the process stops.
                let _ = idle_stop.recv().await;
                return Event::Stop;
            }
            futures_lite::future::pending().await
        };
        answer.or(receive).or(late).or(stop).await
    }

    /// Returns when the connection is closed if nothing happens, and whether it is idle.
    fn waits_until(&self) -> Option<(Duration, bool)> {
        if !self.owed.is_empty() {
            return None;
        }
        let limits = self.node.limits();
        Some(match &self.incoming {
            Incoming::Nothing => (self.since + limits.idle_timeout, true),
            Incoming::Head => (self.since + limits.head_timeout, false),
            Incoming::Body { arrived, .. } => (*arrived + BODY_TIMEOUT, false),
        })
    }

    /// Starts the requests that have been received.
    fn read_requests(&mut self) {
        while !self.last_read && self.owed.len() < PIPELINED {
            match self.read_request() {
                Ok(Some(req)) => self.start(req),
                Ok(None) => return,
                Err(e) => {
                    let code = match e {
                        Error::HeadTooLong => Code::HeadTooLong,
                        Error::BodyTooLong => Code::BodyTooLong,
                        _ => Code::BadRequest,
                    };
                    log::info!("event=request_malformed error=\"{e}\"");
                    self.owe(Making::ready(code), true);
                }
            }
        }
    }

    /// Takes a request out of the buffer, once it is complete.
    fn read_request(&mut self) -> Result<Option<Request>> {
        let limits = self.node.limits();
        if !matches!(self.incoming, Incoming::Body { .. }) {
            let Some(head) = self.connection.parse_request_head(limits.head_bytes)? else {
                let started = !self.connection.buffered().is_empty();
                if started && matches!(self.incoming, Incoming::Nothing) {
                    self.incoming = Incoming::Head;
                    self.since = self.node.now();
                }
                return Ok(None);
            };
            let body = Body::new(head.framing()?);
            self.incoming = Incoming::Body {
                head,
                body,
                bytes: Vec::new(),
                arrived: self.node.now(),
            };
        }
        let Incoming::Body { body, bytes, .. } = &mut self.incoming else {
            return Ok(None);
        };
        body.advance(&mut self.connection, bytes)?;
        if bytes.len() > limits.body_bytes {
            return Err(Error::BodyTooLong);
        }
        if !body.is_complete() {
            return Ok(None);
        }
        let Incoming::Body {
            head,
            bytes,
            arrived,
            ..
        } = std::mem::replace(&mut self.incoming, Incoming::Nothing)
        else {
            return Ok(None);
        };
        Ok(Some(Request {
            memory: self.node.reserve_body(bytes.len()),
            head,
            body: bytes,
            arrived,
            origin: self.origin,
        }))
    }

    fn start(&mut self, req: Request) {
        let close = !req.head.keeps_alive();
        let node = self.node.clone();
        if req.memory.is_none() {
            self.owe(Making::ready(Code::NoMemory), close);
            return;
        }
        if !is_binding(&node, &req.head) {
            let task = runtime::spawn(async move { relay(&node, req).await });
            self.owe(Making::Cancellable(task), close);
            return;
        }
        let (tx, rx) = async_channel::bounded(1);
        runtime::spawn(async move {
            let answer = relay(&node, req).await;
            if tx.send(answer).await.is_err() {
                log::info!("event=answer_not_taken");
            }
        })
        .detach();
        self.owe(Making::Detached(rx), close);
    }

    fn owe(&mut self, making: Making, close: bool) {
        self.last_read |= close;
        self.owed.push_back(Owed { making, close });
    }

    async fn write(&mut self, mut answer: Answer, close: bool) -> Result<()> {
        let bytes = answer.encode(close);
        let rest = answer.rest.take();
        let writing = async {
            self.connection.write(&bytes).await?;
            match rest {
                Some(rest) => self.stream(rest).await,
                None => Ok(()),
            }
        };
        runtime::timeout(WRITE_LIMIT, writing)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    /// Passes on a long body. If the server breaks off, so does this side: the last chunk is not
    /// sent, so that the answer does not look complete.
    async fn stream(&mut self, mut rest: Rest) -> Result<()> {
        loop {
            let mut bytes = Vec::new();
            rest.body
                .read(&mut rest.connection, &mut bytes, STREAM_CHUNK)
                .await?;
            let mut out = Vec::with_capacity(bytes.len() + 16);
            append_chunk(&mut out, &bytes);
            if rest.body.is_complete() {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            self.connection.write(&out).await?;
            if rest.body.is_complete() {
                return Ok(());
            }
        }
    }

    /// Ends the connection without destroying what the caller has not read yet.
    async fn linger(&mut self) -> Result<()> {
        self.connection.stream().shutdown(Shutdown::Write)?;
        let draining = async {
            while self.connection.fill().await? > 0 {
                self.connection.discard();
            }
            Ok(())
        };
        runtime::timeout(LINGER, draining).await.unwrap_or(Ok(()))
    }
}

impl Making {
    fn ready(code: Code) -> Self {
        Making::Ready(Some(Box::new(Answer::own(code, None))))
    }

    async fn answer(&mut self) -> Box<Answer> {
        match self {
            Making::Cancellable(task) => Box::new(task.await),
            Making::Detached(rx) => Box::new(match rx.recv().await {
                Ok(answer) => answer,
                Err(_) => Answer::own(Code::AnswerLost, None),
            }),
            Making::Ready(answer) => answer
                .take()
                .unwrap_or_else(|| Box::new(Answer::own(Code::AnswerLost, None))),
        }
    }
}
