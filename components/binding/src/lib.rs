//! Tickets, execution records and caller-key claims: binding work runs at most once.
//!
//! All code here is pure: the time since process start, nonces and the answers of the table
//! service are passed in. `docs/BINDING.md` describes the contract for callers.

mod claims;
mod keys;
mod records;
mod ticket;
mod work;

pub use claims::{
    Claim, ClaimAnswer, ClaimBatch, ClaimRefusal, ClaimSettings, ClaimStep, ClaimVerdict, Holder,
    Identity, RowKey, Settled,
};
pub use keys::{Context, KeyError, KeyId, KeyRing, Mac};
pub use records::{Begin, Ending, Permit, RecordLimits, Records, SendRefusal};
pub use ticket::{MAX_TICKET_TEXT, Nonce, Ticket, TicketError, Verdict};
pub use work::{RequestDigest, Work, WorkId, request_digest};
