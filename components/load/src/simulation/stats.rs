//! Statistics of a simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use config::HouseId;
use hdrhistogram::Histogram;
use limits::queue::Refusal;

/// Upper bound of the histograms; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latencies and refusals of a group of requests.
#[derive(Clone, Debug)]
pub struct RequestStats {
    /// Latencies of all requests in microseconds; refused requests and those with an unknown
    /// outcome are recorded with the time to their deadline.
    pub latency: Histogram<u64>,
    pub requests: u64,
    /// Requests whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Responses that arrived after the deadline.
    pub late: u64,
    pub refused: BTreeMap<Refusal, u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        RequestStats {
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are constants"),
            requests: 0,
            unknown: 0,
            late: 0,
            refused: BTreeMap::new(),
        }
    }
}

impl RequestStats {
    pub fn record_response(&mut self, latency: Duration) {
        self.requests += 1;
        self.latency.saturating_record(latency.as_micros() as u64);
    }

    /// Records a refusal; `deadline` is the time from arrival to deadline.
    pub fn record_refusal(&mut self, why: Refusal, deadline: Duration) {
        self.record_response(deadline);
        *self.refused.entry(why).or_default() += 1;
    }

    pub fn merge(&mut self, other: &RequestStats) {
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

    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the share of requests that were refused.
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.refused.values().sum();
        refused as f64 / self.requests.max(1) as f64
    }
}

/// Statistics of a run, counted after its warm-up unless stated otherwise.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Keyed by service, house and phase.
    pub groups: BTreeMap<(usize, HouseId, usize), RequestStats>,
    /// Attempts sent to servers, by service.
    pub attempts: BTreeMap<usize, u64>,
    /// Attempts that arrived at a server whose slots were all busy, over the whole run.
    pub over_limit: u64,
    /// Requests refused, over the whole run, while a server outside a lost region had a free slot.
    pub refused_despite_slots: u64,
    /// Attempts cancelled because the loan of their slot ended, over the whole run.
    pub ended_leases: u64,
    /// Binding requests that were started more than once.
    pub run_twice: u64,
    /// Largest backlog of a link between regions.
    pub link_backlog: Duration,
    /// Bytes sent between regions.
    pub link_bytes: u64,
    /// Number of times that a server was suspended, over the whole run.
    pub suspended: u64,
}

impl Stats {
    /// Merges the statistics of a service over the houses that pass the filter.
    pub fn group(&self, service: usize, filter: impl Fn(&HouseId) -> bool) -> RequestStats {
        let mut sum = RequestStats::default();
        for ((s, house, _), group) in &self.groups {
            if *s == service && filter(house) {
                sum.merge(group);
            }
        }
        sum
    }

    /// Merges the statistics of a phase over all services and houses.
    pub fn phase(&self, phase: usize) -> RequestStats {
        let mut sum = RequestStats::default();
        for ((.., p), group) in &self.groups {
            if *p == phase {
                sum.merge(group);
            }
        }
        sum
    }

    pub fn attempts_per_request_of_all(&self) -> f64 {
        let requests: u64 = self.groups.values().map(|g| g.requests).sum();
        let attempts: u64 = self.attempts.values().sum();
        attempts as f64 / requests.max(1) as f64
    }

    pub fn attempts_per_request(&self, service: usize) -> f64 {
        let requests = self.group(service, |_| true).requests;
        let attempts = self.attempts.get(&service).copied().unwrap_or(0);
        attempts as f64 / requests.max(1) as f64
    }
}
