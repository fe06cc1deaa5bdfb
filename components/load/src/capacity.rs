//! Capacity measurements: slopes at three or more sizes each, printed as key=value lines.
//!
//! Times are the least of several repetitions on one thread. Memory is the growth of the
//! process's resident set; sizes ascend, so the peak after each size belongs to that size.

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

/// Lines of the report and what the measurements share.
pub(crate) struct Report<'a> {
    out: &'a mut dyn Write,
    /// Seed of all random data.
    seed: u64,
}

impl Report<'_> {
    /// Prints one measurement.
    fn line(&mut self, name: &str, pairs: &[(&str, &dyn Display)]) -> io::Result<()> {
        write!(self.out, "measure={name}")?;
        for (key, value) in pairs {
            write!(self.out, " {key}={value:.6}")?;
        }
        writeln!(self.out)
    }

    /// Prints the straight line through the points of a measurement.
    fn fit(&mut self, name: &str, points: &[(f64, f64)]) -> io::Result<()> {
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

/// Measurements that can be run alone.
pub const PARTS: [&str; 4] = ["state", "messages", "idle", "daemon"];

/// Runs all measurements, or one part of them, and prints them.
pub fn run(seed: u64, part: Option<&str>, out: &mut dyn Write) -> io::Result<()> {
    let started = Instant::now();
    let mut r = Report { out, seed };
    let includes = |name: &str| part.is_none_or(|p| p == name);
    if includes("state") {
        state(&mut r)?;
    }
    // The measurements block their thread, so the executor needs threads of its own.
    std::thread::spawn(|| runtime::block_on(THREADS, std::future::pending::<()>()));
    if includes("messages") {
        async_io::block_on(messages::measure(&mut r))?;
    }
    if includes("idle") {
        async_io::block_on(idle::measure(&mut r))?;
    }
    if includes("daemon") {
        async_io::block_on(daemon::measure(&mut r))?;
    }
    let elapsed = started.elapsed().as_secs_f64();
    writeln!(out, "capacity seed={seed} elapsed_s={elapsed:.1}")
}

/// State, messages without sockets and decisions.
fn state(r: &mut Report) -> io::Result<()> {
    // Memory first: later steps could take memory that earlier ones have freed.
    let records = records::measure(r)?;
    let maps = blocks::measure_memory(r)?;
    let configurations = configuration::measure_memory(r)?;
    blocks::measure(r, maps)?;
    drop((records, configurations));
    configuration::measure(r)?;
    steering::measure(r)
}

/// Least time of several runs.
fn least<T>(repetitions: usize, mut f: impl FnMut() -> T) -> Duration {
    let run = |_| {
        let started = Instant::now();
        std::hint::black_box(f());
        started.elapsed()
    };
    (0..repetitions).map(run).min().unwrap_or_default()
}

/// Least time of one of `count` calls, in nanoseconds.
fn each_ns<T>(count: usize, mut f: impl FnMut(usize) -> T) -> f64 {
    let all = least(5, || {
        for i in 0..count {
            std::hint::black_box(f(i));
        }
    });
    all.as_secs_f64() * 1e9 / count as f64
}
