//! Slots of backend servers that are held by attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use config::{Class, ServerId, ServiceId};
use limits::slots::Permit;
use routing::server::Outcome;

use super::Admission;

/// Longest lag between the deadline on this VM and at the server, which counts the remaining time
/// from the arrival of the request.
const DEADLINE_LAG: Duration = Duration::from_millis(100);
/// Longest time until a server detects a closed connection.
const CANCEL_LAG: Duration = Duration::from_millis(20);

/// A slot of a backend server, held until it is dropped.
pub struct Slot {
    pub(super) admission: Arc<Admission>,
    pub(super) permit: Permit,
    pub(super) service: ServiceId,
    pub(super) class: Class,
    pub address: SocketAddr,
    /// Closes when the loan of a borrowed slot ends.
    pub cancelled: Receiver<()>,
    /// Uptime at which the slot was acquired.
    pub(super) started: Duration,
    /// Outcome and latency of the attempt, once it has ended.
    pub(super) ended: Option<(Outcome, Duration)>,
}

impl Slot {
    pub fn server(&self) -> &ServerId {
        &self.permit.server
    }

    /// Returns whether the request may still be sent: since the slot was acquired, the process may
    /// have been paused, the loan of a borrowed slot may have ended, or the server may be leaving.
    pub fn may_send(&self) -> bool {
        let now = self.admission.clock.uptime();
        let mut inner = self.admission.lock();
        let accepts_requests = inner
            .services
            .get(&self.service)
            .is_some_and(|s| s.accepts_requests(self.server()));
        accepts_requests && inner.ledger.may_send(now, &self.permit)
    }

    /// Records the outcome of the attempt; without this call it counts as cancelled.
    pub fn end(&mut self, outcome: Outcome) {
        let now = self.admission.clock.uptime();
        self.ended = Some((outcome, now.saturating_sub(self.started)));
    }

    /// Returns how long the server may still be working on the request.
    fn release_delay(&self) -> Duration {
        match self.ended {
            Some((Outcome::Answered | Outcome::Shed, _)) => Duration::ZERO,
            // A closed connection does not cancel binding work: the server ends it at its deadline.
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
        let delay = self.release_delay();
        if delay.is_zero() {
            admission.release(&permit, &service);
            return;
        }
        runtime::spawn(async move {
            runtime::sleep(delay).await;
            admission.release(&permit, &service);
        })
        .detach();
    }
}
