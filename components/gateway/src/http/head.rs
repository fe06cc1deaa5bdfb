//! Heads of requests and responses.

use super::body::Framing;
use super::error::{Error, Result};

/// Header fields of a head.
const MAX_HEADERS: usize = 100;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as received.
    pub name: Box<str>,
    /// Value without surrounding spaces.
    pub value: Box<[u8]>,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// 0 or 1 for HTTP/1.0 and HTTP/1.1.
    pub minor_version: u8,
    /// Fields in the order received.
    pub headers: Vec<Header>,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// 0 or 1 for HTTP/1.0 and HTTP/1.1.
    pub minor_version: u8,
    /// Fields in the order received.
    pub headers: Vec<Header>,
}

/// Tells whether a field concerns only one connection.
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

fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .and_then(|h| std::str::from_utf8(&h.value).ok())
}

fn lists_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .filter_map(|h| std::str::from_utf8(&h.value).ok())
        .flat_map(|v| v.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn keeps_alive(headers: &[Header], minor_version: u8) -> bool {
    if lists_token(headers, "connection", "close") {
        return false;
    }
    minor_version >= 1 || lists_token(headers, "connection", "keep-alive")
}

/// Returns the length given by `Content-Length`; several different ones are refused.
fn content_length(headers: &[Header]) -> Result<Option<u64>> {
    let mut length = None;
    for h in headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"))
    {
        let text = std::str::from_utf8(&h.value).unwrap_or("");
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Error::Malformed("content-length"));
        }
        let n: u64 = text
            .parse()
            .map_err(|_| Error::Malformed("content-length"))?;
        if length.is_some_and(|l| l != n) {
            return Err(Error::Malformed("two content-lengths"));
        }
        length = Some(n);
    }
    Ok(length)
}

fn chunked(headers: &[Header]) -> Result<bool> {
    let mut codings = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.value.eq_ignore_ascii_case(b"chunked") {
        return Err(Error::Malformed("transfer-encoding"));
    }
    Ok(true)
}

fn owned(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    parsed
        .iter()
        .map(|h| Header {
            name: h.name.into(),
            value: h.value.into(),
        })
        .collect()
}

impl RequestHead {
    /// Parses a head; `None` if it is not complete. Returns the bytes it takes.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        match req.parse(buf) {
            Ok(httparse::Status::Complete(n)) => {
                let head = RequestHead {
                    method: req.method.unwrap_or_default().into(),
                    target: req.path.unwrap_or_default().into(),
                    minor_version: req.version.unwrap_or(1),
                    headers: owned(req.headers),
                };
                Ok(Some((head, n)))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(Error::Malformed("request head")),
        }
    }

    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Tells whether the caller keeps the connection open after the answer.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor_version)
    }

    /// Returns how the end of the body is found. A head that gives both a length and chunks could
    /// be read in two ways and is refused.
    pub fn framing(&self) -> Result<Framing> {
        let length = content_length(&self.headers)?;
        if chunked(&self.headers)? {
            if length.is_some() || self.minor_version == 0 {
                return Err(Error::Malformed("content-length with transfer-encoding"));
            }
            return Ok(Framing::Chunked);
        }
        Ok(Framing::Length(length.unwrap_or(0)))
    }
}

impl ResponseHead {
    /// Parses a head; `None` if it is not complete. Returns the bytes it takes.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut resp = httparse::Response::new(&mut headers);
        match resp.parse(buf) {
            Ok(httparse::Status::Complete(n)) => {
                let head = ResponseHead {
                    status: resp.code.unwrap_or(0),
                    reason: resp.reason.unwrap_or_default().into(),
                    minor_version: resp.version.unwrap_or(1),
                    headers: owned(resp.headers),
                };
                Ok(Some((head, n)))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(Error::Malformed("response head")),
        }
    }

    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Tells whether the server keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor_version)
    }

    /// Returns how the end of the body is found, for an answer to `method`.
    pub fn framing(&self, method: &str) -> Result<Framing> {
        if method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length = content_length(&self.headers)?;
        if chunked(&self.headers)? {
            if length.is_some() {
                return Err(Error::Malformed("content-length with transfer-encoding"));
            }
            return Ok(Framing::Chunked);
        }
        Ok(length.map_or(Framing::UntilClose, Framing::Length))
    }
}
