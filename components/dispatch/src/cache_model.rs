//! Model of the servers' caches: which objects each server has cached, and how much faster it
//! answers for them.
//!
//! A server caches the objects that it handled last, as many as its memory holds. It does not
//! report that number; it is estimated from the latencies of objects whose reuse distance is near
//! the current estimate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Objects tracked per server; above the cache capacity of any server.
const MAX_TRACKED_OBJECTS: usize = 128;
/// Initial estimate of the objects that a server caches.
const INITIAL_CAPACITY: usize = 24;
/// Weight of the initial estimate, in answers per reuse distance.
const PRIOR_WEIGHT: f32 = 1.0;
/// Number of samples after which older ones are multiplied by `DECAY`.
const DECAY_PERIOD: u32 = 64;
const DECAY: f32 = 0.9;
/// Weight of the newest latency in the moving averages.
const LATENCY_WEIGHT: f64 = 0.05;
/// Latencies are capped at this multiple of the expected one, so that outliers do not distort the
/// averages.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Expected service time before the first answer.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Assumed ratio of the service times with and without cached data, before it was measured.
const INITIAL_HIT_TIME_RATIO: f64 = 0.5;

/// Objects that a server handled, most recent first, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentObjects {
    objects: Vec<u64>,
    handled_at: Vec<Duration>,
}

impl RecentObjects {
    /// Returns the reuse distance: how many other objects were handled since this one.
    pub fn reuse_distance(&self, object: u64) -> Option<usize> {
        self.objects.iter().position(|&o| o == object)
    }

    /// Records a request for an object; returns its previous reuse distance.
    pub fn touch(&mut self, object: u64, now: Duration) -> Option<usize> {
        let reuse_distance = self.reuse_distance(object);
        if let Some(d) = reuse_distance {
            self.objects[..=d].rotate_right(1);
            self.handled_at[..=d].rotate_right(1);
        } else {
            self.objects.truncate(MAX_TRACKED_OBJECTS - 1);
            self.handled_at.truncate(MAX_TRACKED_OBJECTS - 1);
            self.objects.insert(0, object);
            self.handled_at.insert(0, now);
        }
        self.handled_at[0] = now;
        reuse_distance
    }

    /// Returns the time since the last use of the object that the next new object would evict from
    /// a cache of `capacity` objects; `None` if there is room.
    pub fn eviction_age(&self, capacity: usize, now: Duration) -> Option<Duration> {
        let last = self.handled_at.get(capacity.saturating_sub(1))?;
        Some(now.saturating_sub(*last))
    }

    /// Returns the `count` most recent objects.
    pub fn latest(&self, count: usize) -> Vec<u64> {
        self.objects.iter().take(count).copied().collect()
    }

    /// Appends the objects known to another entry VM behind those known here.
    pub fn import(&mut self, objects: &[u64], now: Duration) {
        for &object in objects {
            if self.reuse_distance(object).is_none() && self.objects.len() < MAX_TRACKED_OBJECTS {
                self.objects.push(object);
                self.handled_at.push(now);
            }
        }
    }

    pub fn clear(&mut self) {
        self.objects.clear();
        self.handled_at.clear();
    }
}

/// Service times learned by a pool owner, for its successor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceTimes {
    capacity: usize,
    #[serde(rename = "warm")]
    hit: Option<Duration>,
    #[serde(rename = "cold")]
    miss: Option<Duration>,
    #[serde(rename = "usual")]
    mean: Option<Duration>,
}

/// Service times with and without cached data, and the estimated number of objects that a server
/// caches.
#[derive(Clone, Debug)]
pub(crate) struct CacheModel {
    capacity: usize,
    /// Counts of fast and slow answers by the reuse distance of their object.
    fast: [f32; MAX_TRACKED_OBJECTS],
    slow: [f32; MAX_TRACKED_OBJECTS],
    samples: u32,
    hit: Option<Duration>,
    miss: Option<Duration>,
    /// Over all requests.
    mean: Option<Duration>,
}

