//! Processor time and memory of a process as the kernel reports them.

use std::time::Duration;
use std::{fs, io};

/// Ticks a second in `/proc/PID/stat`; Linux reports 100 whatever its own tick is.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time of all threads of a process so far, in steps of 10 ms.
pub fn cpu(pid: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name may contain blanks; the fields after it do not.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let field = |n: usize| fields.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok());
    // `utime` and `stime` are fields 14 and 15; the state after the name is field 3.
    match (field(11), field(12)) {
        (Some(user), Some(system)) => {
            Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
        }
        _ => Err(io::Error::other("/proc/PID/stat has no processor times")),
    }
}

/// Processor time of this process so far.
pub fn own_cpu() -> io::Result<Duration> {
    cpu(std::process::id())
}

/// Resident bytes of a process.
pub fn resident(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|k| k * 1024)
        .ok_or_else(|| io::Error::other("/proc/PID/status has no VmRSS"))
}
