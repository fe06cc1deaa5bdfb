//! Loans of slots to and from the other entry VMs of the domain, as kept in the ledger.

use std::sync::Arc;
use std::time::Duration;

use config::{Class, ServerId, ServiceId};
use limits::slots::{Grant, LoanRequest, Renewal, Settings, Term, WireGrant};

use super::Admission;

/// Number of slots in one loan.
const LENT_SLOTS: u32 = 1;

impl Admission {
    /// Returns the loan term for the waiting requests of a service; `None` if none waits.
    pub fn waiting_loan_term(&self, service: &ServiceId) -> Option<Term> {
        let now = self.clock.uptime();
        let inner = self.lock();
        let state = inner.services.get(service)?;
        let latest = state.queue.latest_deadline()?;
        Some(match state.class {
            Class::Binding => Settings::default().fixed_term(latest.saturating_sub(now)),
            Class::Idempotent | Class::Deferrable => Term::Renewable,
        })
    }

    /// Lends a slot of the server with the most idle slots.
    ///
    /// Lends nothing while requests of the service wait, and keeps its last idle slot.
    pub fn lend(&self, service: &ServiceId, term: Term) -> Option<(ServerId, WireGrant)> {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        let super::Inner {
            ledger, services, ..
        } = &mut *inner;
        let state = services.get(service)?;
        if !state.queue.is_empty() {
            return None;
        }
        let free = |id: &ServerId| ledger.usage(now, id).free_own();
        let total: u32 = state.servers.keys().map(free).sum();
        let usable = state
            .servers
            .keys()
            .filter(|id| !state.selector.is_suspended(id));
        let server = usable
            .max_by_key(|id| free(id))
            .filter(|_| total > 1)?
            .clone();
        let grant = ledger.lend(now, &server, LENT_SLOTS, 0, term).ok()?;
        Some((server, WireGrant::from(grant)))
    }

    /// Records a borrowed slot; returns false if the loan has already ended.
    pub fn borrow(
        self: &Arc<Self>,
        service: &ServiceId,
        request: &LoanRequest,
        grant: Grant,
    ) -> bool {
        let now = self.clock.uptime();
        let borrowed = self.lock().ledger.borrow(now, request, grant).is_ok();
        self.start_waiting(service);
        borrowed
    }

    /// Cancels requests on ended loans; returns the loans to extend and the idle ones to return.
    pub fn maintain_loans(self: &Arc<Self>) -> (Vec<Renewal>, Vec<(ServerId, u64)>) {
        let now = self.clock.uptime();
        let mut inner = self.lock();
        for permit in inner.ledger.tick(now) {
            // Dropping the sender closes the channel, which cancels the request.
            inner.cancel_senders.remove(&permit);
        }
        let is_waiting = |s: &super::service::ServiceState| !s.queue.is_empty();
        let waiting = inner.services.values().any(is_waiting);
        let idle = inner.ledger.return_idle(waiting);
        (inner.ledger.renewals(now), idle)
    }

    /// Returns whether this VM still holds a borrowed loan.
    pub fn has_loan(&self, server: &ServerId, loan: u64) -> bool {
        self.lock().ledger.has_loan(server, loan)
    }

    /// Records that a lender has extended a loan; `sent` is the time of the request.
    pub fn record_extension(&self, renewal: &Renewal, sent: Duration) {
        // The loan may have ended on this VM since the request was sent.
        let _ = self.lock().ledger.record_extension(renewal.key, sent);
    }

    /// Extends a loan as its lender; returns false if it has already ended.
    pub fn extend_loan(&self, loan: u64) -> bool {
        let now = self.clock.uptime();
        self.lock().ledger.extend(now, loan).is_ok()
    }

    /// Records, as the lender, that loans were returned.
    pub fn record_returns(self: &Arc<Self>, loans: &[u64]) {
        {
            let mut inner = self.lock();
            for loan in loans {
                inner.ledger.record_return(*loan);
            }
        }
        self.start_all_waiting();
    }
}
