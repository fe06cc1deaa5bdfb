//! Choice of failure domain, entry VM and backend server; client block map; shift limiter.

pub mod server;
