//! A backend server as one pool sees it.

use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::health::Health;
use crate::settings::PoolSettings;
use crate::warmth::Recent;
use crate::window::Window;

/// Time for which the speed reported by a server is used; it changes many times a second.
const SPEED_LIFETIME: Duration = Duration::from_millis(400);
/// Window of the admission limit of cold servers; longer than a second because requests that were
/// admitted at its edges can arrive closer together.
const COLD_WINDOW: Duration = Duration::from_millis(1100);

/// A server as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of this incarnation.
    pub id: ServerId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts new requests; false once it is leaving.
    pub ready: bool,
    /// Uptime of this process at which the server stops being cold.
    pub cold_until: Option<Duration>,
    /// Start of the incarnation, milliseconds since the Unix epoch.
    pub born: u64,
}

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// Time that work takes now, in percent of the usual.
    pub slowdown: Option<u32>,
}

/// A server with what this pool knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    /// Description by discovery.
    pub server: Server,
    /// Requests granted by this pool that have not ended.
    pub in_flight: u32,
    /// Outcomes of recent requests.
    pub health: Health,
    /// Whether the failure domain is evacuated.
    pub evacuated: bool,
    /// Requests admitted while cold.
    cold_sends: Window,
    /// Reported slowdown in percent, and when.
    speed: Option<(u32, Duration)>,
    /// Objects handled recently.
    pub recent: Recent,
    /// Hash of the name, for placing objects.
    hash: u64,
}

impl Tracked {
    pub fn new(server: Server) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(server.id.as_bytes()).as_bytes()[..8]);
        Tracked {
            hash: u64::from_le_bytes(first),
            server,
            in_flight: 0,
            health: Health::default(),
            evacuated: false,
            cold_sends: Window::new(COLD_WINDOW),
            speed: None,
            recent: Recent::default(),
        }
    }

    /// Takes over a newer description; a new incarnation starts without history.
    pub fn update(&mut self, server: Server, now: Duration, cfg: &PoolSettings) {
        let restarted = server.born != self.server.born;
        let cold_until = match (server.cold_until, self.server.cold_until) {
            (new, Some(old)) if !restarted && old > now => Some(new.map_or(old, |n| n.max(old))),
            (new, _) => new,
        };
        self.server = server;
        self.server.cold_until = cold_until;
        if restarted {
            self.health = Health::default();
            self.recent.clear();
            self.become_cold(now, cfg);
        }
    }

    /// Counts the server as cold from now on.
    pub fn become_cold(&mut self, now: Duration, cfg: &PoolSettings) {
        let until = now + cfg.cold_start;
        self.server.cold_until = Some(self.server.cold_until.map_or(until, |u| u.max(until)));
        self.recent.clear();
    }

    pub fn cold(&self, now: Duration) -> bool {
        self.server.cold_until.is_some_and(|until| now < until)
    }

    /// Tells whether the server would get requests if it had a free slot.
    pub fn in_use(&self, now: Duration) -> bool {
        self.server.ready && !self.evacuated && self.health.admits(now, 0)
    }

    /// Tells whether the server may get a request now.
    pub fn usable(&mut self, now: Duration, cfg: &PoolSettings) -> bool {
        self.server.ready
            && !self.evacuated
            && self.in_flight < self.server.slots
            && self.health.admits(now, self.in_flight)
            && (!self.cold(now) || (self.cold_sends.count(now) as f64) < cfg.cold_per_s)
    }

    /// Counts a request that is sent to the server; returns the depth of its object before.
    pub fn admit(&mut self, now: Duration, object: Option<u64>) -> Option<usize> {
        self.in_flight += 1;
        if self.cold(now) {
            self.cold_sends.record(now);
        }
        object.and_then(|o| self.recent.touch(o, now))
    }

    /// Place of the server in the order of an object, from 0 for the first to 1. All entry VMs
    /// see the same order, so that an object stays at few servers.
    pub fn order(&self, object: Option<u64>) -> f64 {
        object.map_or(0.5, |o| {
            let mixed = (o ^ self.hash).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
            (mixed >> 11) as f64 / (1u64 << 53) as f64
        })
    }

    /// Records the load that the server reported.
    pub fn report(&mut self, load: Load, now: Duration) {
        if let Some(percent) = load.slowdown {
            self.speed = Some((percent, now));
        }
    }

    /// Estimates the service time relative to that of other servers.
    pub fn slowness(&self, now: Duration, cfg: &PoolSettings) -> f64 {
        let mut slowness = self.health.relative_latency();
        if let Some((percent, at)) = self.speed
            && at + SPEED_LIFETIME > now
        {
            slowness *= f64::from(percent.clamp(50, 1000)) / 100.0;
        }
        if self.cold(now) {
            slowness *= cfg.cold_factor;
        }
        slowness
    }
}
