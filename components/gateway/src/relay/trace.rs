//! Log lines and metrics of one request.

use std::fmt::Write as _;
use std::time::Duration;

use super::{Origin, Plan, Request};
use crate::answer::Answer;
use crate::node::Node;

/// What is logged about a request.
#[derive(Debug)]
pub(super) struct Trace {
    id: Box<str>,
    origin: Origin,
    arrived: Duration,
    generation: u64,
    service: Box<str>,
    route: Box<str>,
    /// Short form of the hash of the object.
    object: u16,
    target_ms: u128,
    deadline_ms: u128,
    /// Attempts, as `server:outcome:milliseconds`.
    attempts: String,
    finished: bool,
}

impl Trace {
    pub fn new(node: &Node, req: &Request) -> Self {
        let id = req.head.get(node.dialect.headers.request_id);
        Trace {
            id: id.unwrap_or("none").into(),
            origin: req.origin,
            arrived: req.arrived,
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

    pub fn planned(&mut self, plan: &Plan) {
        self.generation = plan.routes.generation;
        self.service = plan.service.clone();
        self.route = plan.route.name.clone();
        self.object = plan.object.unwrap_or(0) as u16;
        self.target_ms = plan.target_at.saturating_sub(self.arrived).as_millis();
        self.deadline_ms = plan.give_up_at.saturating_sub(self.arrived).as_millis();
    }

    /// Records the outcome of an attempt at a server or another region.
    pub fn attempt(&mut self, place: &str, outcome: &'static str, took: Duration) {
        let comma = if self.attempts.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(
            self.attempts,
            "{comma}{place}:{outcome}:{}",
            took.as_millis()
        );
        metrics::counter!("gateway_attempts_total", "outcome" => outcome).increment(1);
    }

    /// Records an attempt that failed with an error.
    pub fn failed(&mut self, place: &str, outcome: &'static str, error: &str, took: Duration) {
        log::info!(
            "event=attempt_failed id={} place={place} outcome={outcome} error=\"{error}\" took_ms={}",
            self.id,
            took.as_millis()
        );
        self.attempt(place, outcome, took);
    }

    /// Logs the answer.
    pub fn finish(mut self, node: &Node, answer: &Answer) {
        self.finished = true;
        let took = node.now().saturating_sub(self.arrived);
        let code = answer.code.map_or("none", |c| c.label());
        metrics::counter!("gateway_answers_total", "code" => code).increment(1);
        metrics::histogram!("gateway_request_seconds").record(took.as_secs_f64());
        log::info!(
            "event=request {} status={} code={code} took_ms={}",
            self.fields(),
            answer.status,
            took.as_millis()
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
