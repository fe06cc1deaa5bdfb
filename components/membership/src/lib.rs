//! Heartbeats, incarnations and digests of other failure domains.
