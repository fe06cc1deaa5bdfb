//! HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Word of the start line: method, target and version, or version, status and reason.
    pub fn word(&self, i: usize) -> &str {
        self.start.split(' ').nth(i).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, limit)?))
    }

    fn fill(&mut self, deadline: Option<Instant>) -> std::io::Result<usize> {
        if let Some(at) = deadline {
            let left = at.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        }
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a message with a length, in chunks or without a body; `None` if the connection ended
    /// before its first byte.
    pub fn read(&mut self, deadline: Option<Instant>) -> std::io::Result<Option<Message>> {
        let cut = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "cut short");
        let end = loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                break end;
            }
            if self.fill(deadline)? == 0 {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(cut())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        if message.get("transfer-encoding").is_some() {
            loop {
                let line_end = loop {
                    if let Some(end) = find(&self.buf, b"\r\n") {
                        break end;
                    }
                    if self.fill(deadline)? == 0 {
                        return Err(cut());
                    }
                };
                let size = String::from_utf8_lossy(&self.buf[..line_end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                while self.buf.len() < line_end + 2 + size + 2 {
                    if self.fill(deadline)? == 0 {
                        return Err(cut());
                    }
                }
                message
                    .body
                    .extend_from_slice(&self.buf[line_end + 2..line_end + 2 + size]);
                self.buf.drain(..line_end + 2 + size + 2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length = message
            .get("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        while self.buf.len() < length {
            if self.fill(deadline)? == 0 {
                return Err(cut());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Encodes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}
