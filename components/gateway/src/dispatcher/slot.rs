//! Guards that end a request when they are dropped.

use std::sync::Arc;

use dispatch::{Grant, LoadReport, Outcome};

use super::Dispatcher;

/// A request that waits; dropping it withdraws the request.
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

    /// Keeps the request: a decision has come.
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

/// The right to send one request to one server. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    dispatcher: Arc<Dispatcher>,
    number: u64,
    /// The server.
    pub grant: Grant,
    /// Outcome that is reported when the slot is dropped.
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

    /// Sets the outcome that is reported if the request ends now.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records the load that the server reported.
    pub fn set_load(&mut self, load: Option<LoadReport>) {
        self.load = load;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.dispatcher.end(self.number, self.outcome, self.load);
    }
}
