//! The object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::faults::ObjectFault;

/// All objects.
pub(super) struct Objects {
    bodies: BTreeMap<Box<str>, Arc<[u8]>>,
    bytes: u64,
    max_bytes: u64,
}

impl Objects {
    /// An empty store for at most `max_bytes` bytes.
    pub fn new(max_bytes: u64) -> Objects {
        Objects {
            bodies: BTreeMap::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Stores an object; `false` if there is no space.
    pub fn put(&mut self, name: &str, body: &[u8]) -> bool {
        let old = self.bodies.get(name).map_or(0, |body| body.len() as u64);
        let bytes = self.bytes - old + body.len() as u64;
        if bytes > self.max_bytes {
            return false;
        }
        self.bytes = bytes;
        self.bodies.insert(name.into(), body.into());
        true
    }

    /// Reads an object as the fault in force returns it.
    pub fn get(&self, name: &str, fault: ObjectFault) -> Option<Vec<u8>> {
        let mut body = self.bodies.get(name)?.to_vec();
        let middle = body.len() / 2;
        match fault {
            ObjectFault::None => {}
            ObjectFault::Corrupt => body.iter_mut().skip(middle).take(1).for_each(|b| *b ^= 1),
            ObjectFault::Truncate => body.truncate(middle),
        }
        Some(body)
    }
}
