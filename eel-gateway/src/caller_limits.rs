//! Derives the limits on callers from the memory and descriptors of the machine.

use std::fs;

use eel_settings::GatewayLimitSettings;

/// The memory without a setting, in MB: bodies then have 512 MB.
const DEFAULT_MEMORY_MB: usize = 2_048;
/// The descriptors without a setting where the limit of the process cannot be read: the usual one of a service.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// The part of the memory for bodies and unread responses, and again for connections. The other half is for the idle
/// process (33 MB), running requests and the allocator.
const MEMORY_PART: usize = 4;
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
            settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
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
        }
    }
}

/// Returns the limit on open files of the process; `None` where it is unlimited or cannot be read.
fn open_files_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
