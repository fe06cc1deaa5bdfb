//! Reading of HTTP/1.1 messages from a blocking connection.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// Start line, header fields with lower-case names, and body.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Second word of the start line: the target of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn ended(what: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, what.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads the head and the whole body; `None` if the connection ends before the first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
                let mut data = self.read_exact(size + 2)?;
                if size == 0 {
                    return Ok(Some(message));
                }
                data.truncate(size);
                message.body.extend_from_slice(&data);
            }
        }
        let length = message.header("content-length").unwrap_or("0").parse();
        let length = length.map_err(|_| Error::new(ErrorKind::InvalidData, "content-length"))?;
        message.body = self.read_exact(length)?;
        Ok(Some(message))
    }

    fn read_head(&mut self) -> Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let headers = fields
                    .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Message {
                    start,
                    headers,
                    body: Vec::new(),
                }));
            }
            if self.fill()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(ended("connection ended in a head"));
            }
        }
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ended("connection ended in a chunk size"));
            }
        }
    }

    fn read_exact(&mut self, n: usize) -> Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(ended("connection ended in a body"));
            }
        }
        Ok(self.buf.drain(..n).collect())
    }
}
