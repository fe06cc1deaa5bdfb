//! Identity of binding work and the digest of its request.

use std::time::Duration;

use crate::ticket::Nonce;

/// Digest of a request's method, path and body.
pub type RequestDigest = [u8; blake3::OUT_LEN];

const KEY_CONTEXT: &str = "rosemaryglade 2026-12 caller key";
const REQUEST_CONTEXT: &str = "rosemaryglade 2026-12 binding request";

/// Identity of one piece of binding work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkId {
    /// Nonce of the ticket.
    Ticket(Nonce),
    /// Hash of service, house and caller key.
    Key([u8; blake3::OUT_LEN]),
}

impl WorkId {
    /// Derives the identity of work with a caller-supplied key. The house is part of it, because
    /// two houses that number their orders alike must not receive each other's answers.
    pub fn from_key(service: &str, house: &str, key: &str) -> WorkId {
        let parts = [service.as_bytes(), house.as_bytes(), key.as_bytes()];
        WorkId::Key(hash_parts(KEY_CONTEXT, &parts))
    }
}

/// Computes the digest that distinguishes a retry from another request with the same ticket or
/// key.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    hash_parts(REQUEST_CONTEXT, &[method.as_bytes(), path.as_bytes(), body])
}

/// Hashes each part after its length, so that moving bytes between parts changes the hash.
fn hash_parts(context: &str, parts: &[&[u8]]) -> [u8; blake3::OUT_LEN] {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// One attempt of a caller to execute binding work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    pub id: WorkId,
    pub digest: RequestDigest,
    /// Uptime at which the ticket expires, or until which work with a caller key may start.
    pub expires: Duration,
    /// Uptime at which the caller's deadline passes.
    pub deadline: Duration,
    /// The table already names this process as the holder of the key. If no record exists, the
    /// work may have run and its record been removed, so its outcome is unknown.
    pub claimed: bool,
}
