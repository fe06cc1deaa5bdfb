//! HTTP/1.1 client; each connection carries one request.

use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use error_stack::{Report, ResultExt};
use futures_lite::io;
use http_types::{Body, Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::head::check_response;
use crate::stream::{MessageStream, read_head, with_timeout};

/// Maximum number of heads read for one request, including those of interim (1xx) responses.
const MAX_RESPONSE_HEADS: u32 = 8;

/// Limits of one exchange.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    pub connect_timeout: Duration,
    /// Time from the start of the request to the end of the response.
    pub timeout: Duration,
    /// Size limit of the response body in bytes.
    pub max_body: u64,
    /// Whether the request must arrive within about a second or not at all.
    pub limit_delivery: bool,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            connect_timeout: Duration::from_secs(1),
            timeout: Duration::from_secs(5),
            max_body: 64 << 20,
            limit_delivery: false,
        }
    }
}

/// Sends a request on a new connection and returns the response with its body in memory.
pub async fn request(addr: SocketAddr, req: Request, options: &ClientOptions) -> Result<Response> {
    let tcp = connect(addr, options.connect_timeout).await?;
    exchange(tcp, req, options).await
}

/// Sends a request on an open connection and returns the response with its body in memory.
pub async fn exchange(tcp: TcpStream, req: Request, options: &ClientOptions) -> Result<Response> {
    let whole_exchange = async {
        let mut res = Box::pin(send(tcp, req, options)).await?;
        let bytes = res
            .body_bytes()
            .await
            .map_err(|e| Report::new(Error::Truncated).attach(e.to_string()))?;
        res.set_body(Body::from_bytes(bytes));
        Ok(res)
    };
    with_timeout(options.timeout, Box::pin(whole_exchange)).await
}

/// Opens a connection; an error here means that nothing was sent.
pub async fn connect(addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let open = async {
        let tcp = TcpStream::connect(addr)
            .await
            .change_context(Error::Connect)?;
        tcp.set_nodelay(true).change_context(Error::Connect)?;
        runtime::enable_keep_alive(&tcp).change_context(Error::Connect)?;
        Ok(tcp)
    };
    with_timeout(limit, open)
        .await
        .change_context(Error::Connect)
        .attach_with(|| addr)
}

/// Sends a request and returns the response as soon as its head is read; the body is streamed.
///
/// Reading the body fails if the connection ends before the body is complete.
/// Dropping the response closes the connection.
pub async fn send(mut tcp: TcpStream, req: Request, options: &ClientOptions) -> Result<Response> {
    let head_request = req.method() == Method::Head;
    let socket = tcp.clone();
    let unanswered = DiscardOnDrop(Some(tcp.clone()));
    let exchange = async {
        let mut encoder = async_h1::client::Encoder::new(req);
        io::copy(&mut encoder, &mut tcp)
            .await
            .change_context(Error::Io)?;
        let mut buf = Vec::new();
        for _ in 0..MAX_RESPONSE_HEADS {
            let raw = read_head(&mut tcp, &mut buf, options.timeout, options.timeout).await?;
            let head = check_response(&raw, head_request)?;
            match head.status {
                101 => {
                    return Err(Report::new(Error::InvalidHead(
                        "unexpected protocol switch",
                    )));
                }
                100..200 => {}
                _ => return Ok((head, buf)),
            }
        }
        Err(Report::new(Error::InvalidHead(
            "too many interim responses",
        )))
    };
    let exchange = Box::pin(with_timeout(options.timeout, Box::pin(exchange)));
    let (head, rest) = if options.limit_delivery {
        runtime::limit_delivery_time(&socket, exchange).await?
    } else {
        exchange.await?
    };
    unanswered.disarm();
    let stream = MessageStream::new(tcp, &head, &rest, options.max_body, options.timeout)?;
    let mut res = async_h1::client::decode(stream).await.map_err(|e| {
        Report::new(Error::InvalidHead("undecodable response")).attach(e.to_string())
    })?;
    if !head.has_date {
        // async-h1 adds a Date header whose value contains a line break, which would end the head
        // too early when the response is relayed.
        res.remove_header("date");
    }
    Ok(res)
}

/// Discards a request that is given up before its response, so that it does not reach the peer later.
struct DiscardOnDrop(Option<TcpStream>);

impl DiscardOnDrop {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for DiscardOnDrop {
    fn drop(&mut self) {
        if let Some(tcp) = &self.0 {
            runtime::discard_on_close(tcp);
        }
    }
}

/// Builds a request; `path` starts with a slash and may include a query.
pub fn build_request(method: Method, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://rosemaryglade{path}"))
        .change_context(Error::InvalidHead("invalid path"))?;
    Ok(Request::new(method, url))
}

pub fn json_request<T: Serialize>(method: Method, path: &str, value: &T) -> Result<Request> {
    let mut req = build_request(method, path)?;
    let body = serde_json::to_vec(value).change_context(Error::InvalidBody)?;
    req.set_body(Body::from_bytes(body));
    req.insert_header("content-type", "application/json");
    Ok(req)
}

/// Reads the body of a response and decodes it as JSON.
pub async fn parse_json<T: DeserializeOwned>(res: &mut Response) -> Result<T> {
    let bytes = res
        .body_bytes()
        .await
        .map_err(|e| Report::new(Error::Truncated).attach(e.to_string()))?;
    serde_json::from_slice(&bytes).change_context(Error::InvalidBody)
}
