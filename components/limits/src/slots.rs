//! Slots of backend servers: division among the entry VMs of a domain, and loans of idle parts.
//!
//! # Bounds
//!
//! For each server, the requests in flight from all entry VMs of its domain never exceed its
//! slots, whatever messages are lost, duplicated or delayed, with three stated residuals:
//!
//! - A *borrower* that is paused with requests in flight on borrowed slots cannot cancel them
//!   when the lease ends. Until it runs again, or the server finishes them, the server may hold
//!   up to that many requests more.
//! - A *holder* that is paused until the others consider it gone keeps its requests in flight at
//!   the server while its part is reassigned. Until the server finishes them, it may hold up to
//!   that many requests more, also after the holder runs again. After the pause it starts nothing until
//!   [`Ledger::confirm`], because [`Ledger::acquire`] detects the gap in its ticks. The same
//!   holds for a VM that runs but is cut off from its peers while the VM list wrongly names it
//!   as gone; that one continues to start requests within its part.
//! - A *lender* that crashes, or is paused until the others consider it gone, may have slots lent
//!   under a fixed term. A borrower's request on one keeps running while the lender's part is
//!   reassigned, until its deadline. Loans under the ordinary term have ended by then.
//!
//! Binding work on a borrowed slot runs under a loan with a fixed term that outlasts its deadline
//! by [`Settings::fixed_margin`], so a paused borrower's request has ended when the loan ends. The
//! server counts the deadline from the arrival of the request; one that is on its way for longer
//! than the margin may run over the end by the difference.
//!
//! In all cases the excess is bounded by the part or the loan, and by the deadlines of the
//! requests, because servers honour deadlines.

mod error;
mod ledger;
mod split;
mod terms;

pub use error::{Error, Result};
pub use ledger::{Grant, Ledger, Permit, Renewal, Usage, WireGrant};
pub use split::{Parts, split};
pub use terms::{LoanRequest, Settings, Term};
