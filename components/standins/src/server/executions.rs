//! Execution log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Response body of `GET /executions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionStats {
    /// Number of executions started, by execution id.
    pub executions: BTreeMap<Box<str>, u64>,
    pub started: u64,
    /// Executions completed; the response may still have been lost.
    pub finished: u64,
    /// Executions cancelled because the client closed the connection.
    pub cancelled: u64,
    /// Executions stopped at their deadline.
    pub deadline_ended: u64,
    /// Executions not counted in `executions` because the log was full.
    pub unlogged: u64,
    /// Requests refused with `x-not-run: 1`.
    pub shed: u64,
    /// Requests that drew a response fault.
    pub bad_answers: u64,
    /// Requests received while the server was leaving, except control and health requests.
    pub arrivals_leaving: u64,
    /// Time from the start of leaving to the last of these requests, in milliseconds.
    pub last_arrival_leaving_ms: u64,
    pub in_service: usize,
    /// Highest number of requests in service at once.
    pub peak_in_service: usize,
    /// Highest number of requests present at once: in service, in the queue, or shed because the
    /// queue was full. A value above the number of slots means that clients exceeded the server's
    /// limit.
    pub peak_present: usize,
    /// Highest number of concurrent connections.
    pub peak_connections: usize,
    /// Connections closed because of `ServerSettings::max_connections`.
    pub rejected_connections: usize,
}

/// Log of executions with a bounded number of execution ids.
pub(super) struct ExecutionLog {
    pub stats: ExecutionStats,
    max_ids: usize,
}

impl ExecutionLog {
    pub fn new(max_ids: usize) -> ExecutionLog {
        ExecutionLog {
            stats: ExecutionStats::default(),
            max_ids,
        }
    }

    pub fn record_start(&mut self, id: &str) {
        self.stats.started += 1;
        if let Some(count) = self.stats.executions.get_mut(id) {
            *count += 1;
        } else if self.stats.executions.len() < self.max_ids {
            self.stats.executions.insert(id.into(), 1);
        } else {
            self.stats.unlogged += 1;
        }
    }

    pub fn snapshot(&self) -> ExecutionStats {
        self.stats.clone()
    }
}
