//! Bodies of messages.

use super::connection::Connection;
use super::error::{Error, Result};

/// Longest line that gives the size of a chunk, or trailer field.
const MAX_CHUNK_LINE: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the orderly end of the connection.
    UntilClose,
}

/// What is left to read of a body.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes left.
    Length(u64),
    /// Before the size of a chunk.
    ChunkSize,
    /// Bytes left of a chunk.
    Chunk(u64),
    /// Before the line end after a chunk.
    ChunkEnd,
    /// Within the trailer.
    Trailer,
    UntilClose,
    Complete,
}

impl Body {
    /// Starts at the first byte after the head.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Body { state }
    }

    /// Tells whether the whole body has been read.
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
                return self.end();
            }
            self.advance(conn, out)?;
        }
        Ok(())
    }

    /// Moves what has been received of the body to `out`.
    pub fn advance(&mut self, conn: &mut Connection, out: &mut Vec<u8>) -> Result<()> {
        while self.step(conn, out)? {}
        Ok(())
    }

    /// Handles the end of the connection.
    fn end(&mut self) -> Result<()> {
        if self.state != State::UntilClose {
            return Err(Error::Truncated);
        }
        self.state = State::Complete;
        Ok(())
    }

    /// Consumes buffered bytes; returns whether it could proceed.
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
            State::Length(left) => {
                let n = left.min(available);
                conn.take_into(n as usize, out);
                self.state = if n == left {
                    State::Complete
                } else {
                    State::Length(left - n)
                };
                Ok(true)
            }
            State::Chunk(left) => {
                let n = left.min(available);
                conn.take_into(n as usize, out);
                self.state = if n == left {
                    State::ChunkEnd
                } else {
                    State::Chunk(left - n)
                };
                Ok(true)
            }
            State::ChunkEnd => self.step_chunk_end(conn),
            State::ChunkSize => self.step_chunk_size(conn),
            State::Trailer => self.step_trailer(conn),
        }
    }

    fn step_chunk_end(&mut self, conn: &mut Connection) -> Result<bool> {
        if conn.buffered().len() < 2 {
            return conn.need_more(MAX_CHUNK_LINE);
        }
        if !conn.buffered().starts_with(b"\r\n") {
            return Err(Error::Malformed("end of chunk"));
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
                    State::Trailer
                } else {
                    State::Chunk(size)
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) => conn.need_more(MAX_CHUNK_LINE),
            Err(_) => Err(Error::Malformed("chunk size")),
        }
    }

    fn step_trailer(&mut self, conn: &mut Connection) -> Result<bool> {
        let Some(end) = conn.buffered().windows(2).position(|w| w == b"\r\n") else {
            return conn.need_more(MAX_CHUNK_LINE);
        };
        conn.consume(end + 2);
        if end == 0 {
            self.state = State::Complete;
        }
        Ok(true)
    }
}
