//! A backend server as one pool sees it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use config::{DomainId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::health::Health;
use crate::settings::PoolSettings;
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
    /// Objects handled recently, oldest first.
    warm: VecDeque<u64>,
}

impl Tracked {
    pub fn new(server: Server) -> Self {
        Tracked {
            server,
            in_flight: 0,
            health: Health::default(),
            evacuated: false,
            cold_sends: Window::new(COLD_WINDOW),
            speed: None,
            warm: VecDeque::new(),
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
            self.warm.clear();
            self.become_cold(now, cfg);
        }
    }

    /// Counts the server as cold from now on.
    pub fn become_cold(&mut self, now: Duration, cfg: &PoolSettings) {
        let until = now + cfg.cold_start;
        self.server.cold_until = Some(self.server.cold_until.map_or(until, |u| u.max(until)));
        self.warm.clear();
    }

    pub fn cold(&self, now: Duration) -> bool {
        self.server.cold_until.is_some_and(|until| now < until)
    }

    /// Tells whether the server may get a request now.
    pub fn usable(&mut self, now: Duration, cfg: &PoolSettings) -> bool {
        self.server.ready
            && !self.evacuated
            && self.in_flight < self.server.slots
            && self.health.admits(now, self.in_flight)
            && (!self.cold(now) || (self.cold_sends.count(now) as f64) < cfg.cold_per_s)
    }

    /// Counts a request that is sent to the server.
    pub fn admit(&mut self, now: Duration, object: Option<u64>, cfg: &PoolSettings) {
        self.in_flight += 1;
        if self.cold(now) {
            self.cold_sends.record(now);
        }
        if let Some(object) = object {
            self.warm.retain(|&o| o != object);
            self.warm.push_back(object);
            while self.warm.len() > cfg.warm_objects {
                self.warm.pop_front();
            }
        }
    }

    /// Records the load that the server reported.
    pub fn report(&mut self, load: Load, now: Duration) {
        if let Some(percent) = load.slowdown {
            self.speed = Some((percent, now));
        }
    }

    /// Estimates the service time relative to the usual one.
    pub fn cost(&self, now: Duration, object: Option<u64>, cfg: &PoolSettings) -> f64 {
        let mut cost = self.health.relative_latency();
        if let Some((percent, at)) = self.speed
            && at + SPEED_LIFETIME > now
        {
            cost *= f64::from(percent.clamp(50, 1000)) / 100.0;
        }
        if self.cold(now) {
            cost *= cfg.cold_factor;
        }
        if object.is_some_and(|o| self.warm.contains(&o)) {
            cost *= cfg.warm_factor;
        }
        cost
    }
}
