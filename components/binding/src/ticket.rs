//! Tickets, which name one piece of binding work and the process that may execute it.

use std::fmt::{self, Write as _};
use std::time::Duration;

use config::{EntryVmId, Incarnation, ServiceId};
use error_stack::Report;

use crate::claims::ProcessIdentity;
use crate::keys::{KeyContext, KeyId, KeyRing, Mac};

/// Random number that identifies the work.
pub type Nonce = [u8; 16];
pub type Result<T, E = Report<TicketError>> = std::result::Result<T, E>;

const VERSION: u8 = 1;
const MAX_NAME_BYTES: usize = 64;
/// Bytes of the version, key id, incarnation, expiry, nonce and two name lengths.
const FIXED_BYTES: usize = 1 + 4 + 8 + 8 + 16 + 2;
const MAC_BYTES: usize = blake3::OUT_LEN;
const MIN_BYTES: usize = FIXED_BYTES + 2 + MAC_BYTES;
const MAX_BYTES: usize = FIXED_BYTES + 2 * MAX_NAME_BYTES + MAC_BYTES;
/// Maximum length of the text form of a ticket.
pub const MAX_TICKET_CHARS: usize = 2 * MAX_BYTES;

/// Reason why a ticket cannot be minted or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The text is too short, too long or of odd length.
    Length(usize),
    /// The byte at this position is not a lower-case hexadecimal digit.
    Digit(usize),
    /// The format version is not supported.
    Version(u8),
    /// A service or owner name is empty, longer than 64 bytes or not UTF-8.
    Name,
    /// The fields are longer or shorter than the text.
    Layout,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TicketError::Length(len) => {
                write!(f, "ticket has an invalid length of {len} characters")
            }
            TicketError::Digit(i) => {
                write!(f, "ticket byte {i} is not a lower-case hexadecimal digit")
            }
            TicketError::Version(v) => write!(
                f,
                "ticket format version {v} is not supported; expected {VERSION}"
            ),
            TicketError::Name => write!(
                f,
                "service or owner name of the ticket is empty, longer than {MAX_NAME_BYTES} bytes \
                 or not UTF-8"
            ),
            TicketError::Layout => f.write_str("ticket fields are longer or shorter than its text"),
        }
    }
}

impl std::error::Error for TicketError {}

/// Result of checking a ticket at the process that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// This process may execute the work.
    Owned,
    /// Another entry VM owns the work: forward the request to it.
    OtherOwner(EntryVmId, Incarnation),
    /// An earlier process of this entry VM owned the work: the outcome is unknown.
    OtherIncarnation,
    /// This process owns the work but may no longer start it; only a record shows its outcome.
    Expired,
    /// The MAC does not match: no field of the ticket can be trusted.
    Forged,
    /// The ticket was issued for another service.
    WrongService,
}

/// Permission to execute one piece of binding work in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Key of the MAC.
    pub key: KeyId,
    pub service: ServiceId,
    /// Entry VM that may execute the work.
    pub owner: EntryVmId,
    /// Process of the entry VM.
    pub incarnation: Incarnation,
    /// Expiry in milliseconds of the owner's uptime.
    pub expires_ms: u64,
    /// Identity of the work.
    pub nonce: Nonce,
    /// MAC of all other fields.
    pub mac: Mac,
}

impl Ticket {
    /// Mints a ticket for `owner` that expires when the owner's uptime reaches `expires`. The nonce
    /// must come from a random source that is not shared with other processes.
    pub fn mint(
        ring: &KeyRing,
        service: &str,
        owner: &ProcessIdentity,
        expires: Duration,
        nonce: Nonce,
    ) -> Result<Ticket> {
        check_name(service.as_bytes())?;
        check_name(owner.vm.as_bytes())?;
        let mut ticket = Ticket {
            key: ring.signing_key_id(),
            service: service.into(),
            owner: owner.vm.clone(),
            incarnation: owner.incarnation,
            expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
            nonce,
            mac: [0; MAC_BYTES],
        };
        (ticket.key, ticket.mac) = ring.sign(KeyContext::Ticket, &ticket.signed_bytes());
        Ok(ticket)
    }

