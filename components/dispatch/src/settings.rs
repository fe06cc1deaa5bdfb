//! Settings of a pool.

use std::time::Duration;

/// Limits and weights of the pool of one service in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Requests a second that a cold server accepts from all entry VMs.
    pub cold_per_s: f64,
    /// Time for which a server that came back counts as cold.
    pub cold_start: Duration,
    /// Sends beyond the first of each request, as a share of the first sends in `retry_window`.
    pub retry_ratio: f64,
    /// Sends beyond the first that are allowed in each `retry_window` without any traffic.
    pub retry_allowance: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Largest change of another region's share of the requests within two seconds.
    pub max_shift: f64,
    /// Time of a queue that never empties after which the service counts as overloaded.
    pub standing_queue: Duration,
    /// Share of the target latency for which a request waits under overload.
    pub overload_wait: f64,
    /// Share of the time to its deadline for which a request waits without overload.
    pub normal_wait: f64,
    /// Part of the time saved by warm data for which a request waits for a server that has it.
    pub warm_wait: f64,
    /// Expected multiple of the usual service time on a cold server.
    pub cold_factor: f64,
    /// Time added for a server of another failure domain of the region.
    pub cross_domain_cost: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            // The platform allows 1.5 times the rate plus a slack; the rest covers the second in
            // which two entry VMs hold the same pool.
            cold_per_s: 10.0,
            cold_start: Duration::from_secs(3),
            // Three quarters of the platform's ratio and of one region's part of its slack.
            retry_ratio: 0.15,
            retry_allowance: 10.0,
            retry_window: Duration::from_secs(10),
            max_shift: 1.0,
            standing_queue: Duration::from_millis(500),
            // A queue that a burst has left drains in that time; under lasting overload a caller can
            // still come back in time.
            overload_wait: 0.5,
            normal_wait: 0.45,
            warm_wait: 0.8,
            cold_factor: 2.0,
            cross_domain_cost: Duration::from_millis(8),
        }
    }
}
