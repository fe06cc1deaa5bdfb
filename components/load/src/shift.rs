//! Experiment `shift`: a planned shift of traffic is reversed twice before it completes. The entry
//! VMs (the nodes in the output) adopt each generation late, read platform time with an error and
//! are occasionally paused.
//!
//! Measures the largest share that moves in any minute, on each entry VM and in the sum weighted by
//! their traffic. In the baseline, entry VMs apply the target shares as soon as they adopt a
//! generation.

use std::fmt;
use std::time::Duration;

use config::{Shift, ShiftReason, moved_share, share_at};
use fastrand::Rng;
use routing::Shares;
use routing::shift::ShiftLimiter;

/// Number of entry VMs.
const ENTRY_VMS: usize = 24;
/// Cap on the share moved per minute.
const CAP_PER_MINUTE: f64 = 0.1;
/// Times at which the generations are accepted, in milliseconds since the start.
const ACCEPTED_MS: [u64; 3] = [10_000, 200_000, 320_000];
/// Longest time until an entry VM adopts a generation.
const MAX_ADOPTION_DELAY_MS: u64 = 10_000;
/// Duration of the run. The shift and its reversals take about 14 minutes at the cap, and paused
/// time does not count.
const RUN_MS: u64 = 1_500_000;
/// Platform time at the start of the run, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// Shares of one entry VM, or of the weighted sum, over time.
type ShareHistory = Vec<(Duration, Shares)>;

/// Result of the experiment.
#[derive(Clone, Debug)]
pub struct ShiftReport {
    pub seed: u64,
    /// Cap on the share moved per minute.
    pub cap: f64,
    /// Largest share moved in a minute on any entry VM.
    pub vm_moved_max: f64,
    /// Largest share moved in a minute in the weighted sum over entry VMs.
    pub sum_moved_max: f64,
    /// Largest share that is still to be moved on any entry VM at the end.
    pub unmoved_share_max: f64,
    /// `vm_moved_max` of the baseline.
    pub baseline_vm_moved_max: f64,
    /// `sum_moved_max` of the baseline.
    pub baseline_sum_moved_max: f64,
}

impl ShiftReport {
    /// Returns true if the cap was kept and every entry VM reached the target shares.
    pub fn met(&self) -> bool {
        let limit = self.cap + 1e-9;
        self.vm_moved_max <= limit && self.sum_moved_max <= limit && self.unmoved_share_max < 1e-9
    }
}

impl fmt::Display for ShiftReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "nodes={ENTRY_VMS} generations={} reversals=2",
            ACCEPTED_MS.len()
        )?;
        writeln!(
            f,
            "adoption_delay_max_ms={MAX_ADOPTION_DELAY_MS} run_ms={RUN_MS}"
        )?;
        writeln!(f, "cap_per_minute={:.4}", self.cap)?;
        writeln!(f, "node_moved_per_minute_max={:.4}", self.vm_moved_max)?;
        writeln!(f, "sum_moved_per_minute_max={:.4}", self.sum_moved_max)?;
        writeln!(f, "left_over_share_max={:.4}", self.unmoved_share_max)?;
        writeln!(
            f,
            "baseline=jump-at-adoption baseline_node_moved_per_minute_max={:.4} \
             baseline_sum_moved_per_minute_max={:.4}",
            self.baseline_vm_moved_max, self.baseline_sum_moved_max
        )?;
        let verdict = if self.met() { "met" } else { "missed" };
        write!(f, "experiment=shift seed={} verdict={verdict}", self.seed)
    }
}

/// Runs the experiment in virtual time.
pub fn run(seed: u64) -> ShiftReport {
    let mut rng = Rng::with_seed(seed);
    let shifts = generations();
    let target = shifts[2].to.clone();
    let weights: Vec<f64> = (0..ENTRY_VMS).map(|_| 0.5 + rng.f64()).collect();
    let histories: Vec<(ShareHistory, ShareHistory)> = (0..ENTRY_VMS)
        .map(|_| simulate_vm(&shifts, &mut rng))
        .collect();
    let (capped, immediate): (Vec<ShareHistory>, Vec<ShareHistory>) = histories.into_iter().unzip();
    let max_moved = |histories: &[ShareHistory]| {
        histories
            .iter()
            .map(max_moved_per_minute)
            .fold(0.0, f64::max)
    };
    let left =
        |history: &ShareHistory| history.last().map_or(1.0, |(_, s)| moved_share(s, &target));
    ShiftReport {
        seed,
        cap: CAP_PER_MINUTE,
        vm_moved_max: max_moved(&capped),
        sum_moved_max: max_moved_per_minute(&weighted_sum(&capped, &weights)),
        unmoved_share_max: capped.iter().map(left).fold(0.0, f64::max),
        baseline_vm_moved_max: max_moved(&immediate),
        baseline_sum_moved_max: max_moved_per_minute(&weighted_sum(&immediate, &weights)),
    }
}

