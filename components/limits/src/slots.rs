//! Slots of backend servers: division among the entry VMs of a domain, and loans of idle parts.
//!
//! # Bounds
//!
//! For each server, the requests in flight from all entry VMs of its domain never exceed its
//! slots, whatever messages are lost, duplicated or delayed, with two stated residuals:
//!
//! - A *borrower* that is paused with requests in flight on borrowed slots cannot cancel them
//!   when the lease ends. Until it runs again, or the server finishes them, the server may hold
//!   up to that many requests more.
//! - A *holder* that is paused until the others consider it gone keeps its requests in flight at
//!   the server while its part is reassigned. Until it runs again, or the server finishes them,
//!   the server may hold up to that many requests more. After the pause it starts nothing until
//!   [`Ledger::confirm`], because [`Ledger::acquire`] detects the gap in its ticks. The same
//!   holds for a VM that runs but is cut off from its peers while the VM list wrongly names it
//!   as gone; that one continues to start requests within its part.
//!
//! In both cases the excess is bounded by the part or the loan, and by the deadlines of the
//! requests, because servers honour deadlines.

mod ledger;
mod split;

pub use ledger::{
    Error, Grant, Ledger, LoanRequest, Permit, Renewal, Result, Settings, Usage, WireGrant,
};
pub use split::{Parts, split};
