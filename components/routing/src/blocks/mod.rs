//! Map from client address to site by longest prefix.
//!
//! Blocks are kept in sorted order in compressed chunks. Versions of a map share the chunks that
//! a difference did not touch, so the previous version can stay in use while the next is built.

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

/// Index of a site in the list of sites that the map's owner keeps.
pub type Site = u16;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a prefix, a list of blocks or a difference was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Not an address followed by `/` and a length.
    Syntax(Box<str>),
    /// The length is longer than the address.
    Length(Box<str>),
    /// Address bits after the prefix length are set.
    HostBits(Box<str>),
    /// Blocks are not in ascending order.
    Unsorted(Prefix),
    /// The block occurs twice.
    Repeated(Prefix),
    /// A difference adds a block that the map already holds.
    AlreadyPresent(Prefix),
    /// A difference changes or removes a block that the map does not hold.
    NotPresent(Prefix),
    /// More than 65,535 sites.
    TooManySites,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Syntax(s) => write!(f, "client block {s:?} is not ADDRESS/LENGTH"),
            Error::Length(s) => write!(f, "length of client block {s:?} exceeds its address"),
            Error::HostBits(s) => write!(f, "client block {s:?} has bits set after its length"),
            Error::Unsorted(p) => write!(f, "client block {p} is out of order"),
            Error::Repeated(p) => write!(f, "client block {p} occurs twice"),
            Error::AlreadyPresent(p) => write!(f, "client block {p} to add is already present"),
            Error::NotPresent(p) => write!(f, "client block {p} to change is not present"),
            Error::TooManySites => write!(f, "client blocks name more than 65535 sites"),
        }
    }
}

impl std::error::Error for Error {}

/// Immutable map from client address to site.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    v4: Table,
    v6: Table,
}

impl BlockMap {
    /// Builds a map from blocks in any order.
    pub fn new(mut blocks: Vec<(Prefix, Site)>) -> Result<Self> {
        blocks.sort_unstable_by_key(|(p, _)| *p);
        Self::from_sorted(blocks)
    }

    /// Builds a map from ascending blocks without holding them all at once.
    pub fn from_sorted(blocks: impl IntoIterator<Item = (Prefix, Site)>) -> Result<Self> {
        let (mut v4, mut v6) = (Builder::default(), Builder::default());
        let mut last: Option<Prefix> = None;
        for (p, site) in blocks {
            match last {
                Some(l) if l == p => return Err(Report::new(Error::Repeated(p))),
                Some(l) if l > p => return Err(Report::new(Error::Unsorted(p))),
                _ => last = Some(p),
            }
            let b = if p.is_v4() { &mut v4 } else { &mut v6 };
            b.push((p.key(), site));
        }
        Ok(BlockMap {
            v4: v4.finish(),
            v6: v6.finish(),
        })
    }

    /// Builds a map and its list of sites from the blocks of an inventory.
    pub fn from_inventory(blocks: &[ClientBlock]) -> Result<(Self, Vec<DomainId>)> {
        let mut sites: Vec<DomainId> = blocks.iter().map(|b| b.domain.clone()).collect();
        sites.sort_unstable();
        sites.dedup();
        if sites.len() > usize::from(Site::MAX) {
            return Err(Report::new(Error::TooManySites));
        }
        let mut pairs = Vec::with_capacity(blocks.len());
        for b in blocks {
            let site = sites.partition_point(|s| *s < b.domain);
            pairs.push((b.prefix.parse()?, site as Site));
        }
        Ok((Self::new(pairs)?, sites))
    }

    /// Site of the longest block that contains `addr`.
    ///
    /// IPv4-mapped IPv6 addresses are looked up as IPv4 addresses.
    pub fn look_up(&self, addr: IpAddr) -> Option<Site> {
        match addr.to_canonical() {
            IpAddr::V4(a) => self.v4.look_up(u128::from(a.to_bits()) << 96),
            IpAddr::V6(a) => self.v6.look_up(a.to_bits()),
        }
    }

    /// Next version of the map with a difference applied; chunks without a change are shared.
    pub fn apply(&self, difference: &Difference) -> Result<Self> {
        let (v4, v6) = difference.edits()?;
        Ok(BlockMap {
            v4: apply_to(&self.v4, &v4, true)?,
            v6: apply_to(&self.v6, &v6, false)?,
        })
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether the map has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (Prefix, Site)> + '_ {
        let v4 = self.v4.iter().map(|(k, s)| (Prefix::from_key(k, true), s));
        let v6 = self.v6.iter().map(|(k, s)| (Prefix::from_key(k, false), s));
        v4.chain(v6)
    }

    /// Bytes held on the heap, counting shared chunks in full.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }

    /// Number of chunks of this map that `other` shares.
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
