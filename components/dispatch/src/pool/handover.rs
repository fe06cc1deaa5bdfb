//! What a keeper tells the next one: which objects the servers hold.

use std::time::Duration;

use config::ServerId;
use serde::{Deserialize, Serialize};

use super::Pool;
use crate::warmth::ServiceTimes;

/// Servers in one message, so that it fits into a datagram with the objects of each.
const SERVERS_AT_ONCE: usize = 8;
/// Objects of each server that are told; above the number that servers keep.
const OBJECTS: usize = 64;

/// Objects that some servers of a pool hold, and how long their requests take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Service times that the former keeper has learned.
    times: ServiceTimes,
    /// Objects of each server, the latest first.
    objects: Vec<(ServerId, Vec<u64>)>,
}

impl Pool {
    /// Describes where objects are, in parts.
    pub fn placements(&self) -> Vec<Placement> {
        let objects: Vec<(ServerId, Vec<u64>)> = self
            .servers
            .iter()
            .map(|(id, s)| (id.clone(), s.recent.latest(OBJECTS)))
            .filter(|(_, objects)| !objects.is_empty())
            .collect();
        objects
            .chunks(SERVERS_AT_ONCE)
            .map(|some| Placement {
                times: self.warmth.times(),
                objects: some.to_vec(),
            })
            .collect()
    }

    /// Takes over what a former keeper knew.
    pub fn adopt(&mut self, placement: Placement, now: Duration) {
        self.warmth.adopt(placement.times);
        for (id, objects) in placement.objects {
            if let Some(server) = self.servers.get_mut(&id) {
                server.recent.adopt(&objects, now);
            }
        }
    }
}
