//! Named experiments. Each runs a round-robin baseline and the decision code (the mechanism) on the
//! same requests and checks the results against fixed goals.

mod fairness;
mod head_of_line;
mod headroom;
mod region_loss;
mod report;
mod slow_servers;

pub use report::{Goal, Report};

use config::HouseId;

/// Runs an experiment with a seed; the report holds the figures and the goals.
pub type Experiment = fn(u64) -> Report;

/// Simulated experiments by name.
pub const ALL: [(&str, Experiment); 5] = [
    ("slow-servers", slow_servers::run),
    ("head-of-line", head_of_line::run),
    ("fairness", fairness::run),
    ("headroom", headroom::run),
    ("region-loss", region_loss::run),
];

/// Returns `n` houses that send the same number of requests, `rate` per second in total.
fn equal_houses(n: usize, rate: f64) -> Vec<(HouseId, f64)> {
    let house = |i: usize| (format!("house-{i:02}").into(), rate / n as f64);
    (0..n).map(house).collect()
}
