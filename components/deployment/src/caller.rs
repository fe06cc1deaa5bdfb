//! Client of a caller: looks up entry VMs, sends requests and retries them as the contract for
//! callers requires.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http::client::{self, ClientOptions};
use http::codes::{CODE_HEADER, OUTCOME_HEADER};
use http::{Body, Error as HttpError, Method, Response};
use serde::Deserialize;
use standins::server::EchoBody;

use crate::error::{Error, Result};

/// Time that a caller waits beyond its deadline, to receive a response sent at the deadline.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 4;

/// A request that a caller sends to a service.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub service: Box<str>,
    pub house: Box<str>,
    /// Execution id that the backend server records.
    pub id: Box<str>,
    /// Whether it must be executed at most once.
    pub binding: bool,
    /// Size of the response in bytes.
    pub response_bytes: usize,
}

/// Identifies all attempts of one binding request, so that it is executed at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential<'a> {
    /// None, for requests that may be executed again.
    None,
    /// Ticket from a look-up response.
    Ticket(&'a str),
    /// Key chosen by the caller.
    Key(&'a str),
}

impl<'a> From<Option<&'a str>> for Credential<'a> {
    fn from(ticket: Option<&'a str>) -> Self {
        ticket.map_or(Credential::None, Credential::Ticket)
    }
}

/// Outcome of a request as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response to this request.
    Complete,
    /// A response that is truncated or belongs to another request.
    Invalid,
    /// Refused with a result code; the request was not executed.
    NotRun(u16),
    /// Unknown whether it was executed, with the result code or the HTTP status of an error
    /// response from the server itself.
    Unknown(u16),
}

/// Response to a look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct LookUpResponse {
    /// Entry VMs, the preferred one first.
    pub entry_vms: Vec<CandidateVm>,
    /// Ticket, for a binding service.
    pub ticket: Option<Box<str>>,
}

/// An entry VM in a look-up response.
#[derive(Clone, Debug, Deserialize)]
pub struct CandidateVm {
    pub id: Box<str>,
    /// Address of its caller listener.
    pub address: SocketAddr,
}

/// A caller with a fixed list of entry VMs for look-ups.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Addresses of the entry VMs to look up at.
    pub entry_vms: Vec<SocketAddr>,
    /// Time limit for one request.
    pub deadline: Duration,
}

impl Caller {
    /// Looks a service up: tries the entry VMs in turn from a random one until one responds with
    /// success.
    pub async fn look_up(&self, service: &str) -> Result<LookUpResponse> {
        let start = fastrand::usize(..self.entry_vms.len().max(1));
        for i in 0..self.entry_vms.len() {
            let address = self.entry_vms[(start + i) % self.entry_vms.len()];
            let req = client::build_request(Method::Get, &format!("/lookup?service={service}"))
                .change_context(Error::LookUp)?;
            let options = ClientOptions {
                timeout: self.deadline + RESPONSE_GRACE,
                ..ClientOptions::default()
            };
            let Ok(mut res) = Box::pin(client::request(address, req, &options)).await else {
                continue;
            };
            if res.status().is_success() {
                return client::parse_json(&mut res)
                    .await
                    .change_context(Error::LookUp);
            }
        }
        Err(Report::new(Error::LookUp).attach(service.to_owned()))
    }

    /// Sends a request with retries.
    ///
    /// A binding request is looked up again before a retry, and so gets a new ticket, unless an
    /// earlier attempt may have been executed; from then on it keeps its ticket.
    pub async fn send_with_retries(&self, request: &CallerRequest) -> RequestOutcome {
        let Ok(mut found) = self.look_up(&request.service).await else {
            return RequestOutcome::NotRun(0);
        };
        let mut last_outcome = RequestOutcome::NotRun(0);
        let mut may_have_run = false;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(vm) = found.entry_vms.get(attempt % found.entry_vms.len().max(1)) else {
                return last_outcome;
            };
            match self
                .send(vm.address, request, found.ticket.as_deref().into())
                .await
            {
                Ok(outcome @ (RequestOutcome::Complete | RequestOutcome::Invalid)) => {
                    return outcome;
                }
                Ok(outcome @ RequestOutcome::Unknown(_)) if request.binding => return outcome,
                Ok(outcome) => last_outcome = outcome,
                Err(HttpError::Connect) => {}
                // Sent without a response: the request may have been executed, so only the same
                // ticket may be used from now on.
                Err(_) => may_have_run = true,
            }
            if request.binding && !may_have_run {
                match self.look_up(&request.service).await {
                    Ok(refreshed) => found = refreshed,
                    Err(_) => return last_outcome,
                }
            }
        }
        if may_have_run {
            RequestOutcome::Unknown(0)
        } else {
            last_outcome
        }
    }

    /// Sends a request once to an entry VM.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
        credential: Credential<'_>,
    ) -> std::result::Result<RequestOutcome, HttpError> {
        let path = format!("/work/{}", request.id);
        let method = if request.binding {
            Method::Post
        } else {
            Method::Get
        };
        let mut req = client::build_request(method, &path).map_err(|e| *e.current_context())?;
        req.insert_header(entry::SERVICE_HEADER, &*request.service);
        req.insert_header(entry::HOUSE_HEADER, &*request.house);
        req.insert_header(
            entry::DEADLINE_HEADER,
            self.deadline.as_millis().to_string(),
        );
        req.insert_header("x-request-id", &*request.id);
        req.insert_header("x-execution-id", &*request.id);
        req.insert_header("x-answer-bytes", request.response_bytes.to_string());
        match credential {
            Credential::None => {}
            Credential::Ticket(ticket) => drop(req.insert_header(entry::TICKET_HEADER, ticket)),
            Credential::Key(key) => drop(req.insert_header(entry::KEY_HEADER, key)),
        }
        if credential != Credential::None {
            req.set_body(Body::from_bytes(request.id.as_bytes().to_vec()));
        }
        let options = ClientOptions {
            timeout: self.deadline + RESPONSE_GRACE,
            ..ClientOptions::default()
        };
        let res = Box::pin(client::request(address, req, &options)).await;
        read_outcome(res.map_err(|e| *e.current_context())?, request, &path).await
    }
}

async fn read_outcome(
    mut res: Response,
    request: &CallerRequest,
    path: &str,
) -> std::result::Result<RequestOutcome, HttpError> {
    if let Some(code) = res
        .header(CODE_HEADER)
        .and_then(|c| c.as_str().parse().ok())
    {
        let not_run = res
            .header(OUTCOME_HEADER)
            .is_some_and(|o| o.as_str() == "not-run");
        return Ok(if not_run {
            RequestOutcome::NotRun(code)
        } else {
            RequestOutcome::Unknown(code)
        });
    }
    if !res.status().is_success() {
        return Ok(RequestOutcome::Unknown(res.status().into()));
    }
    let echo: EchoBody = match client::parse_json(&mut res).await {
        Ok(echo) => echo,
        Err(_) => return Ok(RequestOutcome::Invalid),
    };
    let is_valid = echo.request_id == request.id && echo.end == request.id && *echo.path == *path;
    Ok(if is_valid {
        RequestOutcome::Complete
    } else {
        RequestOutcome::Invalid
    })
}
