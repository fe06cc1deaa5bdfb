//! Heads of requests and responses.

use std::ops::RangeInclusive;

use super::body::Framing;
use super::error::{Error, Result};

/// Status codes that HTTP defines. The parser accepts any three digits.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 100;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the case received.
    pub name: Box<str>,
    /// Value without surrounding whitespace.
    pub value: Box<[u8]>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: Box<str>,
    /// Request target: path and query.
    pub target: Box<str>,
    /// 0 or 1 for HTTP/1.0 and HTTP/1.1.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: Vec<Header>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// 0 or 1 for HTTP/1.0 and HTTP/1.1.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: Vec<Header>,
}

/// Returns whether a header field is hop-by-hop, that is, must not be forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .and_then(|h| std::str::from_utf8(&h.value).ok())
}

/// Returns whether a comma-separated header field contains `token`.
fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .filter_map(|h| std::str::from_utf8(&h.value).ok())
        .flat_map(|v| v.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn keeps_alive(headers: &[Header], minor_version: u8) -> bool {
    if has_token(headers, "connection", "close") {
        return false;
    }
    minor_version >= 1 || has_token(headers, "connection", "keep-alive")
}

/// Returns the value of `Content-Length`; different values in repeated fields are an error.
fn content_length(headers: &[Header]) -> Result<Option<u64>> {
    let mut length = None;
    for h in headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"))
    {
        let text = std::str::from_utf8(&h.value).unwrap_or("");
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Error::Malformed("invalid content-length"));
        }
        let n: u64 = text
            .parse()
            .map_err(|_| Error::Malformed("invalid content-length"))?;
        if length.is_some_and(|l| l != n) {
            return Err(Error::Malformed("conflicting content-length fields"));
        }
        length = Some(n);
    }
    Ok(length)
}

/// Returns whether the body is chunked; any other transfer coding is an error.
fn is_chunked(headers: &[Header]) -> Result<bool> {
    let mut codings = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.value.eq_ignore_ascii_case(b"chunked") {
        return Err(Error::Malformed("transfer-encoding other than chunked"));
    }
    Ok(true)
}

/// Rejects line feeds without a carriage return, which the parser takes for the end of a line. One before a
/// field name would end the head there, and the rest of the head would become part of the body.
fn reject_bare_line_feeds(head: &[u8]) -> Result<()> {
    let mut line_feeds = head.iter().enumerate().filter(|(_, b)| **b == b'\n');
    if line_feeds.any(|(i, _)| i == 0 || head[i - 1] != b'\r') {
        return Err(Error::Malformed("line feed without carriage return"));
    }
    Ok(())
}

fn describe_invalid_response(error: httparse::Error) -> &'static str {
    match error {
        httparse::Error::HeaderName => "invalid name of a header field",
        httparse::Error::HeaderValue => "invalid value of a header field",
        httparse::Error::Status => "invalid status line",
        httparse::Error::Version => "invalid HTTP version",
        httparse::Error::TooManyHeaders => "too many header fields",
        _ => "invalid response head",
    }
}

fn to_headers(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    parsed
        .iter()
        .map(|h| Header {
            name: h.name.into(),
            value: h.value.into(),
        })
        .collect()
}

impl RequestHead {
    /// Parses a head and returns it with its length in bytes; `None` if it is not complete.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        match req.parse(buf) {
            Ok(httparse::Status::Complete(n)) => {
                let head = RequestHead {
                    method: req.method.unwrap_or_default().into(),
                    target: req.path.unwrap_or_default().into(),
                    minor_version: req.version.unwrap_or(1),
                    headers: to_headers(req.headers),
                };
                Ok(Some((head, n)))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(Error::Malformed("invalid request head")),
        }
    }

    /// Returns the first value of a header field; `None` if it is absent or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns whether the client keeps the connection open after the response.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor_version)
    }

    /// Returns how the end of the body is determined. A request with both `Content-Length` and
    /// `Transfer-Encoding` is ambiguous and rejected, to prevent request smuggling.
    pub fn framing(&self) -> Result<Framing> {
        let length = content_length(&self.headers)?;
        if is_chunked(&self.headers)? {
            if length.is_some() || self.minor_version == 0 {
                return Err(Error::Malformed(
                    "transfer-encoding with content-length or HTTP/1.0",
                ));
            }
            return Ok(Framing::Chunked);
        }
        Ok(Framing::Length(length.unwrap_or(0)))
    }
}

impl ResponseHead {
    /// Parses a head and returns it with its length in bytes; `None` if it is not complete.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut resp = httparse::Response::new(&mut headers);
        match resp.parse(buf) {
            Ok(httparse::Status::Complete(n)) => {
                reject_bare_line_feeds(&buf[..n])?;
                let status = resp.code.unwrap_or(0);
                if !VALID_STATUSES.contains(&status) {
                    return Err(Error::InvalidStatus(status));
                }
                let head = ResponseHead {
                    status,
                    reason: resp.reason.unwrap_or_default().into(),
                    minor_version: resp.version.unwrap_or(1),
                    headers: to_headers(resp.headers),
                };
                Ok(Some((head, n)))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(e) => Err(Error::Malformed(describe_invalid_response(e))),
        }
    }

    /// Returns the first value of a header field; `None` if it is absent or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns whether the server keeps the connection open after the response.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor_version)
    }

    /// Returns how the end of the body is determined, for a response to `method`.
    pub fn framing(&self, method: &str) -> Result<Framing> {
        if method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length = content_length(&self.headers)?;
        if is_chunked(&self.headers)? {
            if length.is_some() {
                return Err(Error::Malformed("content-length with transfer-encoding"));
            }
            return Ok(Framing::Chunked);
        }
        Ok(length.map_or(Framing::UntilClose, Framing::Length))
    }
}
