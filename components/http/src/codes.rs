//! Numbered result codes of responses that the system itself generates, documented for callers in
//! docs/RESULT-CODES.md.

use http_types::{Response, StatusCode};
use serde::Serialize;

use crate::server::json_response;

/// Header with the result code number.
pub const CODE_HEADER: &str = "x-result-code";
/// Header with the [`ExecutionStatus`] of the request.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header that a backend server sets when it sheds a request without running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Whether a backend server may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// No backend server ran the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl ExecutionStatus {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// Reason why the system generates the response itself.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name),*];

            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status),* }
            }

            pub fn outcome(self) -> ExecutionStatus {
                match self { $(Code::$name => ExecutionStatus::$outcome),* }
            }

            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text),* }
            }
        }
    };
}

codes! {
    BadRequest = 100, 400, NotRun, "request is not valid HTTP/1.1";
    RequestTruncated = 101, 400, NotRun, "request ended before its body was complete";
    BodyTooLong = 102, 413, NotRun, "request body is too long";
    HeadTooLong = 103, 431, NotRun, "request head is too long";
    RequestTimeout = 104, 408, NotRun, "request arrived too slowly";
    UnknownService = 105, 404, NotRun, "service does not exist";
    NoTicketOrKey = 106, 428, NotRun, "binding request without ticket or key";
    TicketForged = 107, 403, NotRun, "ticket is not valid";
    TicketReused = 108, 422, NotRun, "ticket belongs to another request";
    BadPeer = 109, 403, NotRun, "peer message without a valid keyed hash";
    NotFound = 110, 404, NotRun, "path does not exist";
    NoConfiguration = 200, 503, NotRun, "no configuration is in force";
    Stopping = 201, 503, NotRun, "entry VM is stopping";
    QueueFull = 202, 503, NotRun, "queue is full";
    DeadlinePassed = 203, 504, NotRun, "deadline passed before the request was sent";
    NoServer = 204, 503, NotRun, "no backend server is available";
    ServersShed = 205, 503, NotRun, "backend servers shed the request";
    RecordsFull = 206, 503, NotRun, "no room for another binding record";
    PlatformUnreachable = 207, 503, NotRun, "key cannot be claimed while the platform is unreachable";
    ShareExhausted = 209, 503, NotRun, "share of the failure domain is used up";
    TicketExpired = 300, 409, Unknown, "ticket expired and its record is gone";
    OwnerGone = 301, 409, Unknown, "entry VM that owned the request is gone";
    AnswerCut = 302, 502, Unknown, "backend server's answer was cut";
    AnswerTimeout = 303, 504, Unknown, "deadline passed after the request was sent";
    ConnectionLost = 304, 502, Unknown, "connection to the backend server was lost";
    AnswerInvalid = 305, 502, Unknown, "backend server's answer is not valid HTTP/1.1";
    ClaimUnsettled = 306, 409, Unknown, "claim of the key is not settled";
    OutcomeUnknown = 307, 409, Unknown, "outcome of an earlier attempt is unknown";
}

impl Code {
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Result code and detail of a response that the system generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub code: Code,
    /// Detail of this occurrence, for people.
    pub detail: Box<str>,
}

impl Refusal {
    pub fn new(code: Code, detail: &str) -> Self {
        Refusal {
            code,
            detail: detail.into(),
        }
    }

    /// Builds the response and increments `refusals_total`.
    pub fn response(&self) -> Response {
        refusal(self.code, &self.detail)
    }
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    code: u16,
    /// `not-run` or `unknown`.
    outcome: &'a str,
    /// Description of the code.
    message: &'a str,
    /// Detail of this occurrence.
    detail: &'a str,
}

/// Builds the response for a code and increments `refusals_total`.
pub fn refusal(code: Code, detail: &str) -> Response {
    metrics::counter!("refusals_total", "code" => code.number().to_string()).increment(1);
    let outcome = code.outcome().as_str();
    let mut res = json_response(
        code.status(),
        &RefusalBody {
            code: code.number(),
            outcome,
            message: code.text(),
            detail,
        },
    );
    res.insert_header(CODE_HEADER, code.number().to_string());
    res.insert_header(OUTCOME_HEADER, outcome);
    res
}

/// Returns whether a response of a backend server states that it shed the request.
pub fn is_shed(res: &Response) -> bool {
    res.status() == StatusCode::ServiceUnavailable && res.header(NOT_RUN_HEADER).is_some()
}
