//! Terms of loans, and the time limits of the ledger.

use std::time::Duration;

use config::ServerId;
use serde::{Deserialize, Serialize};

/// Time limits of the ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Length of a renewable term.
    pub term: Duration,
    /// Time before the end of a loan at which the borrower cancels its requests, so that the
    /// cancellations reach the server before the lender uses the slots again.
    pub cancel_margin: Duration,
    /// Longest term of a loan. If the reply or the return of a loan is lost, the lender cannot use
    /// the slot for that long.
    pub max_term: Duration,
    /// Minimum time between the deadline of binding work and the end of the fixed term of its slot.
    /// The server counts the remaining time from the arrival of the request, so this covers the
    /// transit with one retransmission (200 ms).
    pub deadline_margin: Duration,
    /// Longest gap between ticks; after a longer one the process counts as paused.
    pub pause_limit: Duration,
    /// Number after which loans and permits are numbered. Needs to differ widely between processes:
    /// messages name a loan by its number only, also those to a lender that has restarted.
    pub number_offset: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            term: Duration::from_millis(500),
            cancel_margin: Duration::from_millis(25),
            max_term: Duration::from_secs(10),
            deadline_margin: Duration::from_millis(250),
            pause_limit: Duration::from_secs(2),
            number_offset: 0,
        }
    }
}

impl Settings {
    /// Term to request for binding work in the queue; `remaining` is the time to its latest
    /// deadline. Twice the margin, so that a loan also fits deadlines that are later by the margin.
    pub fn fixed_term(&self, remaining: Duration) -> Term {
        Term::Fixed((remaining + self.deadline_margin * 2).min(self.max_term))
    }

    pub(super) fn duration_of(&self, term: Term) -> Duration {
        match term {
            Term::Renewable => self.term,
            Term::Fixed(length) => length,
        }
    }
}

/// Term of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Term {
    /// A term of [`Settings::term`] that is extended while the loan is in use. When the loan ends,
    /// requests on its slots are cancelled.
    Renewable,
    /// A term that is never extended, for binding work, which must not be cancelled.
    Fixed(Duration),
}

/// Loan request, kept by the borrower until the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Server whose slots are requested.
    pub server: ServerId,
    /// When the borrower sent the request. At the borrower the term starts here.
    pub sent: Duration,
    /// Requested term.
    pub term: Term,
}
