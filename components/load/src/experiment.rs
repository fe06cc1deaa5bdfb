//! Named experiments: each compares a plain baseline with the mechanism on the same requests and
//! checks goals that are fixed in advance.

mod fairness;
mod head_of_line;
mod headroom;
mod region_loss;
mod report;
mod slow_servers;

pub use report::{Goal, Report};

use config::HouseId;

/// An experiment: takes the seed, returns what was measured and which goals were missed.
pub type Experiment = fn(u64) -> Report;

/// All experiments by name.
pub const ALL: [(&str, Experiment); 5] = [
    ("slow-servers", slow_servers::run),
    ("head-of-line", head_of_line::run),
    ("fairness", fairness::run),
    ("headroom", headroom::run),
    ("region-loss", region_loss::run),
];

/// Names of `n` houses with equal traffic that adds up to `rate` requests per second.
fn equal_houses(n: usize, rate: f64) -> Vec<(HouseId, f64)> {
    let house = |i: usize| (format!("house-{i:02}").into(), rate / n as f64);
    (0..n).map(house).collect()
}
