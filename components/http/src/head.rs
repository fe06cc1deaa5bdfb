//! Checks of raw message heads.

use error_stack::{Report, bail};

use crate::error::{Error, Result};

/// Longest head in bytes; async-h1 refuses heads of 8 KiB and more.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Most headers in one head.
const MAX_HEADERS: usize = 100;
/// Headers that belong to one connection and are never relayed.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];
/// Methods that are relayed.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
}

/// A checked message head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Bytes to hand to async-h1, without hop-by-hop headers.
    pub bytes: Vec<u8>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the peer asked to close the connection.
    pub close: bool,
    /// Whether the peer waits for `100 Continue`.
    pub expects_continue: bool,
    /// Status code; 0 for a request.
    pub status: u16,
    /// Whether there is a Date header.
    pub has_date: bool,
}

/// Returns the length of the first head in `buf`, with its empty line.
pub fn find_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4)
}

/// Checks the head of a request.
pub fn check_request(raw: &[u8]) -> Result<Head> {
    check_line_ends(raw)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let parsed = req
        .parse(raw)
        .map_err(|_| Report::new(Error::BadHead("not HTTP/1.1")))?;
    if parsed != httparse::Status::Complete(raw.len()) {
        bail!(Error::BadHead("the head does not end where it should"));
    }
    if req.version != Some(1) {
        bail!(Error::BadHead("the version must be HTTP/1.1"));
    }
    let method = req.method.unwrap_or_default();
    if !METHODS.contains(&method) {
        bail!(Error::BadHead("unknown method"));
    }
    let path = req.path.unwrap_or_default();
    if !path.starts_with('/') || path.starts_with("//") {
        bail!(Error::BadHead("the request target must be a path"));
    }
    let fields = Fields::read(req.headers)?;
    if fields.hosts != 1 {
        bail!(Error::BadHead("exactly one Host header is needed"));
    }
    let framing = fields.framing().unwrap_or(Framing::Empty);
    let start = format!("{method} {path} HTTP/1.1\r\n");
    Ok(Head {
        bytes: rewrite(&start, req.headers, &fields),
        framing,
        close: fields.closes(),
        expects_continue: fields.expects_continue,
        status: 0,
        has_date: fields.has_date,
    })
}

/// Checks the head of a response to a request with or without a response body.
pub fn check_response(raw: &[u8], head_request: bool) -> Result<Head> {
    check_line_ends(raw)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let parsed = res
        .parse(raw)
        .map_err(|_| Report::new(Error::BadHead("not HTTP/1.1")))?;
    if parsed != httparse::Status::Complete(raw.len()) || res.version != Some(1) {
        bail!(Error::BadHead("not an HTTP/1.1 response"));
    }
    let status = res.code.unwrap_or_default();
    let fields = Fields::read(res.headers)?;
    let no_body = head_request || status < 200 || status == 204 || status == 304;
    let framing = match fields.framing() {
        _ if no_body => Framing::Empty,
        Some(framing) => framing,
        // Without a length the end of the connection cannot be told from a cut response.
        None => bail!(Error::BadHead("the response has neither length nor chunks")),
    };
    let start = format!("HTTP/1.1 {status} {}\r\n", res.reason.unwrap_or_default());
    Ok(Head {
        bytes: rewrite(&start, res.headers, &fields),
        framing,
        close: fields.closes(),
        expects_continue: false,
        status,
        has_date: fields.has_date,
    })
}

/// Refuses a line feed without a carriage return, which parsers read differently.
fn check_line_ends(raw: &[u8]) -> Result<()> {
    let bare = raw
        .iter()
        .enumerate()
        .any(|(i, b)| *b == b'\n' && (i == 0 || raw[i - 1] != b'\r'));
    if bare {
        Err(Report::new(Error::BadHead(
            "line feed without carriage return",
        )))
    } else {
        Ok(())
    }
}

/// Headers that decide about framing and the connection.
#[derive(Default)]
struct Fields {
    /// Number of Host headers.
    hosts: usize,
    /// Content-Length.
    length: Option<u64>,
    /// Whether Transfer-Encoding is `chunked`.
    chunked: bool,
    /// Whether Expect is `100-continue`.
    expects_continue: bool,
    /// Whether there is a Date header.
    has_date: bool,
    /// Header names that Connection lists.
    listed: Vec<String>,
}

impl Fields {
    fn read(headers: &[httparse::Header<'_>]) -> Result<Self> {
        let mut fields = Fields::default();
        for header in headers {
            let value = std::str::from_utf8(header.value)
                .map_err(|_| Report::new(Error::BadHead("a header is not UTF-8")))?
                .trim();
            fields.add(&header.name.to_ascii_lowercase(), value)?;
        }
        if fields.chunked && fields.length.is_some() {
            bail!(Error::BadHead(
                "Content-Length together with Transfer-Encoding"
            ));
        }
        Ok(fields)
    }

    fn add(&mut self, name: &str, value: &str) -> Result<()> {
        match name {
            "host" => self.hosts += 1,
            "date" => self.has_date = true,
            "content-length" => {
                if self.length.is_some() {
                    bail!(Error::BadHead("more than one Content-Length"));
                }
                self.length = Some(parse_length(value)?);
            }
            "transfer-encoding" => {
                if self.chunked || !value.eq_ignore_ascii_case("chunked") {
                    bail!(Error::BadHead("Transfer-Encoding must be chunked, once"));
                }
                self.chunked = true;
            }
            "connection" => {
                for item in value.split(',').map(|s| s.trim().to_ascii_lowercase()) {
                    self.listed.push(item);
                }
            }
            "expect" => {
                if !value.eq_ignore_ascii_case("100-continue") {
                    bail!(Error::BadHead("unknown expectation"));
                }
                self.expects_continue = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn framing(&self) -> Option<Framing> {
        match (self.length, self.chunked) {
            (Some(0), _) => Some(Framing::Empty),
            (Some(length), _) => Some(Framing::Length(length)),
            (None, true) => Some(Framing::Chunked),
            (None, false) => None,
        }
    }

    /// Tells whether the peer closes the connection after this message.
    fn closes(&self) -> bool {
        self.listed.iter().any(|item| item == "close")
    }

    /// Tells whether a header is dropped when the head is rewritten.
    fn drops(&self, name: &str) -> bool {
        let framing = matches!(name, "host" | "content-length" | "transfer-encoding");
        !framing
            && (HOP_BY_HOP.contains(&name)
                || name == "expect"
                || self.listed.iter().any(|l| l == name))
    }
}

fn parse_length(value: &str) -> Result<u64> {
    // `str::parse` would accept a leading plus sign.
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        bail!(Error::BadHead("Content-Length is not a number"));
    }
    value
        .parse()
        .map_err(|_| Report::new(Error::BadHead("Content-Length is too large")))
}

fn rewrite(start: &str, headers: &[httparse::Header<'_>], fields: &Fields) -> Vec<u8> {
    let mut bytes = start.as_bytes().to_vec();
    for header in headers {
        if fields.drops(&header.name.to_ascii_lowercase()) {
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
