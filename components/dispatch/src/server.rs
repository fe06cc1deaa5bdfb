//! State of a backend server within one pool.

use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::cache_model::RecentObjects;
use crate::health::Health;
use crate::settings::PoolSettings;
use crate::window::SlidingWindow;

/// Time for which a reported slowdown is used; it changes many times a second.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(400);
/// Window of the rate limit for cold servers. Longer than a second because requests that were
/// admitted at its edges can arrive closer together.
const COLD_RATE_WINDOW: Duration = Duration::from_millis(1100);

/// Description of a server from service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of this incarnation of the server.
    pub id: ServerId,
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    pub domain: DomainId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests; false once it is leaving.
    pub ready: bool,
    /// Uptime of this entry VM at which the server stops being cold.
    pub cold_until: Option<Duration>,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Load that a server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    pub slots: u32,
    /// Current service time in percent of the normal one.
    pub slowdown: Option<u32>,
}

/// A server and the state that the pool keeps for it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedServer {
    /// Description from service discovery.
    pub server: Server,
    /// Requests granted by this pool that have not ended.
    pub in_flight: u32,
    pub health: Health,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Recent requests admitted while it was cold.
    cold_admissions: SlidingWindow,
    /// Last reported slowdown in percent, and when it was reported.
    reported_slowdown: Option<(u32, Duration)>,
    /// Objects that it handled recently.
    pub recent_objects: RecentObjects,
    /// Hash of the name, for rendezvous hashing.
    hash: u64,
}

impl TrackedServer {
    pub fn new(server: Server) -> Self {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&blake3::hash(server.id.as_bytes()).as_bytes()[..8]);
        TrackedServer {
            hash: u64::from_le_bytes(bytes),
            server,
            in_flight: 0,
            health: Health::default(),
            evacuated: false,
            cold_admissions: SlidingWindow::new(COLD_RATE_WINDOW),
            reported_slowdown: None,
            recent_objects: RecentObjects::default(),
        }
    }

    /// Applies a newer description. A new incarnation loses its history and counts as cold.
    pub fn update(&mut self, server: Server, now: Duration, cfg: &PoolSettings) {
        let restarted = server.started_at_ms != self.server.started_at_ms;
        let cold_until = match (server.cold_until, self.server.cold_until) {
            (new, Some(old)) if !restarted && old > now => Some(new.map_or(old, |n| n.max(old))),
            (new, _) => new,
        };
        self.server = server;
        self.server.cold_until = cold_until;
        if restarted {
            self.health = Health::default();
            self.recent_objects.clear();
            self.mark_cold(now, cfg);
        }
    }

    /// Marks the server as cold for the configured time from now.
    pub fn mark_cold(&mut self, now: Duration, cfg: &PoolSettings) {
        let until = now + cfg.cold_start;
        self.server.cold_until = Some(self.server.cold_until.map_or(until, |u| u.max(until)));
        self.recent_objects.clear();
    }

    pub fn is_cold(&self, now: Duration) -> bool {
        self.server.cold_until.is_some_and(|until| now < until)
    }

    /// Whether the server would get requests if it had a free slot.
    pub fn is_eligible(&self, now: Duration) -> bool {
        self.server.ready && !self.evacuated && self.health.admits(now, 0)
    }

    /// Whether the server may get a request now.
    pub fn can_admit(&mut self, now: Duration, cfg: &PoolSettings) -> bool {
        self.server.ready
            && !self.evacuated
            && self.in_flight < self.server.slots
            && self.health.admits(now, self.in_flight)
            && (!self.is_cold(now) || (self.cold_admissions.count(now) as f64) < cfg.cold_per_s)
    }

    /// Counts a request that is sent to the server; returns the previous reuse distance of its
    /// object.
    pub fn admit(&mut self, now: Duration, object: Option<u64>) -> Option<usize> {
        self.in_flight += 1;
        if self.is_cold(now) {
            self.cold_admissions.record(now);
        }
        object.and_then(|o| self.recent_objects.touch(o, now))
    }

    /// Rendezvous hash of the server and an object, from 0 to 1; the lowest is preferred. It is the
    /// same on all entry VMs, so that the requests for an object concentrate on few servers.
    pub fn rendezvous_hash(&self, object: Option<u64>) -> f64 {
        object.map_or(0.5, |o| {
            let hash = (o ^ self.hash).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
            (hash >> 11) as f64 / (1u64 << 53) as f64
        })
    }

    pub fn record_load(&mut self, load: LoadReport, now: Duration) {
        if let Some(percent) = load.slowdown {
            self.reported_slowdown = Some((percent, now));
        }
    }

    /// Estimates the service time relative to that of other servers.
    pub fn relative_service_time(&self, now: Duration, cfg: &PoolSettings) -> f64 {
        let mut relative_service_time = self.health.relative_latency();
        if let Some((percent, at)) = self.reported_slowdown
            && at + SLOWDOWN_LIFETIME > now
        {
            relative_service_time *= f64::from(percent.clamp(50, 1000)) / 100.0;
        }
        if self.is_cold(now) {
            relative_service_time *= cfg.cold_factor;
        }
        relative_service_time
    }
}
