//! Receiving of requests, within the memory for their bodies.

use std::time::Duration;

use super::{AnswerSource, Session};
use crate::answer::Answer;
use crate::codes::Code;
use crate::http::{Body, Error, Framing, RequestHead, Result};
use crate::memory::Reservation;
use crate::relay::Request;

/// `Retry-After` of a request whose body does not fit into the memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// State of the request that is being received.
pub(super) enum Incoming {
    Idle,
    Head,
    Body {
        head: RequestHead,
        body: Body,
        bytes: Vec<u8>,
        /// Reservation of the memory for the whole body if its length is known, otherwise for what
        /// has been received.
        memory: Reservation,
        /// Whether the length is not known.
        grows: bool,
        received_at: Duration,
    },
    /// The request has been refused; its body is discarded, so that the caller reads the answer and
    /// can go on with the connection.
    RefusedBody {
        body: Body,
        received_at: Duration,
    },
}

impl Session {
    /// Takes a request out of the buffer; `None` if it is not complete. A request whose body does not
    /// fit into the memory is answered at once.
    pub(super) fn read_request(&mut self) -> Result<Option<Request>> {
        let limits = self.node.limits();
        if matches!(self.incoming, Incoming::Idle | Incoming::Head) {
            let Some(head) = self.connection.parse_request_head(limits.head_bytes)? else {
                let started = !self.connection.buffered().is_empty();
                if started && matches!(self.incoming, Incoming::Idle) {
                    self.incoming = Incoming::Head;
                    self.state_since = self.node.now();
                }
                return Ok(None);
            };
            self.begin_body(head, limits.body_bytes)?;
        }
        if let Incoming::Body {
            body,
            bytes,
            memory,
            grows,
            ..
        } = &mut self.incoming
        {
            if !*grows || memory.grow_to(bytes.len() + self.connection.unconsumed_len()) {
                body.advance(&mut self.connection, bytes)?;
                if bytes.len() > limits.body_bytes {
                    return Err(Error::BodyTooLong);
                }
            } else {
                self.refuse_body();
            }
        }
        if let Incoming::RefusedBody { body, .. } = &mut self.incoming {
            // Nobody waits for an answer to this body any more, so a malformed one ends the requests.
            let discarded = body.advance(&mut self.connection, &mut Vec::new());
            self.stop_reading |= discarded.is_err();
            if !body.is_complete() {
                return Ok(None);
            }
            self.incoming = Incoming::Idle;
            self.state_since = self.node.now();
            return self.read_request();
        }
        if matches!(&self.incoming, Incoming::Body { body, .. } if !body.is_complete()) {
            return Ok(None);
        }
        let Incoming::Body {
            head,
            bytes,
            memory,
            received_at,
            ..
        } = std::mem::replace(&mut self.incoming, Incoming::Idle)
        else {
            return Ok(None);
        };
        Ok(Some(Request {
            head,
            body: bytes,
            _memory: memory,
            received_at,
            origin: self.origin,
        }))
    }

    /// Begins to receive the body of a request, for which the memory is reserved if its length is
    /// known.
    fn begin_body(&mut self, head: RequestHead, max_bytes: usize) -> Result<()> {
        let framing = head.framing()?;
        let length = match framing {
            Framing::Length(n) => usize::try_from(n).map_err(|_| Error::BodyTooLong)?,
            Framing::Chunked | Framing::UntilClose => 0,
        };
        if length > max_bytes {
            return Err(Error::BodyTooLong);
        }
        let mut memory = self.node.body_memory.reservation();
        let fits = memory.grow(length);
        self.incoming = Incoming::Body {
            head,
            body: Body::new(framing),
            bytes: Vec::with_capacity(if fits { length } else { 0 }),
            memory,
            grows: framing == Framing::Chunked,
            received_at: self.node.now(),
        };
        if !fits {
            self.refuse_body();
        }
        Ok(())
    }

    /// Answers the request whose body is being received that there is no memory for it.
    fn refuse_body(&mut self) {
        let Incoming::Body {
            head,
            body,
            received_at,
            ..
        } = std::mem::replace(&mut self.incoming, Incoming::Idle)
        else {
            return;
        };
        self.incoming = Incoming::RefusedBody { body, received_at };
        let mut answer = Answer::own(Code::NoMemory, Some(NO_MEMORY_RETRY_AFTER));
        let name = self.node.dialect.headers.request_id;
        let id = head.get(name).unwrap_or("none");
        answer.add(name, id);
        metrics::counter!("gateway_bodies_refused_total").increment(1);
        log::info!(
            "event=body_refused id={id} length={} held_bytes={} budget_bytes={}",
            head.get("content-length").unwrap_or("unknown"),
            self.node.body_memory.held(),
            self.node.body_memory.limit()
        );
        let source = AnswerSource::Ready(Some(Box::new(answer)));
        self.push_answer(source, !head.keeps_alive());
    }
}
