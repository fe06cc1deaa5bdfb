//! Log lines and metrics of one request.

use std::fmt::Write as _;
use std::time::Duration;

use super::{Origin, Plan, Request};
use crate::answer::Answer;
use crate::exchange::ReceivedResponse;
use crate::node::Node;

/// Fields of a request's log line. Dropped before `finish`, it logs the request as abandoned.
#[derive(Debug)]
pub(super) struct Trace {
    id: Box<str>,
    origin: Origin,
    received_at: Duration,
    generation: u64,
    service: Box<str>,
    route: Box<str>,
    /// Low 16 bits of the object's hash; 0 without object affinity.
    object: u16,
    target_ms: u128,
    deadline_ms: u128,
    /// Comma-separated attempts, each as `destination:outcome:milliseconds`.
    attempts: String,
    finished: bool,
}

impl Trace {
    pub fn new(node: &Node, req: &Request) -> Self {
        let id = req.head.get(node.dialect.headers.request_id);
        Trace {
            id: id.unwrap_or("none").into(),
            origin: req.origin,
            received_at: req.received_at,
            generation: 0,
            service: "none".into(),
            route: "none".into(),
            object: 0,
            target_ms: 0,
            deadline_ms: 0,
            attempts: String::new(),
            finished: false,
        }
    }

    /// Adds the route, service and time limits once they are known.
    pub fn set_plan(&mut self, plan: &Plan) {
        self.generation = plan.routes.generation;
        self.service = plan.service.clone();
        self.route = plan.route.name.clone();
        self.object = plan.object.unwrap_or(0) as u16;
        self.target_ms = plan.target_at.saturating_sub(self.received_at).as_millis();
        self.deadline_ms = plan
            .deadline_at
            .saturating_sub(self.received_at)
            .as_millis();
    }

    /// Records the outcome of an attempt; `destination` is a server or another region.
    pub fn record_attempt(&mut self, destination: &str, outcome: &'static str, elapsed: Duration) {
        let comma = if self.attempts.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(
            self.attempts,
            "{comma}{destination}:{outcome}:{}",
            elapsed.as_millis()
        );
        metrics::counter!("gateway_attempts_total", "outcome" => outcome).increment(1);
    }

    /// Logs an attempt that failed with an I/O or protocol error, and records its outcome.
    pub fn record_failure(
        &mut self,
        destination: &str,
        outcome: &'static str,
        error: &str,
        elapsed: Duration,
    ) {
        log::info!(
            "event=attempt_failed id={} place={destination} outcome={outcome} error=\"{error}\" took_ms={}",
            self.id,
            elapsed.as_millis()
        );
        self.record_attempt(destination, outcome, elapsed);
    }

    /// Logs a response with a status that refuses the request, and records its outcome.
    pub fn record_refusal(
        &mut self,
        destination: &str,
        outcome: &'static str,
        received: &ReceivedResponse,
        elapsed: Duration,
    ) {
        log::info!(
            "event=attempt_refused id={} place={destination} address={} outcome={outcome} status={} {} took_ms={}",
            self.id,
            received.address,
            received.head.status,
            received.via,
            elapsed.as_millis()
        );
        self.record_attempt(destination, outcome, elapsed);
    }

    /// Logs and counts the finished request.
    pub fn finish(mut self, node: &Node, answer: &Answer) {
        self.finished = true;
        let elapsed = node.now().saturating_sub(self.received_at);
        let code = answer.code.map_or("none", |c| c.label());
        metrics::counter!("gateway_answers_total", "code" => code).increment(1);
        metrics::histogram!("gateway_request_seconds").record(elapsed.as_secs_f64());
        log::info!(
            "event=request {} status={} code={code} took_ms={}",
            self.fields(),
            answer.status,
            elapsed.as_millis()
        );
    }

    fn fields(&self) -> String {
        format!(
            "id={} origin={:?} route={} service={} generation={} object={:04x} target_ms={} deadline_ms={} attempts={}",
            self.id,
            self.origin,
            self.route,
            self.service,
            self.generation,
            self.object,
            self.target_ms,
            self.deadline_ms,
            if self.attempts.is_empty() {
                "none"
            } else {
                &self.attempts
            }
        )
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.finished {
            metrics::counter!("gateway_requests_abandoned_total").increment(1);
            log::info!("event=request_abandoned {}", self.fields());
        }
    }
}
