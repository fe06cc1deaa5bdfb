//! Tickets, execution records and caller-key claims: binding work runs at most once.
//!
//! The code does no I/O and reads no clock: uptime, nonces and the answers of the table service
//! are passed in. `docs/BINDING.md` describes the contract for callers.

mod claims;
mod keys;
mod records;
mod ticket;
mod work;

pub use claims::{
    Claim, ClaimAnswer, ClaimBatcher, ClaimHolder, ClaimOutcome, ClaimRefusal, ClaimSettings,
    ClaimStep, ProcessIdentity, RowKey, SettledClaim,
};
pub use keys::{KeyContext, KeyError, KeyId, KeyRing, Mac};
pub use records::{
    AttemptOutcome, BeginResult, ExecutionPermit, RecordLimits, Records, SendRefusal,
};
pub use ticket::{MAX_TICKET_CHARS, Nonce, Ticket, TicketError, TicketStatus};
pub use work::{RequestDigest, Work, WorkId, request_digest};
