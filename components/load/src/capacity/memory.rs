//! Memory of this process as the kernel reports it.

use std::{fs, io};

/// Resident bytes now.
pub fn resident() -> io::Result<u64> {
    field("VmRSS:")
}

/// Most resident bytes since the start of the process or the last reset.
pub fn peak() -> io::Result<u64> {
    field("VmHWM:")
}

/// Lets the peak start again from the resident bytes now.
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
