//! Terms of loans and the time bounds of the ledger.

use std::time::Duration;

use config::ServerId;
use serde::{Deserialize, Serialize};

/// Time bounds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Term of a loan.
    pub term: Duration,
    /// Time before the end of its term at which a borrower stops, so that the cancellation of
    /// its requests reaches the server in time.
    pub margin: Duration,
    /// Longest fixed term. A lost message keeps the slot from its lender that long.
    pub max_term: Duration,
    /// Time between the deadline of binding work and the end of the fixed term of its slot. The
    /// server learns the time left when the request arrives, so this covers its way there with
    /// one retransmission (200 ms).
    pub fixed_margin: Duration,
    /// Gap between ticks after which the process counts as paused.
    pub pause_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            term: Duration::from_millis(500),
            margin: Duration::from_millis(25),
            max_term: Duration::from_secs(10),
            fixed_margin: Duration::from_millis(250),
            pause_limit: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Term to ask for so that waiting binding work can use the slot; `remaining` is the longest
    /// time left to a deadline. Requests that arrive within the margin after the question fit too.
    pub fn fixed_term(&self, remaining: Duration) -> Term {
        Term::Fixed((remaining + self.fixed_margin * 2).min(self.max_term))
    }

    /// Length of a term.
    pub(super) fn length(&self, term: Term) -> Duration {
        match term {
            Term::Renewable => self.term,
            Term::Fixed(length) => length,
        }
    }
}

/// How long a loan runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Term {
    /// The ordinary term. The loan is extended while it is used; when it ends, its requests are
    /// cancelled.
    Renewable,
    /// One term that is never extended, for binding work, which must not be cancelled.
    Fixed(Duration),
}

/// Request for a loan, kept by the borrower until the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Server whose slots are wanted.
    pub server: ServerId,
    /// When the borrower sent it; the term counts from here.
    pub sent: Duration,
    /// Wanted term.
    pub term: Term,
}
