//! Limits how fast the requests of a region move to other regions and back.

use std::collections::BTreeMap;
use std::time::Duration;

use config::RegionId;

use crate::window::Window;

/// Window in which shares are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// Part of the allowed change that the level of a region moves within a window; the rest is room
/// for bursts.
const SLOPE_SHARE: f64 = 0.6;
/// Part of the requests of a window by which a region may be ahead of or behind its level.
const BURST_SHARE: f64 = 0.03;
/// Least such number of requests; a share of few requests is coarse.
const MIN_BURST: f64 = 2.0;
/// Time in which the wanted share is averaged.
const AVERAGE: Duration = Duration::from_millis(500);
/// Time after servers came or went, or the pool was taken over, in which requests move freely; less
/// than the platform's stability window of four seconds, after which shares are compared again.
const LIFTED: Duration = Duration::from_millis(3500);

/// Shares of other regions of the requests of one region and service.
#[derive(Clone, Debug)]
pub(crate) struct ShiftLimiter {
    /// Largest change of a region's share from one window to the next.
    limit: f64,
    flows: BTreeMap<RegionId, Flow>,
    /// Requests of the last window.
    recent: Window,
    last: Duration,
    /// Until when requests move freely.
    free_until: Duration,
}

/// Requests to one region.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Average share of the requests that would go there without a limit.
    wanted: f64,
    /// Share that goes there; follows `wanted` slowly.
    level: f64,
    /// Requests by which it is behind its level; negative if it is ahead.
    behind: f64,
}

impl ShiftLimiter {
    pub fn new(limit: f64) -> Self {
        ShiftLimiter {
            limit,
            flows: BTreeMap::new(),
            recent: Window::new(WINDOW),
            last: Duration::ZERO,
            free_until: LIFTED,
        }
    }

    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Lifts the limit for a while.
    pub fn lift(&mut self, now: Duration) {
        self.free_until = now + LIFTED;
    }

    /// Records a decision: where the request would have run without a limit, and where it runs;
    /// `None` is the own region.
    pub fn record(&mut self, wanted: Option<&RegionId>, runs: Option<&RegionId>, now: Duration) {
        self.recent.record(now);
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        for region in [wanted, runs].into_iter().flatten() {
            if !self.flows.contains_key(region) {
                self.flows.insert(region.clone(), Flow::default());
            }
        }
        let burst = self.burst(now);
        let free = now < self.free_until;
        let weight = 1.0 - (-passed / AVERAGE.as_secs_f64()).exp();
        let slope = self.limit * SLOPE_SHARE * passed / WINDOW.as_secs_f64();
        for (region, flow) in &mut self.flows {
            let is = |r: Option<&RegionId>| if r == Some(region) { 1.0 } else { 0.0 };
            flow.wanted += weight * (is(wanted) - flow.wanted);
            let step = flow.wanted - flow.level;
            flow.level += if free {
                step
            } else {
                step.clamp(-slope, slope)
            };
            let behind = flow.behind + flow.level - is(runs);
            flow.behind = behind.clamp(-burst - 1.0, burst + 1.0);
        }
    }

    /// Tells whether one more request may run in `region`.
    pub fn may_leave(&mut self, region: &RegionId, now: Duration) -> bool {
        let burst = self.burst(now);
        let behind = self.flows.get(region).map_or(0.0, |f| f.behind);
        now < self.free_until || behind - 1.0 >= -burst
    }

    /// Tells whether the next request has to run in `region`, so that its share does not drop too
    /// fast.
    pub fn must_leave(&mut self, region: &RegionId, now: Duration) -> bool {
        let burst = self.burst(now);
        let behind = self.flows.get(region).map_or(0.0, |f| f.behind);
        now >= self.free_until && behind >= burst
    }

    /// Requests by which a region may be ahead of its level or behind it.
    fn burst(&mut self, now: Duration) -> f64 {
        (self.recent.count(now) as f64 * BURST_SHARE).max(MIN_BURST)
    }
}
