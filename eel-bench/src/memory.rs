//! Reads memory and CPU time of a process from `/proc`.

use std::fs;

/// The unit of CPU time in `/proc`: clock ticks per second (`USER_HZ`).
const TICKS_PER_S: u64 = 100;

/// Memory and CPU time that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The peak resident set size, in kB.
    pub peak_kb: u64,
    /// CPU time in user and kernel mode, in milliseconds.
    pub cpu_ms: u64,
}

/// Returns the usage of the process `pid`, or `None` if there is no such process or no `/proc`.
#[must_use]
pub fn usage(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kb = peak.split_whitespace().next()?.parse().ok()?;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command (field 2) may contain spaces, so the fields are counted from its closing parenthesis; user and system
    // time then have the indices 11 and 12.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    Some(Usage {
        peak_kb,
        cpu_ms: ticks * 1_000 / TICKS_PER_S,
    })
}

/// Returns the resident set size of this process in kB, or `None` if there is no `/proc`.
#[must_use]
pub fn resident_kb() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    resident.split_whitespace().next()?.parse().ok()
}
