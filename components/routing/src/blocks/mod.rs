//! Map from client addresses to failure domains by longest prefix match.
//!
//! Blocks are stored in sorted order in compressed chunks. Versions of a map share the chunks that
//! a difference does not change, so the previous version can stay in use while the next is built.

mod chunk;
mod difference;
mod prefix;
mod table;

use std::net::IpAddr;

use config::{ClientBlock, DomainId};
use error_stack::Report;

pub use difference::Difference;
pub use prefix::Prefix;

use chunk::Key;
use table::{Builder, Edit, Table};

/// Index of a failure domain in the list that belongs to the map.
pub type DomainIndex = u16;

pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Reason for rejecting a prefix, a list of blocks or a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is not an address followed by `/` and a prefix length.
    Syntax(Box<str>),
    /// The prefix length exceeds the bits of the address.
    Length(Box<str>),
    /// Address bits after the prefix length are set.
    HostBits(Box<str>),
    /// Blocks are not in ascending order.
    Unsorted(Prefix),
    /// A block occurs twice.
    Repeated(Prefix),
    /// A difference adds a block that the map already contains.
    AlreadyPresent(Prefix),
    /// A difference changes or removes a block that the map does not contain.
    NotPresent(Prefix),
    /// Client blocks belong to more than 65,535 failure domains.
    TooManyDomains,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Syntax(s) => write!(
                f,
                "client block {s:?} does not have the form ADDRESS/LENGTH"
            ),
            Error::Length(s) => write!(
                f,
                "prefix length of client block {s:?} exceeds the bits of its address"
            ),
            Error::HostBits(s) => write!(
                f,
                "client block {s:?} has address bits set after its prefix length"
            ),
            Error::Unsorted(p) => write!(f, "client block {p} is not in ascending order"),
            Error::Repeated(p) => write!(f, "client block {p} occurs twice"),
            Error::AlreadyPresent(p) => write!(f, "client block {p} to add is already present"),
            Error::NotPresent(p) => {
                write!(f, "client block {p} to change or remove is not present")
            }
            Error::TooManyDomains => {
                write!(f, "client blocks belong to more than 65535 failure domains")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Immutable map from client address to failure domain.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    v4: Table,
    v6: Table,
}

impl BlockMap {
    /// Builds a map from blocks in any order.
    pub fn new(mut blocks: Vec<(Prefix, DomainIndex)>) -> Result<Self> {
        blocks.sort_unstable_by_key(|(p, _)| *p);
        Self::from_sorted(blocks)
    }

    /// Builds a map from ascending blocks without collecting them first.
    pub fn from_sorted(blocks: impl IntoIterator<Item = (Prefix, DomainIndex)>) -> Result<Self> {
        let (mut v4, mut v6) = (Builder::default(), Builder::default());
        let mut previous_prefix: Option<Prefix> = None;
        for (p, domain) in blocks {
            match previous_prefix {
                Some(previous) if previous == p => return Err(Report::new(Error::Repeated(p))),
                Some(previous) if previous > p => return Err(Report::new(Error::Unsorted(p))),
                _ => previous_prefix = Some(p),
            }
            let builder = if p.is_v4() { &mut v4 } else { &mut v6 };
            builder.push((p.key(), domain));
        }
        Ok(BlockMap {
            v4: v4.finish(),
            v6: v6.finish(),
        })
    }

    /// Builds a map and its list of failure domains from the blocks of an inventory.
    pub fn from_inventory(blocks: &[ClientBlock]) -> Result<(Self, Vec<DomainId>)> {
        let mut domains: Vec<DomainId> = blocks.iter().map(|b| b.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        if domains.len() > usize::from(DomainIndex::MAX) {
            return Err(Report::new(Error::TooManyDomains));
        }
        let mut entries = Vec::with_capacity(blocks.len());
        for b in blocks {
            let domain = domains.partition_point(|d| *d < b.domain);
            entries.push((b.prefix.parse()?, domain as DomainIndex));
        }
        Ok((Self::new(entries)?, domains))
    }

    /// Returns the domain of the block with the longest prefix that contains `addr`.
    ///
    /// IPv4-mapped IPv6 addresses are looked up as IPv4 addresses.
    pub fn look_up(&self, addr: IpAddr) -> Option<DomainIndex> {
        match addr.to_canonical() {
            IpAddr::V4(a) => self.v4.look_up(u128::from(a.to_bits()) << 96),
            IpAddr::V6(a) => self.v6.look_up(a.to_bits()),
        }
    }

    /// Returns the map with a difference applied. Unchanged chunks are shared with this version.
    pub fn apply(&self, difference: &Difference) -> Result<Self> {
        let (v4, v6) = difference.edits()?;
        Ok(BlockMap {
            v4: apply_to(&self.v4, &v4, true)?,
            v6: apply_to(&self.v6, &v6, false)?,
        })
    }

    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over all blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (Prefix, DomainIndex)> + '_ {
        let v4 = self.v4.iter().map(|(k, d)| (Prefix::from_key(k, true), d));
        let v6 = self.v6.iter().map(|(k, d)| (Prefix::from_key(k, false), d));
        v4.chain(v6)
    }

    /// Returns the size on the heap in bytes. Shared chunks count in full.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }

    /// Returns the number of chunks that this map and `other` share.
    pub fn shared_chunks(&self, other: &Self) -> usize {
        self.v4.shared_chunks(&other.v4) + self.v6.shared_chunks(&other.v6)
    }
}

fn apply_to(table: &Table, edits: &[(Key, Edit)], v4: bool) -> Result<Table> {
    table.apply(edits).map_err(|(key, edit)| {
        let p = Prefix::from_key(key, v4);
        Report::new(match edit {
            Edit::Add(_) => Error::AlreadyPresent(p),
            Edit::Change(_) | Edit::Remove => Error::NotPresent(p),
        })
    })
}
