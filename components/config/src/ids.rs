//! Identifiers shared by all crates.

pub type RegionId = Box<str>;
pub type DomainId = Box<str>;
pub type EntryVmId = Box<str>;
pub type ServerId = Box<str>;
pub type ServiceId = Box<str>;
/// Name of the house that a caller acts for.
pub type HouseId = Box<str>;
/// Number of an accepted configuration; it increases with each one.
pub type Generation = u64;
/// Random number drawn at each process start; tells apart runs of the same entry VM.
pub type Incarnation = u64;
