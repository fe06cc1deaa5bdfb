//! Processor time and memory of a process as reported by the kernel.

use std::time::Duration;
use std::{fs, io};

/// Ticks per second of the times in `/proc/PID/stat`; Linux reports them in units of 10 ms whatever
/// its own tick rate is.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time of all threads of a process so far, with a resolution of 10 ms.
pub fn cpu(pid: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name, which ends at the last ") ", may contain spaces; the fields after it do not.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let field = |n: usize| fields.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok());
    // `utime` and `stime` are fields 14 and 15; the state after the name is field 3.
    match (field(11), field(12)) {
        (Some(user), Some(system)) => {
            Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
        }
        _ => Err(io::Error::other(
            "/proc/PID/stat has no utime and stime fields",
        )),
    }
}

/// Returns the processor time of this process so far.
pub fn own_cpu() -> io::Result<Duration> {
    cpu(std::process::id())
}

/// Returns the resident bytes of a process.
pub fn resident(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|k| k * 1024)
        .ok_or_else(|| io::Error::other("/proc/PID/status has no VmRSS field"))
}
