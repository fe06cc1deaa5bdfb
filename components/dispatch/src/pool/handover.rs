//! Handover of the cache state to the next pool owner.

use std::time::Duration;

use config::ServerId;
use serde::{Deserialize, Serialize};

use super::Pool;
use crate::cache_model::ServiceTimes;

/// Servers per message, so that it fits into a datagram with their objects.
const SERVERS_PER_MESSAGE: usize = 8;
/// Objects reported per server; above the number that servers keep.
const MAX_OBJECTS_PER_SERVER: usize = 64;

/// Cached objects of some servers of a pool, and the learned service times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    #[serde(rename = "times")]
    service_times: ServiceTimes,
    /// Objects of each server, most recently used first.
    objects: Vec<(ServerId, Vec<u64>)>,
}

impl Pool {
    /// Returns the cache state of all servers, split into messages.
    pub fn export_placements(&self) -> Vec<Placement> {
        let objects: Vec<(ServerId, Vec<u64>)> = self
            .servers
            .iter()
            .map(|(id, s)| (id.clone(), s.recent_objects.latest(MAX_OBJECTS_PER_SERVER)))
            .filter(|(_, objects)| !objects.is_empty())
            .collect();
        objects
            .chunks(SERVERS_PER_MESSAGE)
            .map(|chunk| Placement {
                service_times: self.cache_model.service_times(),
                objects: chunk.to_vec(),
            })
            .collect()
    }

    /// Imports the state of a previous owner.
    pub fn import_placement(&mut self, placement: Placement, now: Duration) {
        self.cache_model.import(placement.service_times);
        for (id, objects) in placement.objects {
            if let Some(server) = self.servers.get_mut(&id) {
                server.recent_objects.import(&objects, now);
            }
        }
    }
}
