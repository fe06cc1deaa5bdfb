//! Limits how fast the requests of a region move to other regions and back.

use std::collections::VecDeque;
use std::time::Duration;

use config::RegionId;

/// Windows that are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// Requests in the earlier window below which shares are too coarse to limit.
const MIN_REQUESTS: usize = 8;

/// Regions in which the requests of one region and service have run lately.
#[derive(Clone, Debug)]
pub(crate) struct ShiftLimiter {
    /// Largest change of a region's share from one window to the next.
    limit: f64,
    /// Moments and regions, oldest first; `None` is the own region.
    requests: VecDeque<(Duration, Option<RegionId>)>,
    /// Until when requests move freely, because servers came or went.
    free_until: Duration,
}

/// Requests of one window.
#[derive(Clone, Copy, Default)]
struct Counts {
    all: usize,
    there: usize,
}

impl Counts {
    fn share(self) -> f64 {
        self.there as f64 / self.all.max(1) as f64
    }
}

impl ShiftLimiter {
    pub fn new(limit: f64) -> Self {
        ShiftLimiter {
            limit,
            requests: VecDeque::new(),
            free_until: Duration::ZERO,
        }
    }

    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Lifts the limit for two windows and the time in which the change shows.
    pub fn lift(&mut self, now: Duration) {
        self.free_until = now + 3 * WINDOW;
    }

    /// Records where a request runs.
    pub fn record(&mut self, region: Option<&RegionId>, now: Duration) {
        while self
            .requests
            .front()
            .is_some_and(|(at, _)| *at + 2 * WINDOW <= now)
        {
            self.requests.pop_front();
        }
        self.requests.push_back((now, region.cloned()));
    }

    /// Tells whether one more request may run in `region`.
    pub fn may_leave(&self, region: &RegionId, now: Duration) -> bool {
        let (earlier, current) = self.counts(region, now);
        if now < self.free_until || earlier.all < MIN_REQUESTS {
            return true;
        }
        let next = Counts {
            all: current.all + 1,
            there: current.there + 1,
        };
        next.share() <= earlier.share() + self.limit
    }

    /// Tells whether the next request has to run in `region`, so that its share does not drop too
    /// fast.
    pub fn must_leave(&self, region: &RegionId, now: Duration) -> bool {
        let (earlier, current) = self.counts(region, now);
        if now < self.free_until || earlier.all < MIN_REQUESTS {
            return false;
        }
        let next = Counts {
            all: current.all + 1,
            there: current.there,
        };
        next.share() < earlier.share() - self.limit
    }

    /// Counts the requests of the last two windows, all and in `region`.
    fn counts(&self, region: &RegionId, now: Duration) -> (Counts, Counts) {
        let (mut earlier, mut current) = (Counts::default(), Counts::default());
        for (at, ran_in) in &self.requests {
            let age = now.saturating_sub(*at);
            let counts = if age < WINDOW {
                &mut current
            } else if age < 2 * WINDOW {
                &mut earlier
            } else {
                continue;
            };
            counts.all += 1;
            counts.there += usize::from(ran_in.as_ref() == Some(region));
        }
        (earlier, current)
    }
}
