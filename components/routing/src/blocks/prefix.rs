//! Address prefixes and their wire form.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;

use error_stack::Report;
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize, Serializer};

use super::chunk::{Key, prefix_mask};
use super::{Error, Result};

/// First byte of the wire form of an IPv6 prefix of length 0; IPv4 uses 0 to 32.
const V6_BASE: u8 = 33;

/// Block of addresses with a common prefix. IPv4 blocks sort before IPv6 blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    v6: bool,
    bits: u128,
    length: u8,
}

impl Prefix {
    /// Creates the prefix of `length` bits of `addr`. All further bits must be zero.
    ///
    /// A prefix of at least 96 bits of an IPv4-mapped IPv6 address becomes an IPv4 prefix.
    pub fn new(addr: IpAddr, length: u8) -> Result<Self> {
        let text = || format!("{addr}/{length}").into_boxed_str();
        let (addr, length) = match (addr, addr.to_canonical()) {
            (IpAddr::V6(_), v4 @ IpAddr::V4(_)) if (96..=128).contains(&length) => {
                (v4, length - 96)
            }
            _ => (addr, length),
        };
        let (v6, bits, max_length) = match addr {
            IpAddr::V4(a) => (false, u128::from(a.to_bits()) << 96, 32),
            IpAddr::V6(a) => (true, a.to_bits(), 128),
        };
        if length > max_length {
            return Err(Report::new(Error::Length(text())));
        }
        if bits & !prefix_mask(length) != 0 {
            return Err(Report::new(Error::HostBits(text())));
        }
        Ok(Prefix { v6, bits, length })
    }

    /// Returns the first address of the block.
    pub fn address(&self) -> IpAddr {
        if self.v6 {
            IpAddr::V6(Ipv6Addr::from_bits(self.bits))
        } else {
            IpAddr::V4(Ipv4Addr::from_bits((self.bits >> 96) as u32))
        }
    }

    /// Returns the prefix length in bits.
    pub fn length(&self) -> u8 {
        self.length
    }

    pub fn is_v4(&self) -> bool {
        !self.v6
    }

    /// Returns whether the block contains `addr`. IPv4-mapped IPv6 addresses count as IPv4.
    pub fn contains(&self, addr: IpAddr) -> bool {
        let (v6, bits) = match addr.to_canonical() {
            IpAddr::V4(a) => (false, u128::from(a.to_bits()) << 96),
            IpAddr::V6(a) => (true, a.to_bits()),
        };
        v6 == self.v6 && bits & prefix_mask(self.length) == self.bits
    }

    pub(super) fn key(&self) -> Key {
        Key {
            bits: self.bits,
            length: self.length,
        }
    }

    pub(super) fn from_key(key: Key, v4: bool) -> Self {
        Prefix {
            v6: !v4,
            bits: key.bits,
            length: key.length,
        }
    }

    fn from_wire(wire: &[u8]) -> Option<Self> {
        let (&first, rest) = wire.split_first()?;
        let (v6, length) = match first.checked_sub(V6_BASE) {
            None => (false, first),
            Some(length) => (true, length),
        };
        if length > 128 || rest.len() != usize::from(length.div_ceil(8)) {
            return None;
        }
        let mut bytes = [0; 16];
        bytes[..rest.len()].copy_from_slice(rest);
        let bits = u128::from_be_bytes(bytes);
        (bits & !prefix_mask(length) == 0).then_some(Prefix { v6, bits, length })
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address(), self.length)
    }
}

impl FromStr for Prefix {
    type Err = Report<Error>;

    fn from_str(s: &str) -> Result<Self> {
        let syntax = || Report::new(Error::Syntax(s.into()));
        let (addr, length) = s.split_once('/').ok_or_else(syntax)?;
        let addr = addr.parse().map_err(|_| syntax())?;
        if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(syntax());
        }
        let length = length
            .parse()
            .map_err(|_| Report::new(Error::Length(s.into())))?;
        Prefix::new(addr, length)
    }
}

/// The wire form is one byte for address family and prefix length, followed by the address bytes
/// that the prefix covers.
impl Serialize for Prefix {
    fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        let mut buf = [0; 17];
        buf[0] = self.length + if self.v6 { V6_BASE } else { 0 };
        buf[1..].copy_from_slice(&self.bits.to_be_bytes());
        s.serialize_bytes(&buf[..=usize::from(self.length.div_ceil(8))])
    }
}

impl<'de> Deserialize<'de> for Prefix {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        d.deserialize_bytes(WireVisitor)
    }
}

struct WireVisitor;

impl<'de> Visitor<'de> for WireVisitor {
    type Value = Prefix;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of an address prefix")
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> std::result::Result<Prefix, E> {
        Prefix::from_wire(v).ok_or_else(|| E::custom("malformed address prefix"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> std::result::Result<Prefix, A::Error> {
        let mut buf = smallvec::SmallVec::<[u8; 17]>::new();
        while let Some(b) = seq.next_element()? {
            if buf.len() == 17 {
                return Err(de::Error::custom("malformed address prefix"));
            }
            buf.push(b);
        }
        self.visit_bytes(&buf)
    }
}
