//! Whether this entry VM reaches the servers, as its own attempts show.

use std::time::Duration;

use config::ServerId;
use smallvec::SmallVec;

/// Failed attempts, without a connection that could be opened between them, from which this entry VM
/// counts as cut off. Fewer suffice if they failed at all servers in use: these back off then, and
/// further attempts may only come late.
const MIN_FAILURES: u32 = 4;
/// Servers at which they must have failed; one alone is more likely to be down itself.
const MIN_SERVERS: usize = 2;

/// Failed attempts since a connection to a server was last opened. Answers on connections that were
/// opened before say nothing: a cut may spare them.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failures: u32,
    /// Servers at which attempts failed, up to `MIN_FAILURES`.
    failed_servers: SmallVec<[ServerId; MIN_FAILURES as usize]>,
    cut_off_since: Option<Duration>,
}

impl Reachability {
    /// Whether this entry VM reaches no server.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records that a connection to a server was opened; returns since when this entry VM was cut
    /// off, if it was.
    pub fn record_contact(&mut self) -> Option<Duration> {
        self.failures = 0;
        self.failed_servers.clear();
        self.cut_off_since.take()
    }

    /// Records an attempt that did not reach its server, one of `in_use`; returns whether this entry VM
    /// counts as cut off from now on.
    pub fn record_failure(&mut self, server: &str, in_use: usize, now: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        let known = self.failed_servers.iter().any(|s| &**s == server);
        if !known && self.failed_servers.len() < MIN_FAILURES as usize {
            self.failed_servers.push(server.into());
        }
        let failed_servers = self.failed_servers.len();
        let enough = self.failures >= MIN_FAILURES || failed_servers >= in_use;
        if !enough || failed_servers < MIN_SERVERS || self.is_cut_off() {
            return false;
        }
        self.cut_off_since = Some(now);
        true
    }
}
