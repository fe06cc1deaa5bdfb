//! Guards that end a request when they are dropped.

use std::sync::Arc;

use dispatch::{Grant, LoadReport, Outcome};

use super::Dispatcher;

/// Cancels a pending request when dropped, unless disarmed.
pub(super) struct PendingGuard {
    dispatcher: Arc<Dispatcher>,
    number: u64,
    disarmed: bool,
}

impl PendingGuard {
    pub fn new(dispatcher: Arc<Dispatcher>, number: u64) -> Self {
        PendingGuard {
            dispatcher,
            number,
            disarmed: false,
        }
    }

    /// Called once the request has a decision.
    pub fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if !self.disarmed {
            self.dispatcher.end(self.number, Outcome::Unused, None);
        }
    }
}

/// Checks a granted slot immediately before the request is sent. Since the grant, the server may
/// have announced its stop, or this process may have been paused.
#[derive(Clone, Debug)]
pub struct GrantCheck {
    dispatcher: Arc<Dispatcher>,
    number: u64,
}

impl GrantCheck {
    /// Returns whether the request may be sent, as far as a view is known that is not older than
    /// the last pause of this process.
    pub async fn allows_sending(&self) -> bool {
        self.dispatcher.freshness.wait().await;
        self.dispatcher
            .with_state(|inner, now| inner.is_grant_valid(self.number, now))
    }
}

/// A slot of a server, for one request. Dropping it reports the outcome and frees the slot.
#[derive(Debug)]
pub struct Slot {
    dispatcher: Arc<Dispatcher>,
    number: u64,
    pub grant: Grant,
    outcome: Outcome,
    load: Option<LoadReport>,
}

impl Slot {
    pub(super) fn new(dispatcher: Arc<Dispatcher>, number: u64, grant: Grant) -> Self {
        Slot {
            dispatcher,
            number,
            grant,
            outcome: Outcome::Unused,
            load: None,
        }
    }

    /// Returns a check of the grant, for use while the slot is borrowed.
    pub fn check(&self) -> GrantCheck {
        GrantCheck {
            dispatcher: self.dispatcher.clone(),
            number: self.number,
        }
    }

    /// Sets the outcome to report when the slot is dropped; [`Outcome::Unused`] if never set.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Sets the load report of the server, passed to the pool with the outcome.
    pub fn set_load(&mut self, load: Option<LoadReport>) {
        self.load = load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.dispatcher.end(self.number, self.outcome, self.load);
    }
}
