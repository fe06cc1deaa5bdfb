//! Limits how fast traffic shifts between regions.

use std::collections::BTreeMap;
use std::time::Duration;

use config::RegionId;

use crate::window::SlidingWindow;

/// Window over which shares are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// Part of the allowed change by which the paced share of a region may move within a window; the
/// rest is headroom for bursts.
const SLOPE_FRACTION: f64 = 0.6;
/// Burst allowance: the number of requests by which a region may be ahead of or behind its paced
/// share, as a part of the requests in the window.
const BURST_FRACTION: f64 = 0.03;
/// Lower bound of the burst allowance, in requests: with few requests, shares are coarse.
const MIN_BURST: f64 = 2.0;
/// Time constant of the moving average of the desired share.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Time without a limit after the number of servers has changed or the pool has changed its owner.
/// Less than the platform's stability window of four seconds, after which it compares shares again.
const SUSPENSION: Duration = Duration::from_millis(3500);

/// Limits the change of the shares of other regions in the requests of one region and service.
#[derive(Clone, Debug)]
pub(crate) struct ShiftLimiter {
    /// Largest change of a region's share from one window to the next.
    max_change: f64,
    flows: BTreeMap<RegionId, Flow>,
    /// Requests within the last window.
    recent: SlidingWindow,
    last: Duration,
    /// The limit does not apply before this time.
    suspended_until: Duration,
}

/// Share of one region.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Moving average of the share that would go there without a limit.
    desired: f64,
    /// Paced share, which follows `desired` at a limited rate.
    paced: f64,
    /// Requests by which it is behind its paced share; negative if it is ahead.
    deficit: f64,
}

impl ShiftLimiter {
    pub fn new(max_change: f64) -> Self {
        ShiftLimiter {
            max_change,
            flows: BTreeMap::new(),
            recent: SlidingWindow::new(WINDOW),
            last: Duration::ZERO,
            suspended_until: SUSPENSION,
        }
    }

    pub fn set_max_change(&mut self, max_change: f64) {
        self.max_change = max_change;
    }

    /// Suspends the limit for `SUSPENSION`.
    pub fn suspend(&mut self, now: Duration) {
        self.suspended_until = now + SUSPENSION;
    }

    /// Records a decision: where the request would have run without a limit, and where it runs;
    /// `None` is this region.
    pub fn record(&mut self, desired: Option<&RegionId>, actual: Option<&RegionId>, now: Duration) {
        self.recent.record(now);
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        for region in [desired, actual].into_iter().flatten() {
            if !self.flows.contains_key(region) {
                self.flows.insert(region.clone(), Flow::default());
            }
        }
        let burst = self.burst(now);
        let suspended = now < self.suspended_until;
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        let max_step = self.max_change * SLOPE_FRACTION * elapsed / WINDOW.as_secs_f64();
        for (region, flow) in &mut self.flows {
            let is = |r: Option<&RegionId>| if r == Some(region) { 1.0 } else { 0.0 };
            flow.desired += weight * (is(desired) - flow.desired);
            let step = flow.desired - flow.paced;
            flow.paced += if suspended {
                step
            } else {
                step.clamp(-max_step, max_step)
            };
            let deficit = flow.deficit + flow.paced - is(actual);
            flow.deficit = deficit.clamp(-burst - 1.0, burst + 1.0);
        }
    }

    /// Whether another request may run in `region`.
    pub fn may_forward(&mut self, region: &RegionId, now: Duration) -> bool {
        let burst = self.burst(now);
        let deficit = self.flows.get(region).map_or(0.0, |f| f.deficit);
        now < self.suspended_until || deficit - 1.0 >= -burst
    }

    /// Whether the next request must run in `region`, so that its share does not drop too fast.
    pub fn must_forward(&mut self, region: &RegionId, now: Duration) -> bool {
        let burst = self.burst(now);
        let deficit = self.flows.get(region).map_or(0.0, |f| f.deficit);
        now >= self.suspended_until && deficit >= burst
    }

    /// Requests by which a region may be ahead of or behind its paced share.
    fn burst(&mut self, now: Duration) -> f64 {
        (self.recent.count(now) as f64 * BURST_FRACTION).max(MIN_BURST)
    }
}
