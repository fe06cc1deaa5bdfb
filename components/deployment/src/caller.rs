//! A caller: looks up entry VMs, sends requests and retries as the contract for callers says.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http::client::{self, ClientOptions};
use http::codes::{CODE_HEADER, OUTCOME_HEADER};
use http::{Body, Error as HttpError, Method, Response};
use serde::Deserialize;
use standins::server::EchoBody;

use crate::error::{Error, Result};

/// Time for which a caller waits beyond its deadline, so that it gets an answer given at the
/// deadline.
const GRACE: Duration = Duration::from_millis(500);
/// Attempts of one request.
const MAX_ATTEMPTS: usize = 4;

/// One piece of work.
#[derive(Clone, Debug)]
pub struct Work {
    /// Service.
    pub service: Box<str>,
    /// House.
    pub house: Box<str>,
    /// Identity that the backend server logs.
    pub id: Box<str>,
    /// Whether it must run at most once.
    pub binding: bool,
    /// Bytes of the answer.
    pub answer_bytes: usize,
}

/// What makes a retry of binding work known as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential<'a> {
    /// Nothing; for work that may run again.
    None,
    /// Ticket from a look-up.
    Ticket(&'a str),
    /// Key of the caller's own.
    Key(&'a str),
}

impl<'a> From<Option<&'a str>> for Credential<'a> {
    fn from(ticket: Option<&'a str>) -> Self {
        ticket.map_or(Credential::None, Credential::Ticket)
    }
}

/// What came of a piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer to this request.
    Whole,
    /// An answer that is not whole or belongs to another request.
    Wrong,
    /// Refused with a result code; the work did not run.
    NotRun(u16),
    /// The outcome is unknown, with the result code, or the HTTP status of a server's own error.
    Unknown(u16),
}

/// Answer to a look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct LookUp {
    /// Entry VMs, best first.
    pub entry_vms: Vec<NamedVm>,
    /// Ticket of a binding service.
    pub ticket: Option<Box<str>>,
}

/// An entry VM in a look-up answer.
#[derive(Clone, Debug, Deserialize)]
pub struct NamedVm {
    /// Name.
    pub id: Box<str>,
    /// Address.
    pub address: SocketAddr,
}

/// A caller that knows some entry VMs.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Entry VMs that it asks.
    pub known: Vec<SocketAddr>,
    /// Time for one request.
    pub deadline: Duration,
}

impl Caller {
    /// Looks a service up at the first entry VM that answers, starting at a random one.
    pub async fn look_up(&self, service: &str) -> Result<LookUp> {
        let start = fastrand::usize(..self.known.len().max(1));
        for i in 0..self.known.len() {
            let address = self.known[(start + i) % self.known.len()];
            let req = client::build_request(Method::Get, &format!("/lookup?service={service}"))
                .change_context(Error::LookUp)?;
            let options = ClientOptions {
                timeout: self.deadline + GRACE,
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

    /// Does a piece of work; a binding one keeps its ticket over all attempts.
    pub async fn perform(&self, work: &Work) -> Answer {
        let Ok(mut found) = self.look_up(&work.service).await else {
            return Answer::NotRun(0);
        };
        let mut last = Answer::NotRun(0);
        let mut unsure = false;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(vm) = found.entry_vms.get(attempt % found.entry_vms.len().max(1)) else {
                return last;
            };
            match self
                .send(vm.address, work, found.ticket.as_deref().into())
                .await
            {
                Ok(answer @ (Answer::Whole | Answer::Wrong)) => return answer,
                Ok(answer @ Answer::Unknown(_)) if work.binding => return answer,
                Ok(answer) => last = answer,
                Err(HttpError::Connect) => {}
                // Sent without an answer: only the same ticket may be sent from now on.
                Err(_) => unsure = true,
            }
            if work.binding && !unsure {
                match self.look_up(&work.service).await {
                    Ok(again) => found = again,
                    Err(_) => return last,
                }
            }
        }
        if unsure { Answer::Unknown(0) } else { last }
    }

    /// Sends one request to one entry VM.
    pub async fn send(
        &self,
        address: SocketAddr,
        work: &Work,
        credential: Credential<'_>,
    ) -> std::result::Result<Answer, HttpError> {
        let path = format!("/work/{}", work.id);
        let method = if work.binding {
            Method::Post
        } else {
            Method::Get
        };
        let mut req = client::build_request(method, &path).map_err(|e| *e.current_context())?;
        req.insert_header(entry::SERVICE_HEADER, &*work.service);
        req.insert_header(entry::HOUSE_HEADER, &*work.house);
        req.insert_header(
            entry::DEADLINE_HEADER,
            self.deadline.as_millis().to_string(),
        );
        req.insert_header("x-request-id", &*work.id);
        req.insert_header("x-execution-id", &*work.id);
        req.insert_header("x-answer-bytes", work.answer_bytes.to_string());
        match credential {
            Credential::None => {}
            Credential::Ticket(ticket) => drop(req.insert_header(entry::TICKET_HEADER, ticket)),
            Credential::Key(key) => drop(req.insert_header(entry::KEY_HEADER, key)),
        }
        if credential != Credential::None {
            req.set_body(Body::from_bytes(work.id.as_bytes().to_vec()));
        }
        let options = ClientOptions {
            timeout: self.deadline + GRACE,
            ..ClientOptions::default()
        };
        let res = Box::pin(client::request(address, req, &options)).await;
        read(res.map_err(|e| *e.current_context())?, work, &path).await
    }
}

async fn read(
    mut res: Response,
    work: &Work,
    path: &str,
) -> std::result::Result<Answer, HttpError> {
    if let Some(code) = res
        .header(CODE_HEADER)
        .and_then(|c| c.as_str().parse().ok())
    {
        let not_run = res
            .header(OUTCOME_HEADER)
            .is_some_and(|o| o.as_str() == "not-run");
        return Ok(if not_run {
            Answer::NotRun(code)
        } else {
            Answer::Unknown(code)
        });
    }
    if !res.status().is_success() {
        return Ok(Answer::Unknown(res.status().into()));
    }
    let echo: EchoBody = match client::parse_json(&mut res).await {
        Ok(echo) => echo,
        Err(_) => return Ok(Answer::Wrong),
    };
    let own = echo.request_id == work.id && echo.end == work.id && *echo.path == *path;
    Ok(if own { Answer::Whole } else { Answer::Wrong })
}
