//! HTTP/1.1 listener of the stand-ins; can also send malformed responses.

use std::fmt::Write as _;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_types::Request;
use serde::Serialize;

/// Bodies up to this size are written together with the head.
const MAX_SINGLE_WRITE_BYTES: usize = 16 << 10;

#[derive(Clone, Copy)]
pub(crate) struct ListenerLimits {
    /// Concurrent connections; further ones are closed right after they are accepted.
    pub max_connections: usize,
    /// A longer request body closes the connection.
    pub max_body_bytes: u64,
}

#[derive(Default)]
pub(crate) struct ConnectionCounters {
    pub open: AtomicUsize,
    /// Highest number of concurrent connections.
    pub peak: AtomicUsize,
    /// Connections closed because of `max_connections`.
    pub rejected: AtomicUsize,
}

/// Request with its complete body.
pub(crate) struct ReceivedRequest {
    /// Method, URL and headers; its own body has been moved to `body`.
    pub head: Request,
    pub body: Vec<u8>,
    /// Connection that the request was received on.
    pub stream: TcpStream,
}

impl ReceivedRequest {
    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Returns the last value of a header as a number; `None` if it is absent or not a number.
    pub fn header_as_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// Completes when the client closes the connection; never completes if the client sends more
    /// data first.
    pub async fn client_disconnected(&self) {
        let mut byte = [0_u8; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }
}

/// A well-formed response.
#[derive(Debug)]
pub(crate) struct Response {
    pub status: u16,
    /// Headers other than `Content-Length` and `Content-Type`.
    pub headers: Vec<(&'static str, u64)>,
    pub media_type: &'static str,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, value: &impl Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response {
            status,
            headers: Vec::new(),
            media_type: "application/json",
            body,
        }
    }

    /// JSON response with an error message.
    pub fn error(status: u16, message: impl Into<String>) -> Response {
        let message: String = message.into();
        Response::json(status, &serde_json::json!({ "error": message }))
    }

    pub fn with_header(mut self, name: &'static str, value: u64) -> Response {
        self.headers.push((name, value));
        self
    }

    /// Encodes the head of the response with the given `Content-Length` headers.
    pub fn head(&self, lengths: &[usize]) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        for length in lengths {
            let _ = write!(head, "content-length: {length}\r\n");
        }
        let _ = write!(head, "content-type: {}\r\n", self.media_type);
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// How a request is answered, and what happens to its connection.
pub(crate) enum Reply {
    /// Write the response and keep the connection open.
    Response(Response),
    /// Write these bytes and close the connection.
    Raw(Vec<u8>),
    /// Close the connection without a response.
    Close,
}

fn reason_phrase(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("Unknown", |s| s.canonical_reason())
}

/// Serves connections until the channel `stop` is closed; then closes every connection at once, and
/// returns when all are closed.
pub(crate) async fn serve<F, Fut>(
    listener: TcpListener,
    limits: ListenerLimits,
    counters: Arc<ConnectionCounters>,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(ReceivedRequest) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let (alive, all_closed) = async_channel::bounded::<()>(1);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match future::or(channel_closed(&stop), accepted).await {
            None => break,
            Some(Err(err)) => {
                log::warn!("event=accept_failed err=\"{err}\"");
                async_io::Timer::after(std::time::Duration::from_millis(10)).await;
            }
            Some(Ok((stream, _))) => {
                if counters.open.load(Ordering::Relaxed) >= limits.max_connections {
                    counters.rejected.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                let open = OpenConnection::new(counters.clone(), alive.clone());
                let stop = stop.clone();
                let handler = handler.clone();
                runtime::spawn(async move {
                    let served = async { Some(serve_connection(stream, limits, handler).await) };
                    if let Some(Err(err)) = future::or(channel_closed(&stop), served).await {
                        log::debug!("event=connection_failed err=\"{err}\"");
                    }
                    drop(open);
                })
                .detach();
            }
        }
    }
    drop((listener, alive));
    let _ = all_closed.recv().await;
}

/// Completes when the channel is closed.
async fn channel_closed<T>(stop: &Receiver<()>) -> Option<T> {
    while stop.recv().await.is_ok() {}
    None
}

/// Counts a connection as open until dropped.
struct OpenConnection {
    counters: Arc<ConnectionCounters>,
    /// Closes the channel that `serve` waits for when the last connection ends.
    _alive: Sender<()>,
}

impl OpenConnection {
    fn new(counters: Arc<ConnectionCounters>, alive: Sender<()>) -> OpenConnection {
        let open = counters.open.fetch_add(1, Ordering::Relaxed) + 1;
        counters.peak.fetch_max(open, Ordering::Relaxed);
        OpenConnection {
            counters,
            _alive: alive,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    limits: ListenerLimits,
    handler: F,
) -> io::Result<()>
where
    F: Fn(ReceivedRequest) -> Fut,
    Fut: Future<Output = Reply>,
{
    stream.set_nodelay(true)?;
    while let Some(request) = read_request(&stream, limits).await? {
        let close = request
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        match handler(request).await {
            Reply::Response(response) => write_response(stream.clone(), response).await?,
            Reply::Raw(bytes) => {
                stream.clone().write_all(&bytes).await?;
                return Ok(());
            }
            Reply::Close => return Ok(()),
        }
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads a request; `None` if the client has closed the connection.
async fn read_request(
    stream: &TcpStream,
    limits: ListenerLimits,
) -> io::Result<Option<ReceivedRequest>> {
    let decoded = async_h1::server::decode(stream.clone())
        .await
        .map_err(io::Error::other)?;
    let Some((mut head, _)) = decoded else {
        return Ok(None);
    };
    let length = head.len();
    let mut body = Vec::new();
    let reader = head.take_body().into_reader();
    reader
        .take(limits.max_body_bytes + 1)
        .read_to_end(&mut body)
        .await?;
    if body.len() as u64 > limits.max_body_bytes {
        return Err(io::Error::other(format!(
            "request body exceeds {} bytes",
            limits.max_body_bytes
        )));
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(io::Error::other(
            "request body is shorter than its Content-Length",
        ));
    }
    Ok(Some(ReceivedRequest {
        head,
        body,
        stream: stream.clone(),
    }))
}

async fn write_response(mut stream: TcpStream, response: Response) -> io::Result<()> {
    let mut head = response.head(&[response.body.len()]);
    if response.body.len() <= MAX_SINGLE_WRITE_BYTES {
        head.extend_from_slice(&response.body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(&response.body).await
}