/// Returns a shift, its reversal, and the reversal of that. Each starts from the shares that are in
/// force when it is accepted.
fn generations() -> Vec<Shift> {
    let shares = |domain: &str| Shares::from([(domain.into(), 1.0)]);
    let mut from = shares("west");
    let mut result: Vec<Shift> = Vec::new();
    for (at, to) in ACCEPTED_MS.into_iter().zip(["east", "west", "east"]) {
        let start_ms = START_WALL_MS + at;
        if let Some(last) = result.last() {
            from = share_at(last, CAP_PER_MINUTE, start_ms);
        }
        result.push(Shift {
            from: from.clone(),
            to: shares(to),
            start_ms,
            reason: ShiftReason::Planned,
        });
    }
    result
}

/// Returns the shares of one entry VM over time, with the limiter and in the baseline.
fn simulate_vm(shifts: &[Shift], rng: &mut Rng) -> (ShareHistory, ShareHistory) {
    let adopted: Vec<u64> = ACCEPTED_MS
        .iter()
        .map(|at| at + rng.u64(..MAX_ADOPTION_DELAY_MS))
        .collect();
    let clock_error = rng.u64(..200);
    let start = shifts[0].from.clone();
    let mut limiter = ShiftLimiter::new(start.clone(), Duration::ZERO);
    let (mut capped, mut immediate) = (Vec::new(), Vec::new());
    let mut now_ms = 0;
    while now_ms < RUN_MS {
        let now = Duration::from_millis(now_ms);
        let shift = adopted.iter().rposition(|at| *at <= now_ms);
        let target = shift.map_or_else(
            || start.clone(),
            |i| {
                share_at(
                    &shifts[i],
                    CAP_PER_MINUTE,
                    START_WALL_MS + now_ms + clock_error,
                )
            },
        );
        capped.push((now, limiter.advance(&target, CAP_PER_MINUTE, now).clone()));
        immediate.push((now, shift.map_or(&start, |i| &shifts[i].to).clone()));
        // One step in 1,000 is a pause of up to 90 s.
        now_ms += if rng.u32(..1_000) == 0 {
            rng.u64(1_000..90_000)
        } else {
            rng.u64(300..700)
        };
    }
    (capped, immediate)
}

/// Returns the largest share moved in any minute.
fn max_moved_per_minute(history: &ShareHistory) -> f64 {
    let step = |w: &[(Duration, Shares)]| (w[1].0, moved_share(&w[0].1, &w[1].1));
    let moves: Vec<(Duration, f64)> = history.windows(2).map(step).collect();
    let (mut max_moved, mut moved_in_window, mut first) = (0.0f64, 0.0, 0);
    for (at, moved) in &moves {
        moved_in_window += moved;
        while moves[first].0 + Duration::from_mins(1) < *at {
            moved_in_window -= moves[first].1;
            first += 1;
        }
        max_moved = max_moved.max(moved_in_window);
    }
    max_moved
}

/// Returns the weighted sum over entry VMs at each time at which the shares of one of them change.
fn weighted_sum(histories: &[ShareHistory], weights: &[f64]) -> ShareHistory {
    let total: f64 = weights.iter().sum();
    let mut times: Vec<Duration> = histories.iter().flatten().map(|(t, _)| *t).collect();
    times.sort_unstable();
    times.dedup();
    let mut next = vec![0; histories.len()];
    let mut result = ShareHistory::new();
    for t in times {
        let mut shares = Shares::new();
        for ((history, weight), next) in histories.iter().zip(weights).zip(&mut next) {
            while history.get(*next).is_some_and(|(at, _)| *at <= t) {
                *next += 1;
            }
            for (d, s) in &history[*next - 1].1 {
                *shares.entry(d.clone()).or_default() += s * weight / total;
            }
        }
        result.push((t, shares));
    }
    result
}
