//! Replies to requests for loans.

use serde::{Deserialize, Serialize};

/// Reply of a lender to a [`LoanRequest`](super::LoanRequest).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of the loan, unique at the lender; unique among lenders by
    /// [`Settings::number_offset`](super::Settings::number_offset).
    pub loan: u64,
    /// Slots lent.
    pub slots: u32,
}

/// Wire form of a [`Grant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGrant {
    /// Number of the loan.
    pub loan: u64,
    /// Slots lent.
    pub slots: u32,
}

impl From<Grant> for WireGrant {
    fn from(grant: Grant) -> Self {
        WireGrant {
            loan: grant.loan,
            slots: grant.slots,
        }
    }
}

impl From<WireGrant> for Grant {
    fn from(wire: WireGrant) -> Self {
        Grant {
            loan: wire.loan,
            slots: wire.slots,
        }
    }
}
