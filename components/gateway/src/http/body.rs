//! Incremental reading of message bodies.

use super::connection::Connection;
use super::error::{Error, Result};

/// Maximum length in bytes of a chunk size line or a trailer field.
const MAX_CHUNK_LINE: usize = 4096;
/// Maximum length in bytes of all trailer fields of a body.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Orderly close of the connection.
    UntilClose,
}

/// Read state of a body.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes.
    Length(u64),
    /// Before a chunk size line.
    ChunkSize,
    /// Remaining bytes of a chunk.
    Chunk(u64),
    /// Before the CRLF after chunk data.
    ChunkEnd,
    /// In the trailer section, after this number of bytes.
    Trailer(usize),
    UntilClose,
    Complete,
}

impl Body {
    /// Creates the state at the first byte after the head.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Body { state }
    }

    /// Returns whether the whole body has been read.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Reads until the body is complete or `out` holds at least `limit` bytes.
    pub async fn read(
        &mut self,
        conn: &mut Connection,
        out: &mut Vec<u8>,
        limit: usize,
    ) -> Result<()> {
        while !self.is_complete() && out.len() < limit {
            if conn.buffered().is_empty() && conn.fill().await? == 0 {
                return self.handle_eof();
            }
            self.advance(conn, out)?;
        }
        Ok(())
    }

    /// Moves the buffered bytes of the body to `out`.
    pub fn advance(&mut self, conn: &mut Connection, out: &mut Vec<u8>) -> Result<()> {
        while self.step(conn, out)? {}
        Ok(())
    }

    /// Handles the end of the connection; an error unless it ends the body.
    fn handle_eof(&mut self) -> Result<()> {
        if self.state != State::UntilClose {
            return Err(Error::Truncated);
        }
        self.state = State::Complete;
        Ok(())
    }

    /// Consumes buffered bytes; returns false if the body is complete or needs more input.
    fn step(&mut self, conn: &mut Connection, out: &mut Vec<u8>) -> Result<bool> {
        let available = conn.buffered().len() as u64;
        if available == 0 {
            return Ok(false);
        }
        match self.state {
            State::Complete => Ok(false),
            State::UntilClose => {
                conn.take_into(available as usize, out);
                Ok(false)
            }
            State::Length(remaining) => {
                let n = remaining.min(available);
                conn.take_into(n as usize, out);
                self.state = if n == remaining {
                    State::Complete
                } else {
                    State::Length(remaining - n)
                };
                Ok(true)
            }
            State::Chunk(remaining) => {
                let n = remaining.min(available);
                conn.take_into(n as usize, out);
                self.state = if n == remaining {
                    State::ChunkEnd
                } else {
                    State::Chunk(remaining - n)
                };
                Ok(true)
            }
            State::ChunkEnd => self.step_chunk_end(conn),
            State::ChunkSize => self.step_chunk_size(conn),
            State::Trailer(read) => self.step_trailer(conn, read),
        }
    }

    fn step_chunk_end(&mut self, conn: &mut Connection) -> Result<bool> {
        if conn.buffered().len() < 2 {
            return conn.need_more(MAX_CHUNK_LINE);
        }
        if !conn.buffered().starts_with(b"\r\n") {
            return Err(Error::Malformed("chunk data is not followed by CRLF"));
        }
        conn.consume(2);
        self.state = State::ChunkSize;
        Ok(true)
    }

    fn step_chunk_size(&mut self, conn: &mut Connection) -> Result<bool> {
        match httparse::parse_chunk_size(conn.buffered()) {
            Ok(httparse::Status::Complete((n, size))) => {
                conn.consume(n);
                self.state = if size == 0 {
                    State::Trailer(0)
                } else {
                    State::Chunk(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) => conn.need_more(MAX_CHUNK_LINE),
            Err(_) => Err(Error::Malformed("invalid chunk size")),
        }
    }

    fn step_trailer(&mut self, conn: &mut Connection, read: usize) -> Result<bool> {
        let Some(end) = conn.buffered().windows(2).position(|w| w == b"\r\n") else {
            return conn.need_more(MAX_CHUNK_LINE);
        };
        let read = read + end + 2;
        if read > MAX_TRAILER_BYTES {
            return Err(Error::Malformed("trailer section is too long"));
        }
        conn.consume(end + 2);
        self.state = if end == 0 {
            State::Complete
        } else {
            State::Trailer(read)
        };
        Ok(true)
    }
}
