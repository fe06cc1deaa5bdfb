//! The execution log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Answer of `GET /executions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Executions {
    /// How often each execution id was started.
    pub executions: BTreeMap<Box<str>, u64>,
    /// Executions started.
    pub started: u64,
    /// Executions finished; the answer may still have been lost.
    pub finished: u64,
    /// Executions ended by a closed connection.
    pub cancelled: u64,
    /// Executions ended by their deadline.
    pub deadline_ended: u64,
    /// Executions that are missing in `executions` because the log was full.
    pub unlogged: u64,
    /// Requests answered with `x-not-run: 1`.
    pub shed: u64,
    /// Bad answers.
    pub bad_answers: u64,
    /// Requests that arrived after the server began to leave.
    pub arrivals_leaving: u64,
    /// Time from the beginning of leaving to the last arrival, in milliseconds.
    pub last_arrival_leaving_ms: u64,
    /// Requests in service now.
    pub in_service: usize,
    /// Most requests ever in service at once.
    pub peak_in_service: usize,
    /// Most requests ever present at once: in service, in the queue, or shed on arrival. More
    /// than the slots means that callers went past the server's limit.
    pub peak_present: usize,
    /// Most connections ever open at once.
    pub peak_connections: usize,
    /// Connections closed because of the limit.
    pub rejected_connections: usize,
}

/// Collects executions up to a number of ids.
pub(super) struct Log {
    /// What has been collected.
    pub seen: Executions,
    max_ids: usize,
}

impl Log {
    /// An empty log for at most `max_ids` ids.
    pub fn new(max_ids: usize) -> Log {
        Log {
            seen: Executions::default(),
            max_ids,
        }
    }

    /// Notes the start of an execution.
    pub fn start(&mut self, id: &str) {
        self.seen.started += 1;
        if let Some(count) = self.seen.executions.get_mut(id) {
            *count += 1;
        } else if self.seen.executions.len() < self.max_ids {
            self.seen.executions.insert(id.into(), 1);
        } else {
            self.seen.unlogged += 1;
        }
    }

    /// A copy of what has been collected.
    pub fn executions(&self) -> Executions {
        self.seen.clone()
    }
}
