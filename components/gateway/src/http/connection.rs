//! A buffered TCP connection.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWriteExt};

use super::error::{Error, Result};
use super::head::{RequestHead, ResponseHead};

/// Bytes read at once.
const READ_SIZE: usize = 16 * 1024;

/// A connection with the bytes that were received and not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
    /// Bytes of `buf` that were used.
    used: usize,
    /// Whether `need_more` asked for bytes beyond those in the buffer.
    hungry: bool,
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
            used: 0,
            hungry: false,
        }
    }

    /// Opens a connection within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self> {
        let stream = runtime::timeout(limit, TcpStream::connect(address))
            .await
            .ok_or(Error::Timeout)??;
        Ok(Connection::new(stream))
    }

    /// Returns another handle of the stream, for writing beside reading.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns the bytes that were received and not used.
    pub fn buffered(&self) -> &[u8] {
        if self.hungry {
            return &[];
        }
        &self.buf[self.used..]
    }

    /// Marks `n` bytes as used.
    pub fn consume(&mut self, n: usize) {
        self.used += n;
        if self.used == self.buf.len() {
            self.buf = Vec::new();
            self.used = 0;
        }
    }

    /// Moves `n` buffered bytes to `out`.
    pub fn take_into(&mut self, n: usize, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.buf[self.used..self.used + n]);
        self.consume(n);
    }

    /// Tells a reader that the buffered bytes do not suffice; fails if there are over `limit`.
    pub fn need_more(&mut self, limit: usize) -> Result<bool> {
        if self.buf.len() - self.used > limit {
            return Err(Error::Malformed("line too long"));
        }
        self.hungry = true;
        Ok(false)
    }

    /// Reads once; returns 0 at the orderly end of the connection.
    pub async fn fill(&mut self) -> Result<usize> {
        if self.used > 0 {
            self.buf.drain(..self.used);
            self.used = 0;
        }
        let Connection { stream, buf, .. } = self;
        // Reads through a buffer on the stack, so that a dropped future loses nothing and idle
        // connections hold no memory.
        let read = poll_fn(|cx| {
            let mut chunk = [0; READ_SIZE];
            let poll = Pin::new(&mut *stream).poll_read(cx, &mut chunk);
            if let Poll::Ready(Ok(n)) = &poll {
                buf.extend_from_slice(&chunk[..*n]);
            }
            poll
        })
        .await;
        self.hungry = false;
        Ok(read?)
    }

    /// Returns the number of bytes that were received and not used.
    pub fn held(&self) -> usize {
        self.buf.len() - self.used
    }

    /// Drops the bytes that were received and not used.
    pub fn discard(&mut self) {
        self.buf = Vec::new();
        self.used = 0;
    }

    /// Waits until the other side has closed the connection, without using what it has sent.
    pub async fn wait_closed(&mut self) {
        /// Time between two looks at the connection.
        const PERIOD: Duration = Duration::from_millis(100);
        let mut byte = [0; 1];
        while !matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_)) {
            runtime::sleep(PERIOD).await;
        }
    }

    /// Takes the head of a request out of the buffer, once it is complete.
    pub fn parse_request_head(&mut self, limit: usize) -> Result<Option<RequestHead>> {
        // Some callers send an empty line after a body.
        while self.buffered().starts_with(b"\r\n") {
            self.consume(2);
        }
        let parsed = RequestHead::parse(self.buffered())?;
        let size = parsed.as_ref().map_or(self.held(), |(_, n)| *n);
        if size > limit {
            return Err(Error::HeadTooLong);
        }
        Ok(parsed.map(|(head, n)| {
            self.consume(n);
            head
        }))
    }

    /// Reads the head of a response.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead> {
        loop {
            if let Some((head, n)) = ResponseHead::parse(self.buffered())? {
                self.consume(n);
                return Ok(head);
            }
            if self.buffered().len() > limit {
                return Err(Error::HeadTooLong);
            }
            self.fill_inside_message().await?;
        }
    }

    async fn fill_inside_message(&mut self) -> Result<()> {
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

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Tells whether an idle connection has received anything, its end included.
    pub async fn is_stale(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return true;
        }
        let mut byte = [0; 1];
        let peeked = futures_lite::future::poll_once(self.stream.peek(&mut byte)).await;
        peeked.is_some()
    }
}
