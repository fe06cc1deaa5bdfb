//! A buffered TCP connection.

use std::fmt;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use std::time::{Duration, Instant};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWriteExt};
use runtime::YieldBudget;

use super::error::{Error, Result};
use super::head::{RequestHead, ResponseHead};
use super::sent_ids::SentIds;

/// Maximum number of bytes read at once.
const READ_SIZE: usize = 16 * 1024;
/// Number of the next connection in the log.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A connection with the received bytes that are not yet consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
    /// Bytes at the start of `buf` that are consumed.
    consumed: usize,
    /// Whether the unconsumed bytes are an incomplete element; set by `need_more` until the next
    /// read.
    needs_more: bool,
    /// Lets other tasks run while the peer sends without pause.
    budget: YieldBudget,
    /// When a request was written whose response is not complete.
    request_since: Option<Instant>,
    /// Number of the connection in the log.
    number: u64,
    opened_at: Instant,
    sent_ids: SentIds,
    /// Error that a [`Writer`] has taken from the socket.
    write_error: Arc<OnceLock<ErrorKind>>,
}

/// Writes to a connection, also while its [`Connection`] is being read.
///
/// The kernel reports an error such as a reset once, to whatever uses the socket next. After a write that
/// has taken it, reads see an orderly end, so that a body that ends with the connection would look
/// complete. The writer keeps the error for the reads.
#[derive(Debug)]
pub struct Writer {
    stream: TcpStream,
    error: Arc<OnceLock<ErrorKind>>,
}

impl Writer {
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<()> {
        let written = self.stream.write_all(bytes).await;
        if let Err(e) = &written
            // Reported instead of a reset if the peer had ended its side in order before.
            && e.kind() != ErrorKind::BrokenPipe
        {
            self.error.get_or_init(|| e.kind());
        }
        Ok(written?)
    }
}

/// What was sent on a connection before a request, for log lines.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionHistory {
    /// Number of the connection, unique within the process.
    pub number: u64,
    /// Time since the connection was opened.
    pub age: Duration,
    /// Number of requests sent on it before.
    pub earlier_requests: usize,
    /// Whether a request with the same id was sent on it before. A refusal could then be a copy of
    /// that to the earlier request; idle connections are chosen so that this does not occur.
    pub id_sent_before: bool,
}

impl fmt::Display for ConnectionHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connection={} connection_age_ms={} earlier_requests={} id_sent_before={}",
            self.number,
            self.age.as_millis(),
            self.earlier_requests,
            self.id_sent_before
        )
    }
}

