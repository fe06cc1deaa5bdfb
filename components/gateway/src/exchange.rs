//! Exchange of one request and response with a server or another entry VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;

use crate::dialect::HeaderNames;
use crate::http::{Body, Connection, ConnectionHistory, Error, Framing, ResponseHead};
use crate::idle::IdleConnections;
use crate::memory::{BodyMemory, Reservation};

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes of a response body that are buffered before any is sent to the caller. Until then, a
/// damaged response can be replaced by that of another server.
const BODY_BUFFER_BYTES: usize = 256 * 1024;
/// Bytes that are buffered of each response body even if the budget for bodies is used up.
const MIN_BODY_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of responses read on one connection for one request, including 1xx responses and
/// those to other requests.
const MAX_RESPONSE_HEADS: u32 = 8;

/// An encoded request and the conditions of its exchange.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    pub address: SocketAddr,
    /// Method, which determines whether the response has a body.
    pub method: &'a str,
    /// Request id that the response must carry.
    pub id: &'a str,
    /// Encoded head, with the body if that is short.
    pub bytes: Vec<u8>,
    /// A longer body, which is not copied.
    pub body: &'a [u8],
    /// Whether a 2xx response must carry a server's signature.
    pub require_signature: bool,
}

/// A response whose body is complete or exceeds the buffer.
#[derive(Debug)]
pub struct ReceivedResponse {
    /// Address of the server or entry VM.
    pub address: SocketAddr,
    pub head: ResponseHead,
    /// Body, or its start if `rest` is set.
    pub body: Vec<u8>,
    /// Reservation of the memory that `body` takes beyond `MIN_BODY_BUFFER_BYTES`.
    pub memory: Reservation,
    /// History of the connection before the request.
    pub via: ConnectionHistory,
    /// Connection and read state of a body that exceeds the buffer.
    pub rest: Option<(Connection, Body)>,
}

/// Why an exchange gave no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    Unreachable(Error),
    /// The server must not get the request any more, or its deadline has passed; nothing was sent.
    Withdrawn,
    /// The connection failed or the response was invalid; the request may have been received.
    Lost(Error),
}

/// Returns whether requests with this method share connections with others. The answer to a HEAD
/// request has no body whatever its fields say, and a late copy of an answer does not tell the method
/// of its request.
fn shares_connections(method: &str) -> bool {
    method != "HEAD"
}

/// Takes a connection that has been idle for less than `max_idle` and on which the request `id` was
/// not sent, or opens one within `limit`.
pub async fn connect(
    address: SocketAddr,
    method: &str,
    id: &str,
    limit: Duration,
    max_idle: Duration,
    idle: &IdleConnections,
    now: Duration,
) -> Result<Connection, Failure> {
    if shares_connections(method)
        && let Some(connection) = idle.take(address, id, max_idle, now).await
    {
        return Ok(connection);
    }
    metrics::counter!("gateway_server_connections_total").increment(1);
    Connection::open(address, limit)
        .await
        .map_err(Failure::Unreachable)
}

/// Sends a request on a connection and receives the response with the same request id.
pub async fn exchange(
    mut connection: Connection,
    out: &OutgoingRequest<'_>,
    names: &HeaderNames,
    idle: &IdleConnections,
    budget: &Arc<BodyMemory>,
    now: impl Fn() -> Duration,
) -> Result<ReceivedResponse, Failure> {
    let mut request_written = false;
    let via = connection.begin_request(out.id);
    let stream = connection.stream();
    let head = send_and_read_head(&mut connection, out, names, via, &mut request_written);
    let head = runtime::limit_delivery_time(&stream, head)
        .await
        .map_err(Failure::Lost)?;
    drop(stream);
    connection.end_request();
    let framing = head.framing(out.method).map_err(Failure::Lost)?;
    let mut body = Body::new(framing);
    let mut bytes = Vec::new();
    let memory = read_body(&mut connection, &mut body, &mut bytes, budget)
        .await
        .map_err(Failure::Lost)?;
    if !body.is_complete() {
        let rest = Some((connection, body));
        return Ok(ReceivedResponse {
            address: out.address,
            head,
            body: bytes,
            memory,
            via,
            rest,
        });
    }
    let reusable = request_written
        && shares_connections(out.method)
        && head.keeps_alive()
        && framing != Framing::UntilClose
        && connection.buffered().is_empty();
    if reusable {
        idle.put(out.address, connection, keep_alive_timeout(&head), now());
    }
    Ok(ReceivedResponse {
        address: out.address,
        head,
        body: bytes,
        memory,
        via,
        rest: None,
    })
}

