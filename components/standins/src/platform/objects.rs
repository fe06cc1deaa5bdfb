//! Object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::faults::ObjectFault;

pub(super) struct ObjectStore {
    bodies: BTreeMap<Box<str>, Arc<[u8]>>,
    total_bytes: u64,
    max_bytes: u64,
}

impl ObjectStore {
    pub fn new(max_bytes: u64) -> ObjectStore {
        ObjectStore {
            bodies: BTreeMap::new(),
            total_bytes: 0,
            max_bytes,
        }
    }

    /// Stores an object; returns `false` if the store would exceed `max_bytes`.
    pub fn put(&mut self, name: &str, body: &[u8]) -> bool {
        let old_bytes = self.bodies.get(name).map_or(0, |body| body.len() as u64);
        let total_bytes = self.total_bytes - old_bytes + body.len() as u64;
        if total_bytes > self.max_bytes {
            return false;
        }
        self.total_bytes = total_bytes;
        self.bodies.insert(name.into(), body.into());
        true
    }

    /// Reads an object and applies the fault.
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
