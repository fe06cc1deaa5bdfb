//! Connections of a stand-in: reading requests and writing answers, well-formed or not.

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

/// Bodies up to this size go out in one write together with the head.
const SINGLE_WRITE: usize = 16 << 10;

/// Limits of a listener.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Connections open at once; further ones are closed right after the accept.
    pub connections: usize,
    /// Longest request body in bytes; longer ones close the connection.
    pub body: u64,
}

/// Connection counters of a listener.
#[derive(Default)]
pub(crate) struct Counters {
    /// Connections open now.
    pub open: AtomicUsize,
    /// Most connections open at once.
    pub peak: AtomicUsize,
    /// Connections closed because of the limit.
    pub rejected: AtomicUsize,
}

/// One request with its whole body.
pub(crate) struct Call {
    /// Method, URL and headers.
    pub req: Request,
    /// Body.
    pub body: Vec<u8>,
    /// Connection that it came in on.
    pub stream: TcpStream,
}

impl Call {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|values| values.last().as_str())
    }

    /// Value of a header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// Returns when the client has closed the connection, never before.
    pub async fn closed(&self) {
        let mut byte = [0_u8; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }
}

/// A well-formed answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers besides length and type.
    pub headers: Vec<(&'static str, u64)>,
    /// Media type.
    pub media: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A JSON answer.
    pub fn json(status: u16, value: &impl Serialize) -> Answer {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Answer {
            status,
            headers: Vec::new(),
            media: "application/json",
            body,
        }
    }

    /// A JSON answer that only says what was wrong.
    pub fn error(status: u16, message: impl Into<String>) -> Answer {
        let message: String = message.into();
        Answer::json(status, &serde_json::json!({ "error": message }))
    }

    /// The same answer with one more header.
    pub fn with(mut self, name: &'static str, value: u64) -> Answer {
        self.headers.push((name, value));
        self
    }

    /// Head of the answer with the given `Content-Length` headers.
    pub fn head(&self, lengths: &[usize]) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for length in lengths {
            let _ = write!(head, "content-length: {length}\r\n");
        }
        let _ = write!(head, "content-type: {}\r\n", self.media);
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// What to do with a connection after a request.
pub(crate) enum Reply {
    /// Write the answer and keep the connection.
    Answer(Answer),
    /// Write these bytes and close the connection.
    Raw(Vec<u8>),
    /// Close the connection without an answer.
    Close,
}

fn reason(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("Unknown", |s| s.canonical_reason())
}

/// Serves connections until `stop` closes; then every connection is closed at once.
pub(crate) async fn serve<F, Fut>(
    listener: TcpListener,
    limits: Limits,
    counters: Arc<Counters>,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Call) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let (alive, ended) = async_channel::bounded::<()>(1);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match future::or(closed(&stop), accepted).await {
            None => break,
            Some(Err(err)) => {
                log::warn!("event=accept_failed err=\"{err}\"");
                async_io::Timer::after(std::time::Duration::from_millis(10)).await;
            }
            Some(Ok((stream, _))) => {
                if counters.open.load(Ordering::Relaxed) >= limits.connections {
                    counters.rejected.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                let open = Open::new(counters.clone(), alive.clone());
                let stop = stop.clone();
                let handler = handler.clone();
                runtime::spawn(async move {
                    let served = async { Some(exchange_all(stream, limits, handler).await) };
                    if let Some(Err(err)) = future::or(closed(&stop), served).await {
                        log::debug!("event=connection_failed err=\"{err}\"");
                    }
                    drop(open);
                })
                .detach();
            }
        }
    }
    drop((listener, alive));
    let _ = ended.recv().await;
}

/// Returns when the channel closes.
async fn closed<T>(stop: &Receiver<()>) -> Option<T> {
    while stop.recv().await.is_ok() {}
    None
}

/// Counts one open connection while it exists.
struct Open {
    counters: Arc<Counters>,
    _alive: Sender<()>,
}

impl Open {
    fn new(counters: Arc<Counters>, alive: Sender<()>) -> Open {
        let open = counters.open.fetch_add(1, Ordering::Relaxed) + 1;
        counters.peak.fetch_max(open, Ordering::Relaxed);
        Open {
            counters,
            _alive: alive,
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn exchange_all<F, Fut>(stream: TcpStream, limits: Limits, handler: F) -> io::Result<()>
where
    F: Fn(Call) -> Fut,
    Fut: Future<Output = Reply>,
{
    stream.set_nodelay(true)?;
    while let Some(call) = read_call(&stream, limits).await? {
        let close = call
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        match handler(call).await {
            Reply::Answer(answer) => write_answer(stream.clone(), answer).await?,
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

/// Reads one request; `None` when the client has closed the connection.
async fn read_call(stream: &TcpStream, limits: Limits) -> io::Result<Option<Call>> {
    let decoded = async_h1::server::decode(stream.clone())
        .await
        .map_err(io::Error::other)?;
    let Some((mut req, _)) = decoded else {
        return Ok(None);
    };
    let length = req.len();
    let mut body = Vec::new();
    let reader = req.take_body().into_reader();
    reader.take(limits.body + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > limits.body {
        return Err(io::Error::other(format!(
            "request body exceeds {} bytes",
            limits.body
        )));
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(io::Error::other("request body ended early"));
    }
    Ok(Some(Call {
        req,
        body,
        stream: stream.clone(),
    }))
}

async fn write_answer(mut stream: TcpStream, answer: Answer) -> io::Result<()> {
    let mut head = answer.head(&[answer.body.len()]);
    if answer.body.len() <= SINGLE_WRITE {
        head.extend_from_slice(&answer.body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(&answer.body).await
}
