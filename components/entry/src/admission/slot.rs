//! A slot of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::{ServerId, ServiceId};
use limits::slots::Permit;
use routing::server::Outcome;

use super::Admission;

/// A slot of a backend server, held until it is dropped.
pub struct Slot {
    /// Where it came from.
    pub(super) admission: Arc<Admission>,
    /// Permit of the ledger.
    pub(super) permit: Permit,
    /// Service.
    pub(super) service: ServiceId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Closes when the slot was borrowed and its lease ends.
    pub cancelled: Receiver<()>,
    /// When it was taken.
    pub(super) started: Duration,
    /// How the attempt ended, with its latency.
    pub(super) ended: Option<(Outcome, Duration)>,
}

impl Slot {
    /// Returns the server.
    pub fn server(&self) -> &ServerId {
        &self.permit.server
    }

    /// Tells whether the request may still be sent: the process may have been paused, or the loan
    /// of a borrowed slot may have ended, since the slot was taken.
    pub fn may_send(&self) -> bool {
        let now = self.admission.clock.uptime();
        self.admission.lock().ledger.may_send(now, &self.permit)
    }

    /// Records how the attempt ended; without it the attempt counts as cancelled.
    pub fn end(&mut self, outcome: Outcome) {
        let now = self.admission.clock.uptime();
        self.ended = Some((outcome, now.saturating_sub(self.started)));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let admission = self.admission.clone();
        admission.release(self);
    }
}
