//! Memory of this process as reported by the kernel.

use std::{fs, io};

/// Returns the resident bytes.
pub fn resident() -> io::Result<u64> {
    field("VmRSS:")
}

/// Returns the peak of resident bytes since the start of the process or the last reset.
pub fn peak() -> io::Result<u64> {
    field("VmHWM:")
}

/// Resets the peak to the current resident bytes.
pub fn reset_peak() -> io::Result<()> {
    fs::write("/proc/self/clear_refs", "5")
}

fn field(name: &str) -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    let missing = || io::Error::other(format!("/proc/self/status has no {name}"));
    kib.map(|k| k * 1024).ok_or_else(missing)
}
