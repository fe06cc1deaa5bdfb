//! Parameters of a simulation run.

use std::time::Duration;

use config::{Class, HouseId};

/// Share of requests that are stragglers, which take much longer than the others.
pub const STRAGGLER_SHARE: f64 = 0.01;
/// Factor on the service time of a straggler.
pub const STRAGGLER_FACTOR: f64 = 20.0;
/// Time until a server's load report reaches the entry VMs.
pub const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Interval between load reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A service in one failure domain, with the traffic of callers that prefer this domain.
#[derive(Clone, Debug)]
pub struct Service {
    /// Indices of the entry VMs of the domain.
    pub vms: Vec<usize>,
    pub class: Class,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots per server.
    pub slots: u32,
    /// Mean of the exponentially distributed service time, without stragglers.
    pub mean_service_time: Duration,
    /// Bytes of each response.
    pub response_bytes: u64,
    /// Requests per second of each house.
    pub houses: Vec<(HouseId, f64)>,
}

impl Service {
    /// Returns the mean service time including stragglers, in seconds.
    pub fn mean_seconds_with_stragglers(&self) -> f64 {
        self.mean_service_time.as_secs_f64() * (1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0))
    }

    /// Returns the requests per second that keep this share of the slots busy.
    pub fn rate_for(&self, share: f64) -> f64 {
        let slots = self.servers as f64 * f64::from(self.slots);
        share * slots / self.mean_seconds_with_stragglers()
    }
}

/// A period in which some servers are slower without reporting it.
#[derive(Clone, Debug)]
pub struct Slowdown {
    pub service: usize,
    /// Indices of the slow servers.
    pub servers: Vec<usize>,
    /// Factor on the service time of requests that start in this period.
    pub factor: f64,
    pub from: Duration,
    pub until: Duration,
}

/// A deployment in several regions. Each entry of [`Scenario::services`] is then the same service in
/// another failure domain.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    /// Index of the region of each domain.
    pub of_domain: Vec<usize>,
    /// One-way delay between two domains of a region.
    pub domain_delay: Duration,
    /// One-way delay between two regions.
    pub region_delay: Duration,
    /// Bandwidth from each region to each other one.
    pub link_bytes_per_second: u64,
    /// Region that fails, and when.
    pub loss: Option<(usize, Duration)>,
}

/// How requests are assigned to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Baseline: servers in turn, requests in order of arrival, no refusals and no hedges.
    RoundRobin,
    /// The decision code of `limits` and `routing`.
    Steered,
    /// Like `Steered`, with a circuit breaker per server in place of the comparison of latencies.
    Breaker,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub policy: Policy,
    /// Number of entry VMs of all domains.
    pub vms: usize,
    pub services: Vec<Service>,
    /// Regions and domains; `None` for a single domain.
    pub regions: Option<Regions>,
    /// Start times of the phases after the first; requests are counted by the phase of their arrival.
    pub phases: Vec<Duration>,
    pub slowdowns: Vec<Slowdown>,
    /// Largest number of requests that each entry VM serves at once, for all services;
    /// `u32::MAX` for no limit.
    pub connections: u32,
    /// Bandwidth of each entry VM to callers; 0 for no limit.
    pub client_bytes_per_second: u64,
    /// One-way delay from an entry VM to a server or to another entry VM of its domain.
    pub local_delay: Duration,
    /// Time from the arrival of a request to its deadline.
    pub deadline: Duration,
    /// Requests that arrive before this time are not counted.
    pub warm_up: Duration,
    /// No requests arrive after this time.
    pub arrivals_end: Duration,
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
            client_bytes_per_second: 0,
            local_delay: Duration::from_micros(250),
            deadline: Duration::from_millis(config::Rules::default().default_deadline_ms),
            warm_up: Duration::from_secs(10),
            arrivals_end: Duration::from_secs(130),
        }
    }
}