impl Default for CacheModel {
    fn default() -> Self {
        CacheModel {
            capacity: INITIAL_CAPACITY,
            fast: std::array::from_fn(|d| {
                if d < INITIAL_CAPACITY {
                    PRIOR_WEIGHT
                } else {
                    0.0
                }
            }),
            slow: std::array::from_fn(|d| {
                if d < INITIAL_CAPACITY {
                    0.0
                } else {
                    PRIOR_WEIGHT
                }
            }),
            samples: 0,
            hit: None,
            miss: None,
            mean: None,
        }
    }
}

impl CacheModel {
    /// Whether an object at this reuse distance is assumed to be cached.
    pub fn is_cached(&self, reuse_distance: Option<usize>) -> bool {
        reuse_distance.is_some_and(|d| d < self.capacity)
    }

    /// Returns the estimated number of objects that a server caches.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    pub fn expected_service_time(&self, hit: bool) -> Duration {
        let miss = self.miss.or(self.mean).unwrap_or(INITIAL_SERVICE_TIME);
        if hit {
            self.hit
                .unwrap_or_else(|| miss.mul_f64(INITIAL_HIT_TIME_RATIO))
        } else {
            miss
        }
    }

    /// Returns the learned service times.
    pub fn service_times(&self) -> ServiceTimes {
        ServiceTimes {
            capacity: self.capacity,
            hit: self.hit,
            miss: self.miss,
            mean: self.mean,
        }
    }

    /// Applies the service times learned by another entry VM.
    pub fn import(&mut self, service_times: ServiceTimes) {
        self.capacity = service_times.capacity.clamp(1, MAX_TRACKED_OBJECTS);
        self.hit = service_times.hit.or(self.hit);
        self.miss = service_times.miss.or(self.miss);
        self.mean = service_times.mean.or(self.mean);
    }

    /// Mean service time, once measured.
    pub fn mean_service_time(&self) -> Option<Duration> {
        self.mean
    }

    /// Updates the model with the latency of a request. `reuse_distance` is `None` for the first
    /// request for an object at the server; `has_object` tells whether the request concerns an
    /// object.
    pub fn record_latency(
        &mut self,
        has_object: bool,
        reuse_distance: Option<usize>,
        latency: Duration,
    ) {
        let hit = has_object && self.is_cached(reuse_distance);
        let expected_service_time = self.expected_service_time(hit);
        let capped = latency.min(expected_service_time.mul_f64(MAX_LATENCY_RATIO));
        if has_object && hit {
            self.hit = Some(moving_average(self.hit, capped));
        } else {
            self.miss = Some(moving_average(self.miss, capped));
        }
        self.mean = Some(moving_average(self.mean, capped));
        if let Some(reuse_distance) =
            reuse_distance.filter(|d| has_object && *d < MAX_TRACKED_OBJECTS)
        {
            self.update_capacity(reuse_distance, latency);
        }
    }

    /// Chooses the capacity that contradicts the fewest answers: slow ones for objects within it,
    /// and fast ones for objects beyond it. Of equally good ones, takes the nearest to the old
    /// estimate.
    fn update_capacity(&mut self, reuse_distance: usize, latency: Duration) {
        let midpoint = (self.expected_service_time(true) + self.expected_service_time(false)) / 2;
        let counts = if latency < midpoint {
            &mut self.fast
        } else {
            &mut self.slow
        };
        counts[reuse_distance] += 1.0;
        self.samples += 1;
        if self.samples.is_multiple_of(DECAY_PERIOD) {
            for count in self.fast.iter_mut().chain(&mut self.slow) {
                *count *= DECAY;
            }
        }
        let mut contradictions: f32 = self.fast.iter().sum();
        let mut best = (contradictions, usize::MAX, 0);
        for capacity in 1..=MAX_TRACKED_OBJECTS {
            contradictions += self.slow[capacity - 1] - self.fast[capacity - 1];
            let candidate = (contradictions, capacity.abs_diff(self.capacity), capacity);
            if (candidate.0, candidate.1) < (best.0, best.1) {
                best = candidate;
            }
        }
        self.capacity = best.2.max(1);
    }
}

fn moving_average(old: Option<Duration>, new: Duration) -> Duration {
    old.map_or(new, |old| {
        old.mul_f64(1.0 - LATENCY_WEIGHT) + new.mul_f64(LATENCY_WEIGHT)
    })
}
