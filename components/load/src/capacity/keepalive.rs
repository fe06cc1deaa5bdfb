//! A caller with blocking sockets and kept-alive connections, so that its own cost is small.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which an exchange has failed.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(2);

/// One open connection.
pub struct Connection {
    /// Socket.
    tcp: TcpStream,
    /// Bytes of the answer being read.
    buf: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let tcp = TcpStream::connect_timeout(&address, EXCHANGE_LIMIT)?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(EXCHANGE_LIMIT))?;
        Ok(Connection {
            tcp,
            buf: Vec::with_capacity(16 << 10),
        })
    }

    /// Body of the last answer.
    pub fn body(&self) -> &[u8] {
        let end = self.buf.windows(4).position(|w| w == b"\r\n\r\n");
        end.map_or(&[], |end| &self.buf[end + 4..])
    }

    /// Sends a request; tells whether its whole answer came with status 200 from a server.
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<bool> {
        self.tcp.write_all(request)?;
        self.buf.clear();
        let mut chunk = [0; 16 << 10];
        loop {
            let n = self.tcp.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buf.extend_from_slice(&chunk[..n]);
            let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") else {
                continue;
            };
            let head = String::from_utf8_lossy(&self.buf[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length:"))
                .and_then(|v| v.trim().parse::<usize>().ok())
                .ok_or_else(|| io::Error::other("answer without content-length"))?;
            if self.buf.len() >= end + 4 + length {
                let is_refused = head.contains("\nx-result-code:");
                return Ok(head.starts_with("http/1.1 200") && !is_refused);
            }
        }
    }
}

/// What a run over several connections counted.
#[derive(Debug, Default)]
pub struct Counted {
    /// Answers with status 200.
    pub good: u64,
    /// Other answers.
    pub other: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

/// Sends a request again and again on `connections` connections for `time`.
pub fn run(
    address: SocketAddr,
    request: &[u8],
    connections: usize,
    time: Duration,
) -> io::Result<Counted> {
    let started = Instant::now();
    let one = || -> io::Result<(u64, u64)> {
        let mut connection = Connection::open(address)?;
        let (mut good, mut other) = (0, 0);
        while started.elapsed() < time {
            if connection.exchange(request)? {
                good += 1;
            } else {
                other += 1;
            }
        }
        Ok((good, other))
    };
    let mut counted = Counted::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..connections).map(|_| scope.spawn(one)).collect();
        for thread in threads {
            let (good, other) = thread
                .join()
                .map_err(|_| io::Error::other("a caller panicked"))??;
            counted.good += good;
            counted.other += other;
        }
        counted.elapsed = started.elapsed();
        Ok(counted)
    })
}

/// Head of a look-up.
pub fn look_up(service: &str) -> Vec<u8> {
    format!("GET /lookup?service={service} HTTP/1.1\r\nhost: rosemaryglade\r\n\r\n").into_bytes()
}

/// Head of a request that is relayed, with an answer of 2,000 bytes.
pub fn work(service: &str) -> Vec<u8> {
    format!(
        "GET /work/1 HTTP/1.1\r\nhost: rosemaryglade\r\nx-service: {service}\r\n\
         x-house: house-1\r\nx-deadline-ms: 2000\r\nx-request-id: 1\r\nx-execution-id: 1\r\n\
         x-answer-bytes: 2000\r\n\r\n"
    )
    .into_bytes()
}
