//! Result codes of answers that the gateway generates itself; documented in docs/RESULT-CODES.md.

/// Header field with the number of the result code.
pub const CODE_HEADER: &str = "x-result-code";
/// Header field that tells whether a server may have run the request.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Value of [`OUTCOME_HEADER`] for a request that no server ran or will run.
pub const NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME_HEADER`] for a request that a server may have run.
pub const UNKNOWN: &str = "unknown";

/// Returns whether only entry VMs set a header field of responses. Other entry VMs rely on it.
pub fn is_own_header(name: &str) -> bool {
    [CODE_HEADER, OUTCOME_HEADER]
        .iter()
        .any(|n| name.eq_ignore_ascii_case(n))
}

/// Returns whether a response with this status tells its receiver that the request has not run and
/// never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Reason for which the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request head is too long.
    HeadTooLong,
    /// The request body is too long.
    BodyTooLong,
    /// No route of the host matches the path, or the host is not configured.
    NoRoute,
    /// The entry VM has no configuration yet.
    NoConfiguration,
    /// No slot became free in time.
    Overloaded,
    /// The service has no usable server.
    NoServers,
    /// The retry budget is used up.
    RetryBudget,
    /// All attempts failed on servers that did not run the request.
    Refused,
    /// The deadline passed before the request was sent to a server.
    NoTime,
    /// The entry VM is stopping and could not finish the request in time.
    Leaving,
    /// The memory for request bodies is used up.
    NoMemory,
    /// The connection broke or the answer was invalid after the request was sent to a server.
    AnswerLost,
    /// The server did not answer in time.
    Timeout,
}

impl Code {
    pub const ALL: [Code; 14] = [
        Code::BadRequest,
        Code::HeadTooLong,
        Code::BodyTooLong,
        Code::NoRoute,
        Code::NoConfiguration,
        Code::Overloaded,
        Code::NoServers,
        Code::RetryBudget,
        Code::Refused,
        Code::NoTime,
        Code::Leaving,
        Code::NoMemory,
        Code::AnswerLost,
        Code::Timeout,
    ];

    /// Returns the number that the header field `x-result-code` carries.
    pub fn number(self) -> u16 {
        match self {
            Code::BadRequest => 301,
            Code::HeadTooLong => 302,
            Code::BodyTooLong => 303,
            Code::NoRoute => 304,
            Code::NoConfiguration => 311,
            Code::Overloaded => 312,
            Code::NoServers => 313,
            Code::RetryBudget => 314,
            Code::Refused => 315,
            Code::NoTime => 316,
            Code::Leaving => 317,
            Code::NoMemory => 318,
            Code::AnswerLost => 321,
            Code::Timeout => 322,
        }
    }

    /// Returns the HTTP status and its reason phrase.
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Code::BadRequest => (400, "Bad Request"),
            Code::HeadTooLong => (431, "Request Header Fields Too Large"),
            Code::BodyTooLong => (413, "Content Too Large"),
            Code::NoRoute => (404, "Not Found"),
            Code::NoConfiguration
            | Code::Overloaded
            | Code::NoServers
            | Code::RetryBudget
            | Code::Refused
            | Code::NoTime
            | Code::Leaving
            | Code::NoMemory => (503, "Service Unavailable"),
            Code::AnswerLost => (502, "Bad Gateway"),
            Code::Timeout => (504, "Gateway Timeout"),
        }
    }

    /// Returns the value of [`OUTCOME_HEADER`].
    pub fn outcome(self) -> &'static str {
        if self.is_not_run() { NOT_RUN } else { UNKNOWN }
    }

    /// Whether no server ran the request or will run it.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Code::AnswerLost | Code::Timeout)
    }

    /// Returns the label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Code::BadRequest => "bad_request",
            Code::HeadTooLong => "head_too_long",
            Code::BodyTooLong => "body_too_long",
            Code::NoRoute => "no_route",
            Code::NoConfiguration => "no_configuration",
            Code::Overloaded => "overloaded",
            Code::NoServers => "no_servers",
            Code::RetryBudget => "retry_budget",
            Code::Refused => "refused_by_servers",
            Code::NoTime => "no_time",
            Code::Leaving => "leaving",
            Code::NoMemory => "no_memory",
            Code::AnswerLost => "answer_lost",
            Code::Timeout => "timeout",
        }
    }
}