    /// Checks the ticket of a request for `service` received by `process` at uptime `now`.
    pub fn verify(
        &self,
        ring: &KeyRing,
        service: &str,
        process: &ProcessIdentity,
        now: Duration,
    ) -> TicketStatus {
        if !ring.verify(
            KeyContext::Ticket,
            self.key,
            &self.signed_bytes(),
            &self.mac,
        ) {
            TicketStatus::Forged
        } else if *self.service != *service {
            TicketStatus::WrongService
        } else if self.owner != process.vm {
            TicketStatus::OtherOwner(self.owner.clone(), self.incarnation)
        } else if self.incarnation != process.incarnation {
            TicketStatus::OtherIncarnation
        } else if now >= self.expires() {
            TicketStatus::Expired
        } else {
            TicketStatus::Owned
        }
    }

    /// Returns the expiry in the owner's uptime.
    pub fn expires(&self) -> Duration {
        Duration::from_millis(self.expires_ms)
    }

    /// Encodes the ticket as lower-case hexadecimal: safe in HTTP headers and canonical.
    pub fn encode(&self) -> String {
        let mut bytes = self.signed_bytes();
        bytes.extend_from_slice(&self.mac);
        let mut text = String::with_capacity(2 * bytes.len());
        for byte in bytes {
            write!(text, "{byte:02x}").expect("writing to a string does not fail");
        }
        text
    }

    /// Decodes the text form. Only [`Ticket::verify`] checks the MAC.
    pub fn decode(text: &str) -> Result<Ticket> {
        let bytes = decode_hex(text)?;
        let mut fields = FieldReader(&bytes);
        let [version] = fields.array()?;
        if version != VERSION {
            return Err(Report::new(TicketError::Version(version)));
        }
        let ticket = Ticket {
            key: KeyId::from_be_bytes(fields.array()?),
            incarnation: Incarnation::from_be_bytes(fields.array()?),
            expires_ms: u64::from_be_bytes(fields.array()?),
            nonce: fields.array()?,
            service: fields.name()?,
            owner: fields.name()?,
            mac: fields.array()?,
        };
        if fields.0.is_empty() {
            Ok(ticket)
        } else {
            Err(Report::new(TicketError::Layout))
        }
    }

    /// Returns all fields before the MAC. Names follow their lengths, so that different tickets
    /// never have the same bytes.
    fn signed_bytes(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(MAX_BYTES);
        buf.push(VERSION);
        buf.extend_from_slice(&self.key.to_be_bytes());
        buf.extend_from_slice(&self.incarnation.to_be_bytes());
        buf.extend_from_slice(&self.expires_ms.to_be_bytes());
        buf.extend_from_slice(&self.nonce);
        for name in [&self.service, &self.owner] {
            buf.push(name.len() as u8);
            buf.extend_from_slice(name.as_bytes());
        }
        buf
    }
}

fn check_name(name: &[u8]) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(Report::new(TicketError::Name));
    }
    Ok(())
}

fn decode_hex(text: &str) -> Result<Vec<u8>> {
    let len = text.len();
    if !len.is_multiple_of(2) || !(2 * MIN_BYTES..=MAX_TICKET_CHARS).contains(&len) {
        return Err(Report::new(TicketError::Length(len)));
    }
    let digit = |i: usize| match text.as_bytes()[i] {
        b @ b'0'..=b'9' => Ok(b - b'0'),
        b @ b'a'..=b'f' => Ok(b - b'a' + 10),
        _ => Err(Report::new(TicketError::Digit(i))),
    };
    (0..len)
        .step_by(2)
        .map(|i| Ok(digit(i)? << 4 | digit(i + 1)?))
        .collect()
}

/// Reader over the bytes that are not yet decoded.
struct FieldReader<'a>(&'a [u8]);

impl FieldReader<'_> {
    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let (head, rest) = self
            .0
            .split_first_chunk()
            .ok_or_else(|| Report::new(TicketError::Layout))?;
        self.0 = rest;
        Ok(*head)
    }

    fn name(&mut self) -> Result<Box<str>> {
        let [len] = self.array()?;
        let (name, rest) = self
            .0
            .split_at_checked(usize::from(len))
            .ok_or_else(|| Report::new(TicketError::Layout))?;
        check_name(name)?;
        self.0 = rest;
        let name = str::from_utf8(name).map_err(|_| Report::new(TicketError::Name))?;
        Ok(name.into())
    }
}
