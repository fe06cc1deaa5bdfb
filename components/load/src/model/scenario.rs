//! What is simulated, and which decisions are made how.

use std::time::Duration;

use config::{Class, HouseId};

/// Share of requests that are stragglers.
pub const STRAGGLER_SHARE: f64 = 0.01;
/// How much longer a straggler takes.
pub const STRAGGLER_FACTOR: f64 = 20.0;
/// Delay of a load report.
pub const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between load reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// One service in one failure domain, and the traffic that prefers this domain.
#[derive(Clone, Debug)]
pub struct Service {
    /// Entry VMs of its domain, by index.
    pub vms: Vec<usize>,
    /// Class of its operations.
    pub class: Class,
    /// Number of servers.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Mean of the exponential service time, without stragglers.
    pub mean: Duration,
    /// Length of a response.
    pub bytes: u64,
    /// Requests per second of each house.
    pub houses: Vec<(HouseId, f64)>,
}

impl Service {
    /// Mean service time with stragglers.
    pub fn mean_with_stragglers(&self) -> f64 {
        self.mean.as_secs_f64() * (1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0))
    }

    /// Requests per second that keep this share of the slots busy.
    pub fn rate_for(&self, share: f64) -> f64 {
        let slots = self.servers as f64 * f64::from(self.slots);
        share * slots / self.mean_with_stragglers()
    }
}

/// Servers that are slower for a time; nobody is told.
#[derive(Clone, Debug)]
pub struct Slowdown {
    /// Index of the service.
    pub service: usize,
    /// Indices of its servers.
    pub servers: Vec<usize>,
    /// How much longer requests take that start meanwhile.
    pub factor: f64,
    /// Start.
    pub from: Duration,
    /// End.
    pub until: Duration,
}

/// Several regions; each entry of [`Scenario::services`] is the same service in another domain.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    /// Region of each domain.
    pub of: Vec<usize>,
    /// One-way delay between domains of a region.
    pub domain_delay: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
    /// Bytes per second from one region to another.
    pub link: u64,
    /// Region that dies, and when.
    pub loss: Option<(usize, Duration)>,
}

/// How decisions are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, first come first served, nothing refused, no hedges.
    Plain,
    /// The decision code of `limits` and `routing`.
    Steered,
    /// The same, with a breaker per server in place of the comparison of latencies.
    Breaker,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// How decisions are made.
    pub policy: Policy,
    /// Entry VMs of the domain.
    pub vms: usize,
    /// Services.
    pub services: Vec<Service>,
    /// Regions, if there is more than one domain.
    pub regions: Option<Regions>,
    /// Boundaries of the phases by which requests are counted.
    pub phases: Vec<Duration>,
    /// Slow servers.
    pub slowdowns: Vec<Slowdown>,
    /// Connections that each entry VM serves at once, for all services.
    pub connections: u32,
    /// Bytes per second that each entry VM may send to clients; 0 for no limit.
    pub link: u64,
    /// One-way delay between entry VM and server.
    pub delay: Duration,
    /// Time from the arrival of a request to its deadline.
    pub deadline: Duration,
    /// Requests that arrive earlier are not measured.
    pub warm_up: Duration,
    /// When arrivals end.
    pub end: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            policy: Policy::Steered,
            vms: 2,
            services: Vec::new(),
            regions: None,
            phases: Vec::new(),
            slowdowns: Vec::new(),
            connections: u32::MAX,
            link: 0,
            delay: Duration::from_micros(250),
            deadline: Duration::from_millis(config::Rules::default().default_deadline_ms),
            warm_up: Duration::from_secs(10),
            end: Duration::from_secs(130),
        }
    }
}
