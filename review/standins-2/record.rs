//! What clients sent and got, and what servers and the store did, with the time of each.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client sent a request.
    Sent,
    /// A client got an answer, or the end of its connection.
    Got,
    /// A request reached the server that it was meant for.
    Arrived,
    /// A server began to work on a request.
    Ran,
    /// A server has answered.
    Answered,
    /// A server refused a request without running it.
    Refused,
    /// A request reached a server that it was not meant for.
    Misdirected,
    /// A server exited with the request at work.
    Lost,
    /// Something that the case did.
    Step,
}

#[derive(Clone, Debug)]
pub struct Line {
    /// Time since the start of the record.
    pub at: Duration,
    pub event: Event,
    /// Request id; empty for steps.
    pub id: String,
    /// Server, machine and status, or the step.
    pub what: String,
}

/// A record shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, event: Event, id: &str, what: &str) {
        let line = Line {
            at: self.now(),
            event,
            id: id.to_owned(),
            what: what.to_owned(),
        };
        self.lines.lock().unwrap().push(line);
    }

    /// Records a step and returns its time.
    pub fn step(&self, what: &str) -> Duration {
        self.add(Event::Step, "", what);
        println!("{:8.3} {what}", self.now().as_secs_f64());
        self.now()
    }

    pub fn lines(&self) -> Vec<Line> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|l| l.at);
        lines
    }

    pub fn write(&self, path: &str) {
        let mut text = String::new();
        for l in self.lines() {
            let _ = writeln!(
                text,
                "{:9.4} {:<11} {} {}",
                l.at.as_secs_f64(),
                format!("{:?}", l.event),
                l.id,
                l.what
            );
        }
        if let Err(e) = std::fs::write(path, text) {
            eprintln!("{path} is not written: {e}");
        }
    }
}
