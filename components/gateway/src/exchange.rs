//! One request on one connection to a server or another entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::{AsyncWriteExt, FutureExt};

use crate::dialect::HeaderNames;
use crate::http::{Body, Connection, Error, Framing, ResponseHead};
use crate::idle::IdleConnections;

/// Longest head of an answer.
const MAX_HEAD: usize = 64 * 1024;
/// Bytes of an answer's body that are held before any is passed on; until then a damaged answer
/// can be replaced by that of another server.
const HELD_BODY: usize = 256 * 1024;
/// Answers to other requests that are skipped on one connection.
const MAX_SKIPPED: u32 = 8;

/// A request as it is sent.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Where it is sent.
    pub address: SocketAddr,
    /// Method.
    pub method: &'a str,
    /// Id that the answer must carry.
    pub id: &'a str,
    /// Head and body.
    pub bytes: Vec<u8>,
    /// Time for opening a connection.
    pub connect_limit: Duration,
    /// Time for which a connection may have been idle to be used again.
    pub idle_limit: Duration,
    /// Whether a 2xx answer has to carry the signature of a server.
    pub signed: bool,
}

/// An answer that was received.
#[derive(Debug)]
pub struct Received {
    /// Head.
    pub head: ResponseHead,
    /// Body, or its start.
    pub body: Vec<u8>,
    /// The connection and what is left of the body, if that is long.
    pub rest: Option<(Connection, Body)>,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unreachable(Error),
    /// The request may have been received.
    Lost(Error),
}

/// Sends a request and receives the answer that belongs to it.
pub async fn exchange(
    out: &Outgoing<'_>,
    names: &HeaderNames,
    idle: &IdleConnections,
    now: impl Fn() -> Duration,
) -> Result<Received, Failure> {
    let reused = idle.take(out.address, out.idle_limit, now()).await;
    let mut connection = if let Some(connection) = reused {
        connection
    } else {
        metrics::counter!("gateway_server_connections_total").increment(1);
        Connection::open(out.address, out.connect_limit)
            .await
            .map_err(Failure::Unreachable)?
    };
    let mut written = false;
    let head = send_and_read_head(&mut connection, out, names, &mut written)
        .await
        .map_err(Failure::Lost)?;
    let framing = head.framing(out.method).map_err(Failure::Lost)?;
    let mut body = Body::new(framing);
    let mut bytes = Vec::new();
    body.read(&mut connection, &mut bytes, HELD_BODY)
        .await
        .map_err(Failure::Lost)?;
    if !body.is_complete() {
        let rest = Some((connection, body));
        return Ok(Received {
            head,
            body: bytes,
            rest,
        });
    }
    let reusable = written
        && head.keeps_alive()
        && framing != Framing::UntilClose
        && connection.buffered().is_empty();
    if reusable {
        idle.put(out.address, connection, stated_lifetime(&head), now());
    }
    Ok(Received {
        head,
        body: bytes,
        rest: None,
    })
}

/// Writes the request while reading, since a server may answer before it has read a long body.
async fn send_and_read_head(
    connection: &mut Connection,
    out: &Outgoing<'_>,
    names: &HeaderNames,
    written: &mut bool,
) -> Result<ResponseHead, Error> {
    let mut stream = connection.stream();
    let write = async {
        match stream.write_all(&out.bytes).await {
            Ok(()) => *written = true,
            // The answer may have come before; reading tells.
            Err(e) => log::debug!("event=request_write_failed id={} error=\"{e}\"", out.id),
        }
        futures_lite::future::pending().await
    };
    write.or(read_own_head(connection, out, names)).await
}

/// Reads answers until the one that belongs to the request.
async fn read_own_head(
    connection: &mut Connection,
    out: &Outgoing<'_>,
    names: &HeaderNames,
) -> Result<ResponseHead, Error> {
    for _ in 0..MAX_SKIPPED {
        let head = connection.read_response_head(MAX_HEAD).await?;
        if (100..200).contains(&head.status) {
            continue;
        }
        let success = (200..300).contains(&head.status);
        match head.get(names.request_id) {
            Some(id) if id == out.id => {
                if success && out.signed && head.get(names.signature).is_none() {
                    return Err(Error::Malformed("success without signature"));
                }
                return Ok(head);
            }
            None if !success => return Ok(head),
            _ => {}
        }
        metrics::counter!("gateway_foreign_answers_total").increment(1);
        log::info!(
            "event=foreign_answer id={} answer_id={} server={}",
            out.id,
            head.get(names.request_id).unwrap_or("none"),
            out.address
        );
        let mut body = Body::new(head.framing(out.method)?);
        let mut skipped = Vec::new();
        body.read(connection, &mut skipped, HELD_BODY).await?;
        if !body.is_complete() {
            return Err(Error::BodyTooLong);
        }
    }
    Err(Error::Malformed("too many answers to other requests"))
}

fn stated_lifetime(head: &ResponseHead) -> Option<Duration> {
    let value = head.get("keep-alive")?;
    value
        .split(',')
        .filter_map(|p| p.trim().strip_prefix("timeout="))
        .find_map(|t| t.trim().parse().ok())
        .map(Duration::from_secs)
}
