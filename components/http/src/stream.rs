//! Stream over a connection that ends at the end of one HTTP message.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use error_stack::{Report, bail};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt};
use runtime::YieldBudget;

use crate::error::{Error, Result};
use crate::head::{Framing, MAX_HEAD_BYTES, MessageHead, find_head_end};

/// Time after which a write fails if the peer reads no data.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Buffer size for reading a head.
const READ_CHUNK_BYTES: usize = 4096;

/// Reads one raw head; bytes that follow it stay in `buf`.
///
/// Returns [`Error::Closed`] if the connection ends before the first byte.
pub async fn read_head(
    tcp: &mut TcpStream,
    buf: &mut Vec<u8>,
    idle: Duration,
    limit: Duration,
) -> Result<Vec<u8>> {
    if buf.is_empty() {
        with_timeout(idle, read_chunk(tcp, buf)).await?;
    }
    let complete = async {
        loop {
            if let Some(end) = find_head_end(buf) {
                if end > MAX_HEAD_BYTES {
                    bail!(Error::HeadTooLong);
                }
                let rest = buf.split_off(end);
                return Ok(std::mem::replace(buf, rest));
            }
            if buf.len() > MAX_HEAD_BYTES {
                bail!(Error::HeadTooLong);
            }
            read_chunk(tcp, buf).await?;
        }
    };
    with_timeout(limit, complete).await
}

async fn read_chunk(tcp: &mut TcpStream, buf: &mut Vec<u8>) -> Result<()> {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    match tcp.read(&mut chunk).await {
        Ok(0) if buf.is_empty() => Err(Report::new(Error::Closed)),
        Ok(0) => Err(Report::new(Error::Truncated)),
        Ok(n) => {
            buf.extend_from_slice(&chunk[..n]);
            Ok(())
        }
        Err(e) => Err(Report::new(Error::Io).attach(e)),
    }
}

/// Runs `fut` for at most `limit`; fails with [`Error::Timeout`] after that.
pub async fn with_timeout<T>(limit: Duration, fut: impl Future<Output = Result<T>>) -> Result<T> {
    fut.or(async {
        Timer::after(limit).await;
        Err(Report::new(Error::Timeout))
    })
    .await
}

/// Connection that async-h1 uses to read one message and to write the response to it.
#[derive(Clone, Debug)]
pub struct MessageStream {
    /// Write side of the connection.
    tcp: TcpStream,
    /// Shared by all clones, because async-h1 reads from a clone.
    state: Arc<Mutex<MessageState>>,
}

/// Read progress of the message, and the deadlines.
#[derive(Debug)]
struct MessageState {
    /// Read side of the connection.
    tcp: TcpStream,
    /// Validated head, followed by bytes that were read together with it.
    buf: Vec<u8>,
    /// Read position in `buf`.
    pos: usize,
    /// Bytes of the head not yet read.
    head_remaining: usize,
    framing: Framing,
    /// Bytes of the body not yet read; for a chunked body, the rest of the size limit.
    body_remaining: u64,
    /// Deadline for the whole body.
    read_deadline: Timer,
    /// Lets other tasks run while the peer sends without pause.
    budget: YieldBudget,
    /// Deadline of a pending write; cleared when a write makes progress.
    write_deadline: Option<Timer>,
}

impl MessageStream {
    /// Creates the stream; `rest` holds bytes that were read past the head.
    pub fn new(
        tcp: TcpStream,
        head: &MessageHead,
        rest: &[u8],
        max_body: u64,
        limit: Duration,
    ) -> Result<Self> {
        let body_remaining = match head.framing {
            Framing::Empty => 0,
            Framing::Length(length) if length > max_body => bail!(Error::BodyTooLong),
            Framing::Length(length) => length,
            Framing::Chunked => max_body,
        };
        let mut buf = head.bytes.clone();
        buf.extend_from_slice(rest);
        let state = MessageState {
            tcp: tcp.clone(),
            buf,
            pos: 0,
            head_remaining: head.bytes.len(),
            framing: head.framing,
            body_remaining,
            read_deadline: Timer::after(limit),
            budget: YieldBudget::default(),
            write_deadline: None,
        };
        Ok(MessageStream {
            tcp,
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Returns the buffered bytes after the message; `None` if the body was not read to its end or
    /// is chunked.
    pub fn into_rest(self) -> Option<Vec<u8>> {
        let state = self.lock();
        let length_known = matches!(state.framing, Framing::Empty | Framing::Length(_));
        (length_known && state.body_remaining == 0 && state.head_remaining == 0)
            .then(|| state.buf[state.pos..].to_vec())
    }

    fn lock(&self) -> MutexGuard<'_, MessageState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl MessageState {
    fn poll_read(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.head_remaining > 0 {
            let n = self.copy_buffered(out, self.head_remaining);
            self.head_remaining -= n;
            return Poll::Ready(Ok(n));
        }
        if self.body_remaining == 0 {
            return Poll::Ready(self.read_after_body());
        }
        let max = usize::try_from(self.body_remaining)
            .unwrap_or(usize::MAX)
            .min(out.len());
        let n = if self.pos < self.buf.len() {
            self.copy_buffered(out, max)
        } else {
            ready!(self.poll_tcp(cx, &mut out[..max]))?
        };
        if n == 0 && max > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        self.body_remaining -= n as u64;
        Poll::Ready(Ok(n))
    }

    /// Result of a read when no body bytes remain; a chunked body has then used up the size limit.
    fn read_after_body(&self) -> io::Result<usize> {
        match self.framing {
            Framing::Chunked => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                Error::BodyTooLong.to_string(),
            )),
            _ => Ok(0),
        }
    }

    fn copy_buffered(&mut self, out: &mut [u8], max: usize) -> usize {
        let n = (self.buf.len() - self.pos).min(out.len()).min(max);
        out[..n].copy_from_slice(&self.buf[self.pos..self.pos + n]);
        self.pos += n;
        n
    }

    fn poll_tcp(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        // Checked before each read, because a peer that sends without end never makes it pending.
        if self.read_deadline.poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        ready!(self.budget.poll_step(cx));
        Pin::new(&mut self.tcp).poll_read(cx, out)
    }
}

impl AsyncRead for MessageStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.lock().poll_read(cx, buf)
    }
}

impl AsyncWrite for MessageStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        let mut state = self.lock();
        if written.is_ready() {
            state.write_deadline = None;
            return written;
        }
        let timer = state
            .write_deadline
            .get_or_insert_with(|| Timer::after(WRITE_STALL_TIMEOUT));
        if timer.poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
