//! Requests to the platform.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt, bail};
use http::client::{self, ClientOptions};
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::settings::ClientSettings;

/// Header with the platform time in milliseconds since the Unix epoch.
const TIME_HEADER: &str = "x-platform-time-ms";
/// Size limit of row and object names.
const MAX_NAME_BYTES: usize = 256;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Has no side effects and may be sent again.
    Read,
    /// Not sent again once it may have reached the platform.
    Write,
}

/// Client of the platform services.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    options: ClientOptions,
    /// Platform time in the last response, and when the response arrived.
    last_time: Mutex<Option<(u64, Instant)>>,
}

impl Client {
    /// Creates a client without contacting the platform.
    pub fn new(settings: ClientSettings) -> Client {
        let options = ClientOptions {
            connect_timeout: settings.connect_timeout,
            timeout: settings.timeout,
            max_body: settings.max_body,
            ..ClientOptions::default()
        };
        Client {
            settings,
            options,
            last_time: Mutex::new(None),
        }
    }

    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Returns the platform time in milliseconds since the Unix epoch, extrapolated from the last
    /// response with the monotonic clock; `None` before the first response.
    pub fn time_ms(&self) -> Option<u64> {
        let (time_ms, at) = (*self.last_time.lock().ok()?)?;
        Some(time_ms.saturating_add(whole_millis(at.elapsed())))
    }

    /// Sends a request to the addresses in turn until one gives a definite response: success,
    /// "not found" or "conflict".
    pub(crate) async fn exchange(
        &self,
        kind: RequestKind,
        build: impl Fn() -> http::Result<Request>,
    ) -> Result<Response> {
        let mut failure = Report::new(Error::NotSent).attach("no platform address is configured");
        for &addr in &self.settings.addresses {
            let req = build().change_context(Error::InvalidName)?;
            failure = match client::request(addr, req, &self.options).await {
                Ok(res) => match check_status(res) {
                    Ok(res) => {
                        self.record_platform_time(&res);
                        return Ok(res);
                    }
                    Err(report) => report,
                },
                Err(report) => classify_http_error(report),
            };
            if kind == RequestKind::Write && *failure.current_context() != Error::NotSent {
                break;
            }
        }
        count_failure(kind, *failure.current_context());
        Err(failure)
    }

    fn record_platform_time(&self, res: &Response) {
        let value = res
            .header(TIME_HEADER)
            .map(http_types::headers::HeaderValues::last);
        let time_ms = value.and_then(|value| value.as_str().parse().ok());
        if let (Some(time_ms), Ok(mut time)) = (time_ms, self.last_time.lock()) {
            *time = Some((time_ms, Instant::now()));
        }
    }
}

/// Passes definite responses and maps other statuses to errors.
fn check_status(res: Response) -> Result<Response> {
    match res.status() {
        StatusCode::NotFound | StatusCode::Conflict => Ok(res),
        status if status.is_success() => Ok(res),
        status if status.is_client_error() || status == StatusCode::InsufficientStorage => {
            Err(Report::new(Error::Refused(status.into())))
        }
        status => Err(Report::new(Error::Unknown).attach(format!("status {status}"))),
    }
}

fn classify_http_error(report: Report<http::Error>) -> Report<Error> {
    let error = if report.current_context().may_have_been_sent() {
        Error::Unknown
    } else {
        Error::NotSent
    };
    report.change_context(error)
}

fn count_failure(kind: RequestKind, error: Error) {
    let kind = if kind == RequestKind::Read {
        "read"
    } else {
        "write"
    };
    let reason = match error {
        Error::NotSent => "not_sent",
        Error::Unknown => "unknown",
        _ => "refused",
    };
    metrics::counter!("platform_failures_total", "kind" => kind, "reason" => reason).increment(1);
}

/// Decodes the JSON body of a response.
pub(crate) async fn decode<T: DeserializeOwned>(mut res: Response) -> Result<T> {
    client::parse_json(&mut res)
        .await
        .change_context(Error::Unknown)
}

/// Validates a row or object name before it becomes part of a path.
pub(crate) fn check_name(name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "/_.:-".contains(c);
    let has_dot_segment = name.split('/').any(|part| part == "." || part == "..");
    if name.is_empty()
        || name.len() > MAX_NAME_BYTES
        || has_dot_segment
        || !name.chars().all(allowed)
    {
        bail!(Report::new(Error::InvalidName).attach(format!("name {name:?}")));
    }
    Ok(())
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
