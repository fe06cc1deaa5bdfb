//! Encoding of relayed requests.

use std::io::Write as _;
use std::time::Duration;

use super::{GENERATION_HEADER, Plan, Request, TARGET_HEADER, WAITED_HEADER};
use crate::http::is_hop_by_hop;
use crate::node::Node;

/// Longest body that is encoded together with the head; a longer one would double the memory.
const MAX_ENCODED_BODY: usize = 16 * 1024;

/// Encodes the request for a server, or for an entry VM of another region if `server` is `None`.
/// Returns the bytes, and the body if it is to be sent after them.
pub(super) fn encode<'a>(
    node: &Node,
    req: &'a Request,
    plan: &Plan,
    server: Option<&str>,
    remaining: Duration,
) -> (Vec<u8>, &'a [u8]) {
    let names = &node.dialect.headers;
    let head = &req.head;
    let dropped = [
        names.deadline_ms,
        names.expected_server,
        "content-length",
        "expect",
        TARGET_HEADER,
        WAITED_HEADER,
        GENERATION_HEADER,
    ];
    let (encoded_body, body) = if req.body.len() <= MAX_ENCODED_BODY {
        (&req.body[..], &[][..])
    } else {
        (&[][..], &req.body[..])
    };
    let mut out = Vec::with_capacity(512 + encoded_body.len());
    // Writing to a vector cannot fail.
    let _ = write!(out, "{} {} HTTP/1.1\r\n", head.method, head.target);
    for h in &head.headers {
        let skip = is_hop_by_hop(&h.name) || dropped.iter().any(|d| h.name.eq_ignore_ascii_case(d));
        if !skip {
            out.extend_from_slice(h.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&h.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let _ = write!(out, "{}: {}\r\n", names.deadline_ms, remaining.as_millis());
    if let Some(id) = server {
        let _ = write!(out, "{}: {id}\r\n", names.expected_server);
    } else {
        let now = node.now();
        let target = plan.target_at.saturating_sub(now).as_millis();
        let waited = now.saturating_sub(plan.waiting_since).as_millis();
        let _ = write!(
            out,
            "{TARGET_HEADER}: {target}\r\n{WAITED_HEADER}: {waited}\r\n{GENERATION_HEADER}: {}\r\n",
            plan.routes.generation
        );
    }
    let has_body = !req.body.is_empty() || matches!(&*head.method, "POST" | "PUT" | "PATCH");
    if has_body {
        let _ = write!(out, "Content-Length: {}\r\n", req.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(encoded_body);
    (out, body)
}
