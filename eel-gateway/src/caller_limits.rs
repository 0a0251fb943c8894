//! Derives the limits on callers from the memory and descriptors of the machine.

use std::fs;

use eel_settings::GatewayLimitSettings;

/// The memory without a setting, in MB, on a machine that has at least so much: bodies then have 512 MB.
const MAX_DEFAULT_MEMORY_MB: usize = 2_048;
/// The descriptors without a setting where the limit of the process cannot be read: the usual one of a service.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// The part of the memory for bodies and unread responses, and again for connections. The other half is for the idle
/// process (33 MB), running requests and the allocator.
const MEMORY_PART: usize = 4;
/// The part of the memory for the texts of unfinished items, out of the half for running requests.
const TEXT_PART: usize = 8;
/// What a connection holds at most besides bodies and responses, in KB: two heads of 16 KB.
const CONNECTION_KB: usize = 32;
/// The part of the descriptors that is kept for the store, peers, targets, readiness checks and files.
const RESERVED_PART: usize = 4;
/// The least number of descriptors that is kept: 64 of them are for readiness checks.
const MIN_RESERVED: usize = 96;

/// The limits on callers of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// The memory for bodies and unread responses, in bytes.
    pub(crate) body_bytes: usize,
    /// The maximum number of open connections of callers.
    pub(crate) connections: usize,
    /// The memory for the texts of unfinished items, in bytes.
    pub(crate) text_bytes: usize,
}

impl CallerLimits {
    /// Returns the limits of a node with these settings. Descriptors beyond the limit of the process do not count.
    pub(crate) fn of(settings: &GatewayLimitSettings) -> Self {
        let process_limit = open_files_limit();
        if let (Some(max), Some(limit)) = (settings.max_descriptors, process_limit)
            && max > limit
        {
            log::warn!(
                target: "node", max_descriptors = max, process_limit = limit;
                "The limit on open files of the process is below max_descriptors and holds in its place."
            );
        }
        let descriptors = [settings.max_descriptors, process_limit];
        let descriptors = descriptors.into_iter().flatten().min();
        Self::derive(
            settings.memory_mb.unwrap_or_else(default_memory_mb),
            descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        )
    }

    fn derive(memory_mb: usize, descriptors: usize) -> Self {
        let part_mb = memory_mb / MEMORY_PART;
        let reserved = (descriptors / RESERVED_PART).max(MIN_RESERVED);
        let by_descriptors = descriptors.saturating_sub(reserved).max(1);
        Self {
            body_bytes: part_mb * 1024 * 1024,
            connections: by_descriptors.min(part_mb * 1024 / CONNECTION_KB),
            text_bytes: memory_mb * 1024 * 1024 / TEXT_PART,
        }
    }
}

/// Returns the memory to assume without a setting, in MB: that of the machine, which the process has at the most.
fn default_memory_mb() -> usize {
    machine_memory_mb().map_or(MAX_DEFAULT_MEMORY_MB, |it| it.min(MAX_DEFAULT_MEMORY_MB))
}

/// Returns the memory of the machine, in MB; `None` where it cannot be read.
fn machine_memory_mb() -> Option<usize> {
    let info = fs::read_to_string("/proc/meminfo").ok()?;
    let line = info.lines().find_map(|it| it.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1024)
}

/// Returns the limit on open files of the process; `None` where it is unlimited or cannot be read.
fn open_files_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
