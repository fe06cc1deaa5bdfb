//! Tickets: the identity of one piece of binding work and the process that may execute it.

use std::fmt::{self, Write as _};
use std::time::Duration;

use config::{EntryVmId, Incarnation, ServiceId};
use error_stack::Report;

use crate::claims::Identity;
use crate::keys::{Context, KeyId, KeyRing, Mac};

/// Random number that identifies the work.
pub type Nonce = [u8; 16];
/// Result of minting or decoding a ticket.
pub type Result<T, E = Report<TicketError>> = std::result::Result<T, E>;

const VERSION: u8 = 1;
const MAX_NAME: usize = 64;
/// Version, key id, incarnation, expiry, nonce, two name lengths.
const FIXED: usize = 1 + 4 + 8 + 8 + 16 + 2;
const MAC_LEN: usize = blake3::OUT_LEN;
const MIN_BYTES: usize = FIXED + 2 + MAC_LEN;
const MAX_BYTES: usize = FIXED + 2 * MAX_NAME + MAC_LEN;
/// Longest text form of a ticket, in characters.
pub const MAX_TICKET_TEXT: usize = 2 * MAX_BYTES;

/// Why a ticket cannot be minted or its text cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The text is too short, too long or of odd length.
    Length(usize),
    /// The byte at this position is not a lower-case hexadecimal digit.
    Digit(usize),
    /// The format version is unknown.
    Version(u8),
    /// A service or owner name is empty, longer than 64 bytes or not UTF-8.
    Name,
    /// The fields do not fill the text exactly.
    Layout,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TicketError::Length(len) => write!(f, "ticket has an invalid length of {len}"),
            TicketError::Digit(i) => write!(f, "ticket has an invalid character at {i}"),
            TicketError::Version(v) => write!(f, "ticket has the unknown format version {v}"),
            TicketError::Name => write!(
                f,
                "ticket names a service or owner that is empty, longer than {MAX_NAME} bytes or \
                 not UTF-8"
            ),
            TicketError::Layout => f.write_str("ticket fields do not fill its length"),
        }
    }
}

impl std::error::Error for TicketError {}

/// What a ticket means to the process that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This process may execute the work.
    Mine,
    /// Another entry VM owns the work: forward the request to it.
    OtherOwner(EntryVmId, Incarnation),
    /// An earlier process of this entry VM owned the work: outcome unknown.
    OtherIncarnation,
    /// This process owns the work, but only a record can tell its outcome.
    Expired,
    /// The keyed hash does not match: nothing in the ticket can be trusted.
    Forged,
    /// The ticket is for another service than the request.
    WrongService,
}

/// Permission to execute one piece of binding work at one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Key of the hash.
    pub key: KeyId,
    /// Service that the work is for.
    pub service: ServiceId,
    /// Entry VM that may execute the work.
    pub owner: EntryVmId,
    /// Process of that entry VM.
    pub incarnation: Incarnation,
    /// Expiry in the owner's uptime, milliseconds since its process start.
    pub expires_ms: u64,
    /// Identity of the work.
    pub nonce: Nonce,
    /// Keyed hash of all other fields.
    pub mac: Mac,
}

impl Ticket {
    /// Issues a ticket for `owner`, which expires when the owner's uptime reaches `expires`. The
    /// nonce must come from a random source that other processes do not share.
    pub fn mint(
        ring: &KeyRing,
        service: &str,
        owner: &Identity,
        expires: Duration,
        nonce: Nonce,
    ) -> Result<Ticket> {
        check_name(service.as_bytes())?;
        check_name(owner.vm.as_bytes())?;
        let mut ticket = Ticket {
            key: ring.signing_key(),
            service: service.into(),
            owner: owner.vm.clone(),
            incarnation: owner.incarnation,
            expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
            nonce,
            mac: [0; MAC_LEN],
        };
        (ticket.key, ticket.mac) = ring.sign(Context::Ticket, &ticket.signed_bytes());
        Ok(ticket)
    }

    /// Judges the ticket of a request for `service` at process `me` with uptime `now`.
    pub fn verify(&self, ring: &KeyRing, service: &str, me: &Identity, now: Duration) -> Verdict {
        if !ring.verify(Context::Ticket, self.key, &self.signed_bytes(), &self.mac) {
            Verdict::Forged
        } else if *self.service != *service {
            Verdict::WrongService
        } else if self.owner != me.vm {
            Verdict::OtherOwner(self.owner.clone(), self.incarnation)
        } else if self.incarnation != me.incarnation {
            Verdict::OtherIncarnation
        } else if now >= self.expires() {
            Verdict::Expired
        } else {
            Verdict::Mine
        }
    }

    /// Expiry in the owner's uptime.
    pub fn expires(&self) -> Duration {
        Duration::from_millis(self.expires_ms)
    }

    /// Text form: lower-case hexadecimal, which is safe in an HTTP header and has one spelling.
    pub fn encode(&self) -> String {
        let mut bytes = self.signed_bytes();
        bytes.extend_from_slice(&self.mac);
        let mut text = String::with_capacity(2 * bytes.len());
        for byte in bytes {
            write!(text, "{byte:02x}").expect("writing to a string does not fail");
        }
        text
    }

    /// Reads the text form. The hash is checked by [`Ticket::verify`] only.
    pub fn decode(text: &str) -> Result<Ticket> {
        let bytes = decode_hex(text)?;
        let mut fields = Fields(&bytes);
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

    /// All fields before the hash. Lengths precede the names, so that no two tickets share bytes.
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
    if name.is_empty() || name.len() > MAX_NAME {
        return Err(Report::new(TicketError::Name));
    }
    Ok(())
}

fn decode_hex(text: &str) -> Result<Vec<u8>> {
    let len = text.len();
    if !len.is_multiple_of(2) || !(2 * MIN_BYTES..=MAX_TICKET_TEXT).contains(&len) {
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

/// Bytes that have not been read yet.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
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
