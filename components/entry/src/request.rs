//! A caller's request as the entry VM sees it.

use std::time::Duration;

use config::{Class, HouseId, ServiceId};
use http::codes::Code;
use http::{Body, Request};

/// Header with the service.
pub const SERVICE_HEADER: &str = "x-service";
/// Header with the house that the caller acts for.
pub const HOUSE_HEADER: &str = "x-house";
/// Header with the milliseconds that are left.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the ticket of a binding request.
pub const TICKET_HEADER: &str = "x-ticket";
/// Header with the caller's own key of a binding request.
pub const KEY_HEADER: &str = "x-key";

/// House of callers that name none.
const NO_HOUSE: &str = "-";
/// Longest deadline; a caller that asks for more gets this.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest house name and caller key in bytes.
const MAX_NAME: usize = 256;

/// Identity that a caller gives to binding work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkIdentity {
    /// A ticket from a look-up.
    Ticket(Box<str>),
    /// A key of the caller's own.
    Key(Box<str>),
}

/// What the headers say about a request.
#[derive(Clone, Debug)]
pub struct Meta {
    /// Service.
    pub service: ServiceId,
    /// House.
    pub house: HouseId,
    /// Class of the service.
    pub class: Class,
    /// Uptime at which the answer must be complete.
    pub deadline: Duration,
    /// Ticket or key.
    pub identity: Option<WorkIdentity>,
}

impl Meta {
    /// Reads the headers; `class_of` looks up the class of a service.
    pub fn read(
        req: &Request,
        now: Duration,
        default_deadline: Duration,
        class_of: impl Fn(&str) -> Option<Class>,
    ) -> Result<Meta, (Code, &'static str)> {
        let service = single(req, SERVICE_HEADER)?
            .ok_or((Code::BadRequest, "the x-service header is missing"))?;
        let class = class_of(service).ok_or((Code::UnknownService, "no such service"))?;
        let house = single(req, HOUSE_HEADER)?.unwrap_or(NO_HOUSE);
        Ok(Meta {
            service: service.into(),
            house: house.into(),
            class,
            deadline: now + read_deadline(req, default_deadline)?,
            identity: read_identity(req)?,
        })
    }
}

fn read_deadline(req: &Request, default: Duration) -> Result<Duration, (Code, &'static str)> {
    let Some(text) = single(req, DEADLINE_HEADER)? else {
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
    match (single(req, TICKET_HEADER)?, single(req, KEY_HEADER)?) {
        (Some(_), Some(_)) => Err((Code::BadRequest, "send x-ticket or x-key, not both")),
        (Some(ticket), None) => Ok(Some(WorkIdentity::Ticket(ticket.into()))),
        (None, Some(key)) => Ok(Some(WorkIdentity::Key(key.into()))),
        (None, None) => Ok(None),
    }
}

/// Returns a header that may be given once at most.
fn single<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, (Code, &'static str)> {
    let Some(values) = req.header(name) else {
        return Ok(None);
    };
    let mut values = values.iter();
    let value = values.next().map_or("", |v| v.as_str());
    if values.next().is_some() {
        return Err((Code::BadRequest, "a header of this system is given twice"));
    }
    if value.is_empty() || (value.len() > MAX_NAME && name != TICKET_HEADER) {
        return Err((
            Code::BadRequest,
            "a header of this system is empty or too long",
        ));
    }
    Ok(Some(value))
}

/// A request that can be sent more than once.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method, URL and headers.
    head: Request,
    /// Whole body.
    body: Vec<u8>,
}

impl Outgoing {
    /// Takes the request with its body, which the listener has already read.
    pub async fn take(mut req: Request) -> Outgoing {
        let body = req.body_bytes().await.unwrap_or_default();
        for name in [TICKET_HEADER, KEY_HEADER, DEADLINE_HEADER, "content-length"] {
            req.remove_header(name);
        }
        Outgoing { head: req, body }
    }

    /// Returns the method.
    pub fn method(&self) -> http::Method {
        self.head.method()
    }

    /// Returns path and query.
    pub fn path(&self) -> String {
        let url = self.head.url();
        match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        }
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Builds the request for one attempt.
    pub fn build(&self, remaining: Duration) -> Request {
        let mut req = self.head.clone();
        req.insert_header(DEADLINE_HEADER, remaining.as_millis().to_string());
        req.set_body(Body::from_bytes(self.body.clone()));
        req
    }
}
