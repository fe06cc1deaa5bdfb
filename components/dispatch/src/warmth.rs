//! Which servers hold warm data of which objects, and how much faster they are.
//!
//! A server keeps data of the objects that it handled last, as many as its memory takes. How many
//! is not told; it is learned from the latencies of objects near the estimated limit.

use std::time::Duration;

/// Objects of each server that are remembered; above the estimate of any capacity.
const REMEMBERED: usize = 256;
/// First estimate of the objects that a server keeps.
const FIRST_CAPACITY: f64 = 24.0;
/// Smallest estimate.
const LEAST_CAPACITY: f64 = 4.0;
/// Part of the capacity around its limit in which latencies change the estimate.
const MARGIN: f64 = 0.25;
/// Growth after a fast answer beyond the limit.
const GROWTH: f64 = 0.5;
/// Shrinkage after a slow answer within the limit; smaller, because slow servers look the same.
const SHRINKAGE: f64 = 0.2;
/// Weight of the newest latency.
const WEIGHT: f64 = 0.05;
/// Latencies above this multiple of the expected one count as this multiple.
const STRAGGLER: f64 = 2.5;
/// Expected service time before the first answer.
const FIRST_TIME: Duration = Duration::from_millis(200);
/// Part of the service time without warm data that is expected with it, before it was measured.
const FIRST_FACTOR: f64 = 0.5;

/// Objects that a server handled, the latest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    objects: Vec<u64>,
}

impl Recent {
    /// Returns how many other objects were handled since this one.
    pub fn depth(&self, object: u64) -> Option<usize> {
        self.objects.iter().position(|&o| o == object)
    }

    /// Records that an object is handled; returns its depth before.
    pub fn touch(&mut self, object: u64) -> Option<usize> {
        let depth = self.depth(object);
        if let Some(d) = depth {
            self.objects[..=d].rotate_right(1);
        } else {
            self.objects.truncate(REMEMBERED - 1);
            self.objects.insert(0, object);
        }
        depth
    }

    pub fn clear(&mut self) {
        self.objects.clear();
    }
}

/// Service times with and without warm data, and the objects that a server keeps.
#[derive(Clone, Debug)]
pub(crate) struct Warmth {
    capacity: f64,
    warm: Option<Duration>,
    cold: Option<Duration>,
    /// Over all requests.
    usual: Option<Duration>,
}

impl Default for Warmth {
    fn default() -> Self {
        Warmth {
            capacity: FIRST_CAPACITY,
            warm: None,
            cold: None,
            usual: None,
        }
    }
}

impl Warmth {
    /// Tells whether an object at this depth is taken to be warm.
    pub fn is_warm(&self, depth: Option<usize>) -> bool {
        depth.is_some_and(|d| (d as f64) < self.capacity)
    }

    /// Expected service time.
    pub fn expected(&self, warm: bool) -> Duration {
        let cold = self.cold.or(self.usual).unwrap_or(FIRST_TIME);
        if warm {
            self.warm.unwrap_or_else(|| cold.mul_f64(FIRST_FACTOR))
        } else {
            cold
        }
    }

    /// Mean service time, once known.
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Learns from the latency of a request; `depth` is `None` for a first visit, and `sticky`
    /// tells whether the request concerns an object.
    pub fn learn(&mut self, sticky: bool, depth: Option<usize>, latency: Duration) {
        let warm = sticky && self.is_warm(depth);
        let expected = self.expected(warm);
        let counted = latency.min(expected.mul_f64(STRAGGLER));
        if sticky && warm {
            self.warm = Some(smooth(self.warm, counted));
        } else {
            self.cold = Some(smooth(self.cold, counted));
        }
        self.usual = Some(smooth(self.usual, counted));
        if let Some(depth) = depth.filter(|_| sticky) {
            self.learn_capacity(depth as f64, latency);
        }
    }

    fn learn_capacity(&mut self, depth: f64, latency: Duration) {
        let between = (self.expected(true) + self.expected(false)) / 2;
        let fast = latency < between;
        let near = (depth - self.capacity).abs() <= 1.0 + self.capacity * MARGIN;
        if near && fast && depth >= self.capacity {
            self.capacity += GROWTH;
        } else if near && !fast && depth < self.capacity {
            self.capacity -= SHRINKAGE;
        }
        self.capacity = self.capacity.clamp(LEAST_CAPACITY, REMEMBERED as f64);
    }
}

fn smooth(old: Option<Duration>, new: Duration) -> Duration {
    old.map_or(new, |old| old.mul_f64(1.0 - WEIGHT) + new.mul_f64(WEIGHT))
}
