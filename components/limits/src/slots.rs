//! Slots of backend servers: quotas of the entry VMs of a domain, and loans of idle slots.
//!
//! The slots of each server are divided into one quota per entry VM. A VM may lend idle slots of
//! its quota to a peer.
//!
//! # Bounds
//!
//! For each server, the requests in flight from all entry VMs of its domain never exceed its
//! slots, whatever messages are lost, duplicated or delayed, with three exceptions:
//!
//! - A *borrower* that is paused with requests in flight on borrowed slots cannot cancel them
//!   when the lease ends. Until it runs again, or the server finishes them, the server may hold
//!   up to that many requests more.
//! - An *owner* of slots that is paused until its peers consider it gone keeps its requests in
//!   flight at the server while its quota is reassigned. Until the server finishes them, it may
//!   hold up to that many requests more, also after the owner runs again. After the pause the
//!   owner starts nothing until [`Ledger::confirm`], because [`Ledger::acquire`] detects the gap
//!   in its ticks. The same bound holds for a VM that runs but is cut off from its peers while the
//!   VM list wrongly names it as gone; that one continues to start requests within its quota.
//! - A *lender* that crashes, or is paused until its peers consider it gone, may have slots lent
//!   under a fixed term. A borrower's request on one keeps running while the lender's quota is
//!   reassigned, until its deadline. Loans under a renewable term have ended by then.
//!
//! Binding work on a borrowed slot runs under a loan with a fixed term that outlasts its deadline
//! by [`Settings::deadline_margin`], so a paused borrower's request has ended when the loan ends.
//! The server counts the deadline from the arrival of the request; one that is in transit for
//! longer than the margin may outlast the loan by the difference.
//!
//! In all cases the excess is bounded by the quota or the loan, and by the deadlines of the
//! requests, because servers honour deadlines.

mod error;
mod grant;
mod ledger;
mod split;
mod terms;

pub use error::{Error, Result};
pub use grant::{Grant, WireGrant};
pub use ledger::{Ledger, Permit, Renewal, Usage};
pub use split::{Quotas, split};
pub use terms::{LoanRequest, Settings, Term};
