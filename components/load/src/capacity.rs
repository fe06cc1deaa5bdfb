//! Capacity measurements. Each cost is measured at three or more sizes, and a straight line is fitted
//! through the results; both are printed as `key=value` lines.
//!
//! Times are the minimum of several repetitions on one thread. Memory is the growth of the resident
//! set of the process; sizes are measured in ascending order, so that the peak after each size
//! belongs to that size.

mod blocks;
mod configuration;
mod daemon;
mod fit;
mod fleet;
mod forwarder;
mod idle;
mod keepalive;
mod memory;
mod messages;
mod process;
mod records;
mod steering;

use std::fmt::Display;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use fit::Fit;

/// Executor threads of the measurements over sockets.
const THREADS: usize = 3;

/// Output of the measurements, and their common parameters.
pub(crate) struct CapacityReport<'a> {
    out: &'a mut dyn Write,
    /// Seed of the generated data.
    seed: u64,
}

impl CapacityReport<'_> {
    /// Prints one measurement.
    fn print_line(&mut self, name: &str, pairs: &[(&str, &dyn Display)]) -> io::Result<()> {
        write!(self.out, "measure={name}")?;
        for (key, value) in pairs {
            write!(self.out, " {key}={value:.6}")?;
        }
        writeln!(self.out)
    }

    /// Prints the straight line fitted to the points of a measurement.
    fn print_fit(&mut self, name: &str, points: &[(f64, f64)]) -> io::Result<()> {
        let Fit {
            slope,
            intercept,
            r2,
        } = Fit::new(points);
        writeln!(
            self.out,
            "fit={name} points={} slope={slope:.6} intercept={intercept:.6} r2={r2:.6}",
            points.len()
        )
    }
}

/// Parts of the measurements that can be run separately.
pub const PARTS: [&str; 4] = ["state", "messages", "idle", "daemon"];

/// Runs all measurements, or one part of them, and prints the results.
pub fn run(seed: u64, part: Option<&str>, out: &mut dyn Write) -> io::Result<()> {
    let started = Instant::now();
    let mut report = CapacityReport { out, seed };
    let includes = |name: &str| part.is_none_or(|p| p == name);
    if includes("state") {
        measure_state(&mut report)?;
    }
    // The measurements block their thread, so the executor needs threads of its own.
    std::thread::spawn(|| runtime::block_on(THREADS, std::future::pending::<()>()));
    if includes("messages") {
        async_io::block_on(messages::measure(&mut report))?;
    }
    if includes("idle") {
        async_io::block_on(idle::measure(&mut report))?;
    }
    if includes("daemon") {
        async_io::block_on(daemon::measure(&mut report))?;
    }
    let elapsed = started.elapsed().as_secs_f64();
    writeln!(out, "capacity seed={seed} elapsed_s={elapsed:.1}")
}

/// Measures in-memory state, encoded sizes and decisions, without sockets.
fn measure_state(report: &mut CapacityReport) -> io::Result<()> {
    // Memory is measured first, because later steps can reuse memory that earlier ones freed.
    let records = records::measure(report)?;
    let maps = blocks::measure_memory(report)?;
    let configurations = configuration::measure_memory(report)?;
    blocks::measure(report, maps)?;
    drop((records, configurations));
    configuration::measure(report)?;
    steering::measure(report)
}

/// Returns the minimum time of several calls.
fn min_time<T>(repetitions: usize, mut call: impl FnMut() -> T) -> Duration {
    let run = |_| {
        let started = Instant::now();
        std::hint::black_box(call());
        started.elapsed()
    };
    (0..repetitions).map(run).min().unwrap_or_default()
}

/// Returns the time per call in nanoseconds, as the minimum of five series of `count` calls.
fn min_ns_per_call<T>(count: usize, mut call: impl FnMut(usize) -> T) -> f64 {
    let all = min_time(5, || {
        for i in 0..count {
            std::hint::black_box(call(i));
        }
    });
    all.as_secs_f64() * 1e9 / count as f64
}
