//! What a run measured.

use std::collections::BTreeMap;
use std::time::Duration;

use config::HouseId;
use hdrhistogram::Histogram;
use limits::queue::Refusal;

/// Longest latency that is told apart.
const MAX_MICROS: u64 = 3_600_000_000;

/// Latency and refusals of a group of requests.
#[derive(Clone, Debug)]
pub struct Group {
    /// Latency of all requests, in microseconds; a refused one counts with its deadline.
    pub latency: Histogram<u64>,
    /// Requests.
    pub requests: u64,
    /// Requests whose outcome their caller does not know.
    pub unknown: u64,
    /// Responses after the deadline.
    pub late: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Refusal, u64>,
}

impl Default for Group {
    fn default() -> Self {
        Group {
            latency: Histogram::new_with_max(MAX_MICROS, 3).expect("bounds are constants"),
            requests: 0,
            unknown: 0,
            late: 0,
            refused: BTreeMap::new(),
        }
    }
}

impl Group {
    /// Records a response.
    pub fn answered(&mut self, latency: Duration) {
        self.requests += 1;
        self.latency.saturating_record(latency.as_micros() as u64);
    }

    /// Records a refusal of a request with this time to its deadline.
    pub fn refused(&mut self, why: Refusal, deadline: Duration) {
        self.answered(deadline);
        *self.refused.entry(why).or_default() += 1;
    }

    /// Adds another group.
    pub fn add(&mut self, other: &Group) {
        self.latency
            .add(&other.latency)
            .expect("histograms have equal bounds");
        self.requests += other.requests;
        self.late += other.late;
        self.unknown += other.unknown;
        for (why, n) in &other.refused {
            *self.refused.entry(*why).or_default() += n;
        }
    }

    /// Latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Share of refused requests.
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.refused.values().sum();
        refused as f64 / self.requests.max(1) as f64
    }
}

/// What a run measured after its warm-up.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// By service, house and phase.
    pub groups: BTreeMap<(usize, HouseId, usize), Group>,
    /// Attempts that reached a server, by service.
    pub attempts: BTreeMap<usize, u64>,
    /// Requests that found all slots of their server busy, over the whole run.
    pub over_limit: u64,
    /// Refusals, over the whole run, while a server that is not lost had a free slot.
    pub refused_despite_slots: u64,
    /// Attempts cancelled because the lease of their slot ended, over the whole run.
    pub ended_leases: u64,
    /// Binding requests that more than one server has started.
    pub ran_twice: u64,
    /// Largest backlog of a link between regions.
    pub link_backlog: Duration,
    /// Bytes between regions.
    pub link_bytes: u64,
    /// Suspensions of servers, over the whole run.
    pub suspended: u64,
}

impl Stats {
    /// All groups of a service that pass the filter, as one.
    pub fn group(&self, service: usize, filter: impl Fn(&HouseId) -> bool) -> Group {
        let mut sum = Group::default();
        for ((s, house, _), group) in &self.groups {
            if *s == service && filter(house) {
                sum.add(group);
            }
        }
        sum
    }

    /// All groups of a phase, as one.
    pub fn phase(&self, phase: usize) -> Group {
        let mut sum = Group::default();
        for ((.., p), group) in &self.groups {
            if *p == phase {
                sum.add(group);
            }
        }
        sum
    }

    /// Attempts per request of all services.
    pub fn attempts_per_request_of_all(&self) -> f64 {
        let requests: u64 = self.groups.values().map(|g| g.requests).sum();
        let attempts: u64 = self.attempts.values().sum();
        attempts as f64 / requests.max(1) as f64
    }

    /// Attempts per request of a service.
    pub fn attempts_per_request(&self, service: usize) -> f64 {
        let requests = self.group(service, |_| true).requests;
        let attempts = self.attempts.get(&service).copied().unwrap_or(0);
        attempts as f64 / requests.max(1) as f64
    }
}
