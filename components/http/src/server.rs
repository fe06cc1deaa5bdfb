//! HTTP/1.1 server with persistent connections and pipelining.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_net::{TcpListener, TcpStream};
use error_stack::{Report, ResultExt};
use futures_lite::{AsyncWriteExt, FutureExt, io};
use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codes::{self, Code};
use crate::error::{Error, Result};
use crate::head::check_request;
use crate::stream::{MessageStream, read_head, with_timeout};

/// Limits of a listener and its connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Time that a connection may stay idle between two requests.
    pub idle_timeout: Duration,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// Size limit of a request body in bytes; the whole body is buffered in memory.
    pub max_body: u64,
    /// Limit of open connections; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            idle_timeout: Duration::from_mins(1),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            max_body: 1 << 20,
            max_connections: 4096,
        }
    }
}

/// Serves connections until `stop` closes, then waits for requests in flight.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    options: ServerOptions,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (done_tx, done_rx) = async_channel::bounded::<()>(1);
    let mut budget = runtime::YieldBudget::default();
    loop {
        budget.step().await;
        let accepted = async { Some(listener.accept().await) }
            .or(async {
                let _ = stop.recv().await;
                None
            })
            .await;
        match accepted {
            None => break,
            Some(Ok((tcp, _))) => {
                if open_connections.load(Ordering::Relaxed) >= options.max_connections {
                    metrics::counter!("connections_refused_total").increment(1);
                    continue;
                }
                open_connections.fetch_add(1, Ordering::Relaxed);
                let connection = Connection {
                    tcp,
                    options: options.clone(),
                    stop: stop.clone(),
                    guard: ConnectionGuard {
                        open_connections: open_connections.clone(),
                        _done: done_tx.clone(),
                    },
                };
                runtime::spawn(connection.run(handler.clone())).detach();
            }
            Some(Err(e)) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                runtime::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    drop(done_tx);
    // Every connection holds a sender, so the channel closes after the last one.
    let _ = done_rx.recv().await;
}

/// Counts a connection as open until dropped.
struct ConnectionGuard {
    /// Number of open connections of the listener.
    open_connections: Arc<AtomicUsize>,
    /// Lets [`serve`] return once the last connection has dropped its sender.
    _done: async_channel::Sender<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connection of a caller.
struct Connection {
    tcp: TcpStream,
    options: ServerOptions,
    /// Closes when the listener stops.
    stop: Receiver<()>,
    guard: ConnectionGuard,
}

impl Connection {
    async fn run<F, Fut>(mut self, handler: F)
    where
        F: Fn(Request) -> Fut,
        Fut: Future<Output = Response>,
    {
        let _ = self.tcp.set_nodelay(true);
        let mut buf = Vec::new();
        loop {
            match self.exchange(&mut buf, &handler).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(report) => {
                    self.send_refusal(*report.current_context()).await;
                    break;
                }
            }
        }
        drop(self.guard);
    }

    /// Serves one request; returns whether the connection stays open for another one.
    async fn exchange<F, Fut>(&mut self, buf: &mut Vec<u8>, handler: &F) -> Result<bool>
    where
        F: Fn(Request) -> Fut,
        Fut: Future<Output = Response>,
    {
        let Some(raw) = self.next_head(buf).await? else {
            return Ok(false);
        };
        let head = check_request(&raw)?;
        if head.expects_continue {
            self.tcp
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .change_context(Error::Io)?;
        }
        let limit = self.options.body_timeout;
        let rest = std::mem::take(buf);
        let mut stream =
            MessageStream::new(self.tcp.clone(), &head, &rest, self.options.max_body, limit)?;
        let req = read_request(&stream).await?;
        let method = req.method();
        let rest = stream.clone().into_rest();
        let served = self
            .run_until_disconnect(handler(req), rest.as_deref())
            .await;
        let Some(mut res) = served else {
            return Ok(false);
        };
        let close = head.close || rest.is_none() || self.stop.is_closed();
        if close {
            res.insert_header("connection", "close");
        }
        let mut encoder = async_h1::server::Encoder::new(res, method);
        if let Err(e) = io::copy(&mut encoder, &mut stream).await {
            // The caller detects this, because the body is shorter than its framing says.
            metrics::counter!("responses_cut_total").increment(1);
            log::debug!("event=response_cut error=\"{e}\"");
            return Ok(false);
        }
        *buf = rest.unwrap_or_default();
        Ok(!close)
    }

    /// Waits for the next head; `None` if the connection closes or stays idle too long, or the
    /// listener stops, between two requests.
    async fn next_head(&mut self, buf: &mut Vec<u8>) -> Result<Option<Vec<u8>>> {
        let stop = self.stop.clone();
        let is_idle = buf.is_empty();
        if is_idle {
            let mut first = [0; 1];
            let tcp = self.tcp.clone();
            let has_data = async { matches!(tcp.peek(&mut first).await, Ok(1)) }
                .or(async {
                    let _ = stop.recv().await;
                    false
                })
                .or(async {
                    runtime::sleep(self.options.idle_timeout).await;
                    false
                })
                .await;
            if !has_data {
                return Ok(None);
            }
        }
        let limit = self.options.head_timeout;
        read_head(&mut self.tcp, buf, limit, limit).await.map(Some)
    }

    /// Runs the handler; cancels it if the caller closes the connection.
    async fn run_until_disconnect(
        &self,
        fut: impl Future<Output = Response>,
        rest: Option<&[u8]>,
    ) -> Option<Response> {
        let pipelined = rest.is_some_and(|r| !r.is_empty());
        let disconnected = async {
            let mut first = [0; 1];
            if pipelined || self.tcp.peek(&mut first).await.is_ok_and(|n| n > 0) {
                futures_lite::future::pending::<()>().await;
            }
            metrics::counter!("callers_left_total").increment(1);
            None
        };
        async { Some(fut.await) }.or(disconnected).await
    }

    /// Sends an error response to a request that could not be read.
    async fn send_refusal(&mut self, error: Error) {
        let code = match error {
            Error::Closed | Error::Io => return,
            Error::InvalidHead(_) | Error::InvalidBody => Code::BadRequest,
            Error::HeadTooLong => Code::HeadTooLong,
            Error::BodyTooLong => Code::BodyTooLong,
            Error::Timeout => Code::RequestTimeout,
            _ => Code::RequestTruncated,
        };
        let mut res = codes::refusal(code, &error.to_string());
        res.insert_header("connection", "close");
        let mut encoder = async_h1::server::Encoder::new(res, http_types::Method::Get);
        let sent = async {
            io::copy(&mut encoder, &mut self.tcp)
                .await
                .change_context(Error::Io)?;
            Ok(())
        };
        let _ = with_timeout(Duration::from_secs(1), sent).await;
    }
}

/// Reads a request with its body into memory.
async fn read_request(stream: &MessageStream) -> Result<Request> {
    let decoded = async_h1::server::decode(stream.clone())
        .await
        .map_err(|e| {
            Report::new(Error::InvalidHead("undecodable request")).attach(e.to_string())
        })?;
    let Some((mut req, _)) = decoded else {
        return Err(Report::new(Error::Truncated));
    };
    let bytes = req.body_bytes().await.map_err(|e| {
        let error = match e.downcast_ref::<io::Error>().map(io::Error::kind) {
            Some(io::ErrorKind::TimedOut) => Error::Timeout,
            Some(io::ErrorKind::InvalidData) => Error::BodyTooLong,
            _ => Error::Truncated,
        };
        Report::new(error).attach(e.to_string())
    })?;
    req.remove_header("transfer-encoding");
    req.set_body(Body::from_bytes(bytes));
    Ok(req)
}

pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut res = Response::new(status);
    res.set_body(Body::from_bytes(
        serde_json::to_vec(value).unwrap_or_default(),
    ));
    res.insert_header("content-type", "application/json");
    res
}

/// Reads the body of a request and decodes it as JSON.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T> {
    let bytes = req
        .body_bytes()
        .await
        .map_err(|e| Report::new(Error::Truncated).attach(e.to_string()))?;
    serde_json::from_slice(&bytes).change_context(Error::InvalidBody)
}