/// Reads a body until it is complete, or as far as it may be buffered. Returns the reservation of the
/// memory that it takes.
async fn read_body(
    connection: &mut Connection,
    body: &mut Body,
    out: &mut Vec<u8>,
    budget: &Arc<BodyMemory>,
) -> Result<Reservation, Error> {
    body.read(connection, out, MIN_BODY_BUFFER_BYTES).await?;
    let mut memory = budget.reservation();
    while !body.is_complete() && out.len() < BODY_BUFFER_BYTES {
        // The buffer doubles when it is full.
        let wanted = out.len();
        if !memory.grow(wanted) {
            break;
        }
        let limit = (out.len() + wanted).min(BODY_BUFFER_BYTES);
        body.read(connection, out, limit).await?;
    }
    Ok(memory)
}

/// Writes the request and reads the response concurrently, since a server may respond before it has
/// read a long body.
async fn send_and_read_head(
    connection: &mut Connection,
    out: &OutgoingRequest<'_>,
    names: &HeaderNames,
    via: ConnectionHistory,
    request_written: &mut bool,
) -> Result<ResponseHead, Error> {
    let mut writer = connection.writer();
    let write = async {
        let written = async {
            writer.write_all(&out.bytes).await?;
            writer.write_all(out.body).await
        };
        match written.await {
            Ok(()) => *request_written = true,
            // The response may have arrived before the failure; the read shows that, and also gets the
            // error if the response ends with the connection.
            Err(e) => log::debug!("event=request_write_failed id={} error=\"{e}\"", out.id),
        }
        futures_lite::future::pending().await
    };
    write
        .or(read_matching_head(connection, out, names, via))
        .await
}

/// Reads response heads until one carries the id of the request. All others are skipped: a response
/// without an id may be that to an earlier request, and says nothing about this one.
async fn read_matching_head(
    connection: &mut Connection,
    out: &OutgoingRequest<'_>,
    names: &HeaderNames,
    via: ConnectionHistory,
) -> Result<ResponseHead, Error> {
    for _ in 0..MAX_RESPONSE_HEADS {
        let head = connection.read_response_head(MAX_HEAD_BYTES).await?;
        if (100..200).contains(&head.status) {
            continue;
        }
        if head.get(names.request_id) == Some(out.id) {
            let success = (200..300).contains(&head.status);
            if success && out.require_signature && head.get(names.signature).is_none() {
                return Err(Error::Malformed("2xx response without a server signature"));
            }
            return Ok(head);
        }
        let answer_id = head.get(names.request_id);
        metrics::counter!("gateway_foreign_answers_total").increment(1);
        log::info!(
            "event=foreign_answer id={} answer_id={} answer_id_sent_before={} status={} server={} \
             connection={} connection_age_ms={} earlier_requests={}",
            out.id,
            answer_id.unwrap_or("none"),
            answer_id.is_some_and(|id| connection.has_sent(id)),
            head.status,
            out.address,
            via.number,
            via.age.as_millis(),
            via.earlier_requests
        );
        let mut body = Body::new(head.framing(out.method)?);
        let mut skipped = Vec::new();
        body.read(connection, &mut skipped, BODY_BUFFER_BYTES)
            .await?;
        if !body.is_complete() {
            return Err(Error::BodyTooLong);
        }
    }
    Err(Error::Malformed(
        "too many interim responses or responses to other requests",
    ))
}

/// Returns the idle timeout that the server states in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.get("keep-alive")?;
    value
        .split(',')
        .filter_map(|p| p.trim().strip_prefix("timeout="))
        .find_map(|t| t.trim().parse().ok())
        .map(Duration::from_secs)
}
