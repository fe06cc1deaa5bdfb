//! Experiment `shift`: a planned shift is reversed twice on its way while nodes adopt each
//! generation late, read platform time with an error and are paused now and then.
//!
//! Measured is the largest share that moves in any minute, on each node and in the weighted sum.
//! The baseline is nodes that take the target shares at once when they adopt a generation.

use std::fmt;
use std::time::Duration;

use config::{Shift, ShiftReason, moved_share, share_at};
use fastrand::Rng;
use routing::Shares;
use routing::shift::ShiftLimiter;

/// Nodes.
const NODES: usize = 24;
/// Largest share moved per minute.
const CAP: f64 = 0.1;
/// Times at which a generation is accepted, in milliseconds since the start.
const ACCEPTED: [u64; 3] = [10_000, 200_000, 320_000];
/// Longest time until a node adopts a generation.
const ADOPTION_MS: u64 = 10_000;
/// Duration of the run: the way takes about 14 minutes at the cap, and time paused does not count.
const RUN_MS: u64 = 1_500_000;
/// Platform time at the start of the run.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Positions of one node or of their sum over time.
type Path = Vec<(Duration, Shares)>;

/// Result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Cap per minute.
    pub cap: f64,
    /// Largest share moved in a minute on any node.
    pub node_worst: f64,
    /// The same in the weighted sum over nodes.
    pub sum_worst: f64,
    /// Largest share still to be moved on any node at the end.
    pub left_over: f64,
    /// Largest share moved in a minute on any node of the baseline.
    pub baseline_node_worst: f64,
    /// The same in the weighted sum over nodes.
    pub baseline_sum_worst: f64,
}

impl Report {
    /// Whether the cap held everywhere and every node arrived.
    pub fn met(&self) -> bool {
        let limit = self.cap + 1e-9;
        self.node_worst <= limit && self.sum_worst <= limit && self.left_over < 1e-9
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "nodes={NODES} generations={} reversals=2",
            ACCEPTED.len()
        )?;
        writeln!(f, "adoption_delay_max_ms={ADOPTION_MS} run_ms={RUN_MS}")?;
        writeln!(f, "cap_per_minute={:.4}", self.cap)?;
        writeln!(f, "node_moved_per_minute_max={:.4}", self.node_worst)?;
        writeln!(f, "sum_moved_per_minute_max={:.4}", self.sum_worst)?;
        writeln!(f, "left_over_share_max={:.4}", self.left_over)?;
        writeln!(
            f,
            "baseline=jump-at-adoption baseline_node_moved_per_minute_max={:.4} \
             baseline_sum_moved_per_minute_max={:.4}",
            self.baseline_node_worst, self.baseline_sum_worst
        )?;
        let verdict = if self.met() { "met" } else { "missed" };
        write!(f, "experiment=shift seed={} verdict={verdict}", self.seed)
    }
}

/// Runs the experiment in simulated time.
pub fn run(seed: u64) -> Report {
    let mut rng = Rng::with_seed(seed);
    let shifts = generations();
    let target = shifts[2].to.clone();
    let weights: Vec<f64> = (0..NODES).map(|_| 0.5 + rng.f64()).collect();
    let nodes: Vec<(Path, Path)> = (0..NODES).map(|_| node(&shifts, &mut rng)).collect();
    let (limited, jumping): (Vec<Path>, Vec<Path>) = nodes.into_iter().unzip();
    let worst = |paths: &[Path]| paths.iter().map(worst_minute).fold(0.0, f64::max);
    let left = |path: &Path| path.last().map_or(1.0, |(_, s)| moved_share(s, &target));
    Report {
        seed,
        cap: CAP,
        node_worst: worst(&limited),
        sum_worst: worst_minute(&sum(&limited, &weights)),
        left_over: limited.iter().map(left).fold(0.0, f64::max),
        baseline_node_worst: worst(&jumping),
        baseline_sum_worst: worst_minute(&sum(&jumping, &weights)),
    }
}

/// A shift, its reversal and the reversal of that, each from the shares in force by then.
fn generations() -> Vec<Shift> {
    let shares = |domain: &str| Shares::from([(domain.into(), 1.0)]);
    let mut from = shares("west");
    let mut out: Vec<Shift> = Vec::new();
    for (at, to) in ACCEPTED.into_iter().zip(["east", "west", "east"]) {
        let start_ms = EPOCH_MS + at;
        if let Some(last) = out.last() {
            from = share_at(last, CAP, start_ms);
        }
        out.push(Shift {
            from: from.clone(),
            to: shares(to),
            start_ms,
            reason: ShiftReason::Planned,
        });
    }
    out
}

/// Path of one node with the limiter, and of one that jumps.
fn node(shifts: &[Shift], rng: &mut Rng) -> (Path, Path) {
    let adopted: Vec<u64> = ACCEPTED
        .iter()
        .map(|at| at + rng.u64(..ADOPTION_MS))
        .collect();
    let clock_error = rng.u64(..200);
    let start = shifts[0].from.clone();
    let mut limiter = ShiftLimiter::new(start.clone(), Duration::ZERO);
    let (mut capped, mut jumping) = (Vec::new(), Vec::new());
    let mut now_ms = 0;
    while now_ms < RUN_MS {
        let now = Duration::from_millis(now_ms);
        let shift = adopted.iter().rposition(|at| *at <= now_ms);
        let target = shift.map_or_else(
            || start.clone(),
            |i| share_at(&shifts[i], CAP, EPOCH_MS + now_ms + clock_error),
        );
        capped.push((now, limiter.advance(&target, CAP, now).clone()));
        jumping.push((now, shift.map_or(&start, |i| &shifts[i].to).clone()));
        // One round in 1,000 is a pause of up to a minute and a half.
        now_ms += if rng.u32(..1_000) == 0 {
            rng.u64(1_000..90_000)
        } else {
            rng.u64(300..700)
        };
    }
    (capped, jumping)
}

/// Largest share moved in any minute.
fn worst_minute(path: &Path) -> f64 {
    let step = |w: &[(Duration, Shares)]| (w[1].0, moved_share(&w[0].1, &w[1].1));
    let moves: Vec<(Duration, f64)> = path.windows(2).map(step).collect();
    let (mut worst, mut inside, mut first) = (0.0f64, 0.0, 0);
    for (at, moved) in &moves {
        inside += moved;
        while moves[first].0 + Duration::from_mins(1) < *at {
            inside -= moves[first].1;
            first += 1;
        }
        worst = worst.max(inside);
    }
    worst
}

/// Weighted sum over nodes at every time at which one of them has a new position.
fn sum(paths: &[Path], weights: &[f64]) -> Path {
    let total: f64 = weights.iter().sum();
    let mut times: Vec<Duration> = paths.iter().flatten().map(|(t, _)| *t).collect();
    times.sort_unstable();
    times.dedup();
    let mut next = vec![0; paths.len()];
    let mut out = Path::new();
    for t in times {
        let mut shares = Shares::new();
        for ((path, weight), next) in paths.iter().zip(weights).zip(&mut next) {
            while path.get(*next).is_some_and(|(at, _)| *at <= t) {
                *next += 1;
            }
            for (d, s) in &path[*next - 1].1 {
                *shares.entry(d.clone()).or_default() += s * weight / total;
            }
        }
        out.push((t, shares));
    }
    out
}