impl Connection {
    /// Wraps an open stream.
    pub fn new(stream: TcpStream) -> Self {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{e}\"");
        }
        if let Err(e) = runtime::enable_keep_alive(&stream) {
            log::debug!("event=keep_alive_failed error=\"{e}\"");
        }
        Connection {
            stream,
            buf: Vec::new(),
            consumed: 0,
            needs_more: false,
            budget: YieldBudget::default(),
            request_since: None,
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            opened_at: Instant::now(),
            sent_ids: SentIds::default(),
            write_error: Arc::default(),
        }
    }

    /// Opens a connection within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self> {
        let stream = runtime::connect(address, limit).await?;
        Ok(Connection::new(stream.ok_or(Error::Timeout)?.into()))
    }

    /// Records that a request is about to be written. Returns what was sent before.
    pub fn begin_request(&mut self, id: &str) -> ConnectionHistory {
        let now = Instant::now();
        let before = ConnectionHistory {
            number: self.number,
            age: now.saturating_duration_since(self.opened_at),
            earlier_requests: self.sent_ids.len(),
            id_sent_before: self.has_sent(id),
        };
        self.request_since = Some(now);
        self.sent_ids.insert(id);
        before
    }

    /// Number of the connection in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the number of requests sent on the connection.
    pub fn sent_count(&self) -> usize {
        self.sent_ids.len()
    }

    /// Whether no request was sent on the connection yet.
    pub fn is_new(&self) -> bool {
        self.sent_count() == 0
    }

    /// Whether a request with this id was sent on the connection.
    pub fn has_sent(&self, id: &str) -> bool {
        self.sent_ids.contains(id)
    }

    /// Records that the response to the request has arrived.
    pub fn end_request(&mut self) {
        self.request_since = None;
    }

    /// Returns a second handle of the stream, for its options and its shutdown.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns a writer to use concurrently with reading.
    pub fn writer(&self) -> Writer {
        Writer {
            stream: self.stream.clone(),
            error: self.write_error.clone(),
        }
    }

    /// Returns the unconsumed bytes; none after `need_more` until more are received.
    pub fn buffered(&self) -> &[u8] {
        if self.needs_more {
            return &[];
        }
        &self.buf[self.consumed..]
    }

    /// Marks `n` buffered bytes as consumed.
    pub fn consume(&mut self, n: usize) {
        self.consumed += n;
        if self.consumed == self.buf.len() {
            self.buf = Vec::new();
            self.consumed = 0;
        }
    }

    /// Appends `n` buffered bytes to `out` and consumes them.
    pub fn take_into(&mut self, n: usize, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.buf[self.consumed..self.consumed + n]);
        self.consume(n);
    }

    /// Records that the buffered bytes do not suffice; an error if there are more than `limit`.
    /// Returns false, for parser steps that cannot proceed.
    pub fn need_more(&mut self, limit: usize) -> Result<bool> {
        if self.buf.len() - self.consumed > limit {
            return Err(Error::Malformed(
                "chunk size line or trailer field is too long",
            ));
        }
        self.needs_more = true;
        Ok(false)
    }

    /// Reads once; returns 0 if the peer has closed the connection in order. An end after a write has
    /// failed is an error, see [`Writer`].
    pub async fn fill(&mut self) -> Result<usize> {
        if self.consumed > 0 {
            self.buf.drain(..self.consumed);
            self.consumed = 0;
        }
        self.budget.step().await;
        let Connection { stream, buf, .. } = self;
        // Reads into a buffer on the stack: dropping the future loses no bytes, and idle
        // connections hold no buffer.
        let read = poll_fn(|cx| {
            let mut chunk = [0; READ_SIZE];
            let poll = Pin::new(&mut *stream).poll_read(cx, &mut chunk);
            if let Poll::Ready(Ok(n)) = &poll {
                buf.extend_from_slice(&chunk[..*n]);
            }
            poll
        })
        .await;
        self.needs_more = false;
        match (read?, self.write_error.get()) {
            (0, Some(&kind)) => Err(Error::Io(kind)),
            (n, _) => Ok(n),
        }
    }

    /// Returns the number of unconsumed bytes, also after `need_more`.
    pub fn unconsumed_len(&self) -> usize {
        self.buf.len() - self.consumed
    }

    /// Discards the unconsumed bytes.
    pub fn discard(&mut self) {
        self.buf = Vec::new();
        self.consumed = 0;
    }

    /// Waits until the peer has closed the connection, without consuming input.
    pub async fn wait_closed(&mut self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        let mut byte = [0; 1];
        while !matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_)) {
            runtime::sleep(POLL_INTERVAL).await;
        }
    }

    /// Parses and consumes a request head of at most `limit` bytes; `None` if it is not complete.
    pub fn parse_request_head(&mut self, limit: usize) -> Result<Option<RequestHead>> {
        // Some clients send an empty line after a body.
        while self.buffered().starts_with(b"\r\n") {
            self.consume(2);
        }
        let parsed = RequestHead::parse(self.buffered())?;
        let size = parsed.as_ref().map_or(self.unconsumed_len(), |(_, n)| *n);
        if size > limit {
            return Err(Error::HeadTooLong);
        }
        Ok(parsed.map(|(head, n)| {
            self.consume(n);
            head
        }))
    }

    /// Reads a response head of at most `limit` bytes.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead> {
        loop {
            if let Some((head, n)) = ResponseHead::parse(self.buffered())? {
                self.consume(n);
                return Ok(head);
            }
            if self.buffered().len() > limit {
                return Err(Error::HeadTooLong);
            }
            self.fill_or_eof_error().await?;
        }
    }

    /// Reads once; an error if the connection has ended.
    async fn fill_or_eof_error(&mut self) -> Result<()> {
        let started = !self.buffered().is_empty();
        if self.fill().await? == 0 {
            return Err(if started {
                Error::Truncated
            } else {
                Error::Closed
            });
        }
        Ok(())
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.writer().write_all(bytes).await
    }

    /// Returns whether an idle connection must not be reused: it has unread input, was closed or
    /// failed.
    pub async fn is_stale(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return true;
        }
        let mut byte = [0; 1];
        let peeked = futures_lite::future::poll_once(self.stream.peek(&mut byte)).await;
        peeked.is_some()
    }
}

impl Drop for Connection {
    /// A request that is given up before its response must not reach the peer any more.
    fn drop(&mut self) {
        let Some(since) = self.request_since else {
            return;
        };
        runtime::discard_on_close(&self.stream);
        metrics::counter!("gateway_requests_given_up_total").increment(1);
        let address = self.stream.peer_addr();
        log::info!(
            "event=request_given_up address={} written_ms={}",
            address.map_or_else(|_| "unknown".to_owned(), |a| a.to_string()),
            since.elapsed().as_millis()
        );
    }
}
