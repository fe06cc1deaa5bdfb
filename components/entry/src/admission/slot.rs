//! A slot of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::{Class, ServerId, ServiceId};
use limits::slots::Permit;
use routing::server::Outcome;

use super::Admission;

/// Longest time between the deadline here and at the server, which counts from the arrival.
const DEADLINE_LAG: Duration = Duration::from_millis(100);
/// Longest time until a server notices that the connection was closed.
const CANCEL_LAG: Duration = Duration::from_millis(20);

/// A slot of a backend server, held until it is dropped.
pub struct Slot {
    /// Where it came from.
    pub(super) admission: Arc<Admission>,
    /// Permit of the ledger.
    pub(super) permit: Permit,
    /// Service.
    pub(super) service: ServiceId,
    /// Class of the request.
    pub(super) class: Class,
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

    /// Returns the time for which the server may still work on the request.
    fn release_pause(&self) -> Duration {
        match self.ended {
            Some((Outcome::Answered | Outcome::Shed, _)) => Duration::ZERO,
            // A closed connection does not cancel binding work; its deadline ends it there.
            _ if self.class == Class::Binding => DEADLINE_LAG,
            _ => CANCEL_LAG,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let admission = self.admission.clone();
        admission.finish(self);
        let (permit, service) = (self.permit.clone(), self.service.clone());
        let pause = self.release_pause();
        if pause.is_zero() {
            admission.release(&permit, &service);
            return;
        }
        runtime::spawn(async move {
            runtime::sleep(pause).await;
            admission.release(&permit, &service);
        })
        .detach();
    }
}
