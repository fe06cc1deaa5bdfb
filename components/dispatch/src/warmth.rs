//! Which servers hold warm data of which objects, and how much faster they are.
//!
//! A server keeps data of the objects that it handled last, as many as its memory takes. How many
//! is not told; it is learned from the latencies of objects near the estimated limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Objects of each server that are remembered; above the capacity of any server.
const REMEMBERED: usize = 128;
/// First estimate of the objects that a server keeps.
const FIRST_CAPACITY: usize = 24;
/// Answers for which the first estimate counts at each depth.
const PRIOR: f32 = 1.0;
/// Samples after which older ones count nine tenths.
const DECAY_PERIOD: u32 = 64;
/// Part of the older samples that stays.
const DECAY: f32 = 0.9;
/// Weight of the newest latency.
const WEIGHT: f64 = 0.05;
/// Latencies above this multiple of the expected one count as this multiple.
const STRAGGLER: f64 = 2.5;
/// Expected service time before the first answer.
const FIRST_TIME: Duration = Duration::from_millis(200);
/// Part of the service time without warm data that is expected with it, before it was measured.
const FIRST_FACTOR: f64 = 0.5;

/// Objects that a server handled, the latest first, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    objects: Vec<u64>,
    handled: Vec<Duration>,
}

impl Recent {
    /// Returns how many other objects were handled since this one.
    pub fn depth(&self, object: u64) -> Option<usize> {
        self.objects.iter().position(|&o| o == object)
    }

    /// Records that an object is handled; returns its depth before.
    pub fn touch(&mut self, object: u64, now: Duration) -> Option<usize> {
        let depth = self.depth(object);
        if let Some(d) = depth {
            self.objects[..=d].rotate_right(1);
            self.handled[..=d].rotate_right(1);
        } else {
            self.objects.truncate(REMEMBERED - 1);
            self.handled.truncate(REMEMBERED - 1);
            self.objects.insert(0, object);
            self.handled.insert(0, now);
        }
        self.handled[0] = now;
        depth
    }

    /// Returns for how long the object has not been asked for that one more would displace at a
    /// server that keeps `kept`; `None` if there is room.
    pub fn displaced(&self, kept: usize, now: Duration) -> Option<Duration> {
        let last = self.handled.get(kept.saturating_sub(1))?;
        Some(now.saturating_sub(*last))
    }

    /// Returns the latest objects, at most `count`.
    pub fn latest(&self, count: usize) -> Vec<u64> {
        self.objects.iter().take(count).copied().collect()
    }

    /// Takes over the objects that another entry VM knows, behind those that are known here.
    pub fn adopt(&mut self, objects: &[u64], now: Duration) {
        for &object in objects {
            if self.depth(object).is_none() && self.objects.len() < REMEMBERED {
                self.objects.push(object);
                self.handled.push(now);
            }
        }
    }

    pub fn clear(&mut self) {
        self.objects.clear();
        self.handled.clear();
    }
}

/// What a keeper has learned of service times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceTimes {
    capacity: usize,
    warm: Option<Duration>,
    cold: Option<Duration>,
    usual: Option<Duration>,
}

/// Service times with and without warm data, and the objects that a server keeps.
#[derive(Clone, Debug)]
pub(crate) struct Warmth {
    capacity: usize,
    /// Fast and slow answers by the depth of their object.
    fast: [f32; REMEMBERED],
    slow: [f32; REMEMBERED],
    samples: u32,
    warm: Option<Duration>,
    cold: Option<Duration>,
    /// Over all requests.
    usual: Option<Duration>,
}

impl Default for Warmth {
    fn default() -> Self {
        Warmth {
            capacity: FIRST_CAPACITY,
            fast: std::array::from_fn(|d| if d < FIRST_CAPACITY { PRIOR } else { 0.0 }),
            slow: std::array::from_fn(|d| if d < FIRST_CAPACITY { 0.0 } else { PRIOR }),
            samples: 0,
            warm: None,
            cold: None,
            usual: None,
        }
    }
}

impl Warmth {
    /// Tells whether an object at this depth is taken to be warm.
    pub fn is_warm(&self, depth: Option<usize>) -> bool {
        depth.is_some_and(|d| d < self.capacity)
    }

    /// Returns how many objects a server is taken to keep.
    pub fn kept(&self) -> usize {
        self.capacity
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

    /// Returns what has been learned.
    pub fn times(&self) -> ServiceTimes {
        ServiceTimes {
            capacity: self.capacity,
            warm: self.warm,
            cold: self.cold,
            usual: self.usual,
        }
    }

    /// Takes over what another entry VM has learned.
    pub fn adopt(&mut self, times: ServiceTimes) {
        self.capacity = times.capacity.clamp(1, REMEMBERED);
        self.warm = times.warm.or(self.warm);
        self.cold = times.cold.or(self.cold);
        self.usual = times.usual.or(self.usual);
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
        if let Some(depth) = depth.filter(|d| sticky && *d < REMEMBERED) {
            self.learn_capacity(depth, latency);
        }
    }

    /// Takes the capacity that contradicts the fewest answers: slow ones of objects within it, and
    /// fast ones of objects beyond it.
    fn learn_capacity(&mut self, depth: usize, latency: Duration) {
        let between = (self.expected(true) + self.expected(false)) / 2;
        let counts = if latency < between {
            &mut self.fast
        } else {
            &mut self.slow
        };
        counts[depth] += 1.0;
        self.samples += 1;
        if self.samples.is_multiple_of(DECAY_PERIOD) {
            for count in self.fast.iter_mut().chain(&mut self.slow) {
                *count *= DECAY;
            }
        }
        let mut wrong: f32 = self.fast.iter().sum();
        let mut best = (wrong, usize::MAX, 0);
        for capacity in 1..=REMEMBERED {
            wrong += self.slow[capacity - 1] - self.fast[capacity - 1];
            let candidate = (wrong, capacity.abs_diff(self.capacity), capacity);
            if (candidate.0, candidate.1) < (best.0, best.1) {
                best = candidate;
            }
        }
        self.capacity = best.2.max(1);
    }
}

fn smooth(old: Option<Duration>, new: Duration) -> Duration {
    old.map_or(new, |old| old.mul_f64(1.0 - WEIGHT) + new.mul_f64(WEIGHT))
}
