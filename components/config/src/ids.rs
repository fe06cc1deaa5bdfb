//! Identifiers shared by all crates.

/// Name of a region.
pub type RegionId = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of an entry VM.
pub type EntryVmId = Box<str>;
/// Name of a backend server.
pub type ServerId = Box<str>;
/// Name of a service.
pub type ServiceId = Box<str>;
/// Name of the house that a caller acts for.
pub type HouseId = Box<str>;
/// Number of an accepted configuration; it only grows.
pub type Generation = u64;
/// Random number drawn at each process start.
pub type Incarnation = u64;
