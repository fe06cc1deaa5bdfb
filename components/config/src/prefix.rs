//! Client address prefixes in CIDR notation.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

/// A block of addresses that share the first `bits` bits of `address`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Prefix {
    /// First address of the block.
    pub address: IpAddr,
    /// Length of the prefix in bits.
    pub bits: u8,
}

/// Why a string is not a valid prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixError {
    /// Not of the form `address/bits`.
    Form,
    /// More bits than the address has.
    Bits,
    /// Host bits are set; contains the prefix with these bits cleared.
    HostBits(Prefix),
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Prefix, PrefixError> {
        let (address, bits) = text.split_once('/').ok_or(PrefixError::Form)?;
        let address: IpAddr = address.parse().map_err(|_| PrefixError::Form)?;
        if bits.is_empty() || bits.len() > 3 || !bits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(PrefixError::Form);
        }
        let bits: u16 = bits.parse().map_err(|_| PrefixError::Form)?;
        let bits = u8::try_from(bits).map_err(|_| PrefixError::Bits)?;
        if bits > if address.is_ipv4() { 32 } else { 128 } {
            return Err(PrefixError::Bits);
        }
        let prefix = Prefix {
            address: network_address(address, bits),
            bits,
        };
        if prefix.address == address {
            Ok(prefix)
        } else {
            Err(PrefixError::HostBits(prefix))
        }
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.bits)
    }
}

/// Clears the host bits.
fn network_address(address: IpAddr, bits: u8) -> IpAddr {
    match address {
        IpAddr::V4(v4) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0);
            IpAddr::V4((v4.to_bits() & mask).into())
        }
        IpAddr::V6(v6) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(bits)).unwrap_or(0);
            IpAddr::V6((v6.to_bits() & mask).into())
        }
    }
}
