//! Settings of a server pool.

use std::time::Duration;

/// Limits and weights of the pool of one service in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Requests per second that a cold server accepts from all entry VMs together.
    pub cold_per_s: f64,
    /// Time for which a recovered server counts as cold.
    pub cold_start: Duration,
    /// Retry budget: retries as a share of the first attempts in `retry_window`.
    pub retry_ratio: f64,
    /// Retries that are allowed in each `retry_window` in addition to that share.
    pub retry_allowance: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Largest change of another region's share of the requests within two seconds.
    pub max_shift: f64,
    /// Time without an empty queue after which the service counts as overloaded.
    pub standing_queue: Duration,
    /// Longest wait under overload, as a share of the target latency.
    pub overload_wait: f64,
    /// Longest wait without overload, as a share of the time to the deadline.
    pub normal_wait: f64,
    /// Longest wait for a server that has the object cached, as a share of the service time that
    /// this saves.
    pub cached_wait: f64,
    /// Expected service time of a cold server, as a multiple of the normal one.
    pub cold_factor: f64,
    /// Cost added to servers of another failure domain of the region.
    pub cross_domain_cost: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            // The platform allows 1.5 times the rate plus a slack; the rest covers the second in
            // which two entry VMs may own the same pool.
            cold_per_s: 10.0,
            cold_start: Duration::from_secs(3),
            // Three quarters of the platform's ratio, and of one region's part of its slack.
            retry_ratio: 0.15,
            retry_allowance: 10.0,
            retry_window: Duration::from_secs(10),
            max_shift: 1.0,
            standing_queue: Duration::from_millis(500),
            // Long enough for the queue of a short burst to drain; under lasting overload, a
            // refused caller still has time to retry.
            overload_wait: 0.5,
            normal_wait: 0.45,
            cached_wait: 0.8,
            cold_factor: 2.0,
            cross_domain_cost: Duration::from_millis(8),
        }
    }
}
