//! Record of request ids.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of requests on a connection to a server or entry VM. Forgetting older ids instead
/// would let an old refusal be taken for an answer.
pub const MAX_SENT_IDS: usize = 256;

/// Ids of the requests that were sent on a connection, as 64-bit hashes. Two ids with the same hash
/// count as one.
#[derive(Debug, Default)]
pub struct SentIds {
    hashes: Vec<u64>,
}

impl SentIds {
    pub fn insert(&mut self, id: &str) {
        self.hashes.push(hash(id));
    }

    pub fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash(id))
    }

    /// Returns the number of ids inserted, repeated ones included.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
