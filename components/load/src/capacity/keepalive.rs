//! Load generator with blocking sockets and keep-alive connections, which keeps its own cost low.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of connecting and of each read.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A keep-alive connection.
pub struct Connection {
    tcp: TcpStream,
    /// Bytes of the last response, with its head.
    buf: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let tcp = TcpStream::connect_timeout(&address, EXCHANGE_TIMEOUT)?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
        Ok(Connection {
            tcp,
            buf: Vec::with_capacity(16 << 10),
        })
    }

    /// Returns the body of the last response.
    pub fn body(&self) -> &[u8] {
        let end = self.buf.windows(4).position(|w| w == b"\r\n\r\n");
        end.map_or(&[], |end| &self.buf[end + 4..])
    }

    /// Sends a request and reads the whole response; returns true if it has status 200 and no result
    /// code of an entry VM.
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
                .ok_or_else(|| io::Error::other("response has no valid content-length header"))?;
            if self.buf.len() >= end + 4 + length {
                let is_refused = head.contains("\nx-result-code:");
                return Ok(head.starts_with("http/1.1 200") && !is_refused);
            }
        }
    }
}

/// Responses to a repeated request on all connections.
#[derive(Debug, Default)]
pub struct ResponseCounts {
    /// Responses for which [`Connection::exchange`] returned true.
    pub good: u64,
    /// Other complete responses.
    pub other: u64,
    /// Time from the first request to the last response.
    pub elapsed: Duration,
}

/// Sends a request repeatedly on each of `connections` connections for `duration`.
pub fn send_repeatedly(
    address: SocketAddr,
    request: &[u8],
    connections: usize,
    duration: Duration,
) -> io::Result<ResponseCounts> {
    let started = Instant::now();
    let send_until_end = || -> io::Result<(u64, u64)> {
        let mut connection = Connection::open(address)?;
        let (mut good, mut other) = (0, 0);
        while started.elapsed() < duration {
            if connection.exchange(request)? {
                good += 1;
            } else {
                other += 1;
            }
        }
        Ok((good, other))
    };
    let mut counts = ResponseCounts::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..connections)
            .map(|_| scope.spawn(send_until_end))
            .collect();
        for thread in threads {
            let (good, other) = thread
                .join()
                .map_err(|_| io::Error::other("a load generator thread panicked"))??;
            counts.good += good;
            counts.other += other;
        }
        counts.elapsed = started.elapsed();
        Ok(counts)
    })
}

/// Returns the head of a look-up request.
pub fn look_up_request(service: &str) -> Vec<u8> {
    format!("GET /lookup?service={service} HTTP/1.1\r\nhost: rosemaryglade\r\n\r\n").into_bytes()
}

/// Returns the head of a request that is relayed to a server and has a response of 2,000 bytes.
pub fn relayed_request(service: &str) -> Vec<u8> {
    format!(
        "GET /work/1 HTTP/1.1\r\nhost: rosemaryglade\r\nx-service: {service}\r\n\
         x-house: house-1\r\nx-deadline-ms: 2000\r\nx-request-id: 1\r\nx-execution-id: 1\r\n\
         x-answer-bytes: 2000\r\n\r\n"
    )
    .into_bytes()
}
