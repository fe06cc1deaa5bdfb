//! Validation of raw message heads.

use error_stack::{Report, bail};

use crate::error::{Error, Result};

/// Size limit of a head; async-h1 rejects heads of 8 KiB and more.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
const MAX_HEADERS: usize = 100;
/// Headers that apply to a single connection and are never relayed.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];
const ALLOWED_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// How the length of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Body of this many bytes.
    Length(u64),
    /// Body in chunked transfer coding.
    Chunked,
}

/// Validated message head.
#[derive(Clone, Debug)]
pub struct MessageHead {
    /// Head as passed to async-h1, without hop-by-hop headers.
    pub bytes: Vec<u8>,
    pub framing: Framing,
    /// Whether the peer asked to close the connection.
    pub close: bool,
    /// Whether the peer waits for `100 Continue`.
    pub expects_continue: bool,
    /// Status code; 0 for a request.
    pub status: u16,
    /// Whether the message has a Date header.
    pub has_date: bool,
}

/// Returns the length of the first head in `buf`, including the empty line that ends it.
pub fn find_head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4)
}

/// Validates the head of a request.
pub fn check_request(raw: &[u8]) -> Result<MessageHead> {
    reject_bare_line_feeds(raw)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let parsed = req
        .parse(raw)
        .map_err(|_| Report::new(Error::InvalidHead("not HTTP/1.1")))?;
    if parsed != httparse::Status::Complete(raw.len()) {
        bail!(Error::InvalidHead("the head does not end where it should"));
    }
    if req.version != Some(1) {
        bail!(Error::InvalidHead("the version must be HTTP/1.1"));
    }
    let method = req.method.unwrap_or_default();
    if !ALLOWED_METHODS.contains(&method) {
        bail!(Error::InvalidHead("unknown method"));
    }
    let path = req.path.unwrap_or_default();
    if !path.starts_with('/') || path.starts_with("//") {
        bail!(Error::InvalidHead("the request target must be a path"));
    }
    let control = ControlHeaders::parse(req.headers)?;
    if control.host_count != 1 {
        bail!(Error::InvalidHead("exactly one Host header is needed"));
    }
    let framing = control.framing().unwrap_or(Framing::Empty);
    let start_line = format!("{method} {path} HTTP/1.1\r\n");
    Ok(MessageHead {
        bytes: rewrite_head(&start_line, req.headers, &control),
        framing,
        close: control.has_close(),
        expects_continue: control.expects_continue,
        status: 0,
        has_date: control.has_date,
    })
}

/// Validates the head of a response; `head_request` tells whether it responds to a HEAD request.
pub fn check_response(raw: &[u8], head_request: bool) -> Result<MessageHead> {
    reject_bare_line_feeds(raw)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let parsed = res
        .parse(raw)
        .map_err(|_| Report::new(Error::InvalidHead("not HTTP/1.1")))?;
    if parsed != httparse::Status::Complete(raw.len()) || res.version != Some(1) {
        bail!(Error::InvalidHead("not an HTTP/1.1 response"));
    }
    let status = res.code.unwrap_or_default();
    let control = ControlHeaders::parse(res.headers)?;
    let no_body = head_request || status < 200 || status == 204 || status == 304;
    let framing = match control.framing() {
        _ if no_body => Framing::Empty,
        Some(framing) => framing,
        // Without a length, a truncated response cannot be distinguished from a complete one.
        None => bail!(Error::InvalidHead(
            "the response has neither length nor chunks"
        )),
    };
    let start_line = format!("HTTP/1.1 {status} {}\r\n", res.reason.unwrap_or_default());
    Ok(MessageHead {
        bytes: rewrite_head(&start_line, res.headers, &control),
        framing,
        close: control.has_close(),
        expects_continue: false,
        status,
        has_date: control.has_date,
    })
}

/// Rejects line feeds without a carriage return, because parsers disagree about them.
fn reject_bare_line_feeds(raw: &[u8]) -> Result<()> {
    let bare = raw
        .iter()
        .enumerate()
        .any(|(i, b)| *b == b'\n' && (i == 0 || raw[i - 1] != b'\r'));
    if bare {
        Err(Report::new(Error::InvalidHead(
            "line feed without carriage return",
        )))
    } else {
        Ok(())
    }
}

/// Headers that determine framing and connection handling.
#[derive(Default)]
struct ControlHeaders {
    host_count: usize,
    content_length: Option<u64>,
    /// Whether Transfer-Encoding is `chunked`.
    chunked: bool,
    /// Whether Expect is `100-continue`.
    expects_continue: bool,
    has_date: bool,
    /// Lower-case options of the Connection header: header names and `close`.
    connection_options: Vec<String>,
}

impl ControlHeaders {
    fn parse(headers: &[httparse::Header<'_>]) -> Result<Self> {
        let mut control = ControlHeaders::default();
        for header in headers {
            let value = std::str::from_utf8(header.value)
                .map_err(|_| Report::new(Error::InvalidHead("a header is not UTF-8")))?
                .trim();
            control.record(&header.name.to_ascii_lowercase(), value)?;
        }
        if control.chunked && control.content_length.is_some() {
            bail!(Error::InvalidHead(
                "Content-Length together with Transfer-Encoding"
            ));
        }
        Ok(control)
    }

    fn record(&mut self, name: &str, value: &str) -> Result<()> {
        match name {
            "host" => self.host_count += 1,
            "date" => self.has_date = true,
            "content-length" => {
                if self.content_length.is_some() {
                    bail!(Error::InvalidHead("more than one Content-Length"));
                }
                self.content_length = Some(parse_content_length(value)?);
            }
            "transfer-encoding" => {
                if self.chunked || !value.eq_ignore_ascii_case("chunked") {
                    bail!(Error::InvalidHead(
                        "Transfer-Encoding must be chunked, once"
                    ));
                }
                self.chunked = true;
            }
            "connection" => {
                for item in value.split(',').map(|s| s.trim().to_ascii_lowercase()) {
                    self.connection_options.push(item);
                }
            }
            "expect" => {
                if !value.eq_ignore_ascii_case("100-continue") {
                    bail!(Error::InvalidHead("unknown expectation"));
                }
                self.expects_continue = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn framing(&self) -> Option<Framing> {
        match (self.content_length, self.chunked) {
            (Some(0), _) => Some(Framing::Empty),
            (Some(length), _) => Some(Framing::Length(length)),
            (None, true) => Some(Framing::Chunked),
            (None, false) => None,
        }
    }

    /// Returns whether the peer closes the connection after this message.
    fn has_close(&self) -> bool {
        self.connection_options.iter().any(|item| item == "close")
    }

    /// Returns whether a header is left out of the rewritten head.
    fn is_dropped(&self, name: &str) -> bool {
        let is_framing_header = matches!(name, "host" | "content-length" | "transfer-encoding");
        !is_framing_header
            && (HOP_BY_HOP_HEADERS.contains(&name)
                || name == "expect"
                || self.connection_options.iter().any(|option| option == name))
    }
}

fn parse_content_length(value: &str) -> Result<u64> {
    // `str::parse` would accept a leading plus sign.
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        bail!(Error::InvalidHead("Content-Length is not a number"));
    }
    value
        .parse()
        .map_err(|_| Report::new(Error::InvalidHead("Content-Length is too large")))
}

fn rewrite_head(
    start_line: &str,
    headers: &[httparse::Header<'_>],
    control: &ControlHeaders,
) -> Vec<u8> {
    let mut bytes = start_line.as_bytes().to_vec();
    for header in headers {
        if control.is_dropped(&header.name.to_ascii_lowercase()) {
            continue;
        }
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(header.value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
