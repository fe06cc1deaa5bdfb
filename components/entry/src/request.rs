//! Requests of callers, as read by the entry VM.

use std::time::Duration;

use config::{Class, HouseId, ServiceId};
use http::codes::Code;
use http::{Body, Request};

/// Header with the service id.
pub const SERVICE_HEADER: &str = "x-service";
/// Header with the house that the caller acts for.
pub const HOUSE_HEADER: &str = "x-house";
/// Header with the time until the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the ticket of a binding request.
pub const TICKET_HEADER: &str = "x-ticket";
/// Header with the caller-supplied key of a binding request.
pub const KEY_HEADER: &str = "x-key";

/// House of requests without a house header.
const DEFAULT_HOUSE: &str = "-";
/// Longest deadline; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest value of a header other than the ticket.
const MAX_HEADER_VALUE_BYTES: usize = 256;

/// Identity of binding work, as given by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkIdentity {
    /// A ticket from a look-up.
    Ticket(Box<str>),
    /// A caller-supplied key.
    Key(Box<str>),
}

/// Metadata of a request, read from its headers.
#[derive(Clone, Debug)]
pub struct Meta {
    pub service: ServiceId,
    pub house: HouseId,
    pub class: Class,
    /// Uptime at which the answer must be complete.
    pub deadline: Duration,
    /// Ticket or key of a binding request.
    pub identity: Option<WorkIdentity>,
    /// Whether another entry VM forwarded the request; it is not forwarded again.
    pub is_forwarded: bool,
}

impl Meta {
    /// Reads the headers; `class_of` returns the class of a known service.
    pub fn read(
        req: &Request,
        now: Duration,
        default_deadline: Duration,
        class_of: impl Fn(&str) -> Option<Class>,
    ) -> Result<Meta, (Code, &'static str)> {
        let service = single_value(req, SERVICE_HEADER)?
            .ok_or((Code::BadRequest, "the x-service header is missing"))?;
        let class = class_of(service).ok_or((Code::UnknownService, "no such service"))?;
        let house = single_value(req, HOUSE_HEADER)?.unwrap_or(DEFAULT_HOUSE);
        Ok(Meta {
            service: service.into(),
            house: house.into(),
            class,
            deadline: now + read_deadline(req, default_deadline)?,
            identity: read_identity(req)?,
            is_forwarded: false,
        })
    }
}

fn read_deadline(req: &Request, default: Duration) -> Result<Duration, (Code, &'static str)> {
    let Some(text) = single_value(req, DEADLINE_HEADER)? else {
        return Ok(default);
    };
    let ms = text.parse::<u64>().map_err(|_| {
        (
            Code::BadRequest,
            "x-deadline-ms must be a whole number of milliseconds",
        )
    })?;
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

fn read_identity(req: &Request) -> Result<Option<WorkIdentity>, (Code, &'static str)> {
    match (
        single_value(req, TICKET_HEADER)?,
        single_value(req, KEY_HEADER)?,
    ) {
        (Some(_), Some(_)) => Err((Code::BadRequest, "send x-ticket or x-key, not both")),
        (Some(ticket), None) => Ok(Some(WorkIdentity::Ticket(ticket.into()))),
        (None, Some(key)) => Ok(Some(WorkIdentity::Key(key.into()))),
        (None, None) => Ok(None),
    }
}

/// Returns the value of a header that may occur only once.
fn single_value<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, (Code, &'static str)> {
    let Some(values) = req.header(name) else {
        return Ok(None);
    };
    let mut values = values.iter();
    let value = values.next().map_or("", |v| v.as_str());
    if values.next().is_some() {
        return Err((Code::BadRequest, "a header of this system is given twice"));
    }
    if value.is_empty() || (value.len() > MAX_HEADER_VALUE_BYTES && name != TICKET_HEADER) {
        return Err((
            Code::BadRequest,
            "a header of this system is empty or too long",
        ));
    }
    Ok(Some(value))
}

/// A request with its whole body, which can be sent more than once.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method, URL and headers.
    head: Request,
    body: Vec<u8>,
}

impl Outgoing {
    /// Takes the request and its body, which the listener has already read.
    pub async fn take(mut req: Request) -> Outgoing {
        let body = req.body_bytes().await.unwrap_or_default();
        for name in [TICKET_HEADER, KEY_HEADER, DEADLINE_HEADER, "content-length"] {
            req.remove_header(name);
        }
        Outgoing { head: req, body }
    }

    pub fn method(&self) -> http::Method {
        self.head.method()
    }

    /// Returns the path with the query.
    pub fn path(&self) -> String {
        let url = self.head.url();
        match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        }
    }

    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Builds the request for one attempt, with the remaining time in the deadline header.
    pub fn build(&self, remaining: Duration) -> Request {
        let mut req = self.head.clone();
        req.insert_header(DEADLINE_HEADER, remaining.as_millis().to_string());
        req.set_body(Body::from_bytes(self.body.clone()));
        req
    }
}
