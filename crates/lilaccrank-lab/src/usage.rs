//! What the system says that a process uses.

use std::fs;
use std::io;

use crate::stand_in::Result;

/// Seconds on a processor over all threads, to the nanosecond; /proc/PID/stat counts in ticks
/// of 10 ms, which an idle daemon hardly reaches.
pub(crate) fn processor_s(id: u32) -> Result<f64> {
    let mut total = 0.0;
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let ns = text
            .split_whitespace()
            .next()
            .and_then(|ns| ns.parse().ok());
        let ns: f64 = ns.ok_or_else(|| io::Error::other("schedstat can't be read"))?;
        total += ns / 1e9;
    }
    Ok(total)
}

/// Largest resident memory so far.
pub(crate) fn peak_kb(id: u32) -> Result<f64> {
    status_kb(id, "VmHWM:")
}

/// Resident memory.
pub(crate) fn resident_kb(id: u32) -> Result<f64> {
    status_kb(id, "VmRSS:")
}

fn status_kb(id: u32, name: &str) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kb.ok_or_else(|| io::Error::other(format!("no {name} in the status of a process")))
}
