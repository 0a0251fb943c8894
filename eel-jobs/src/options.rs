//! Settings of the batch part.

use eel_batch::{JobLimits, Policy};
use eel_types::Name;

/// Settings of the batch part of an entry node.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry node's VM.
    pub vm: Name,
    /// The prefix of all keys, without a final slash.
    pub prefix: String,
    /// Whether the node claims chunks.
    pub claims_enabled: bool,
    /// Chunks that the node works on at the same time.
    pub parallel_chunks: usize,
    /// The time to live of the node's lease.
    pub lease_ttl_ms: u64,
    /// The bounds of attempts and the rhythm of commits.
    pub policy: Policy,
    /// The largest job.
    pub limits: JobLimits,
    /// How long results stay readable after the deadline.
    pub retention_ms: u64,
}

impl Options {
    /// Settings with defaults for the node on `vm`, with its keys under `prefix`.
    #[must_use]
    pub fn new(vm: Name, prefix: &str) -> Self {
        const DAY_MS: u64 = 86_400_000;
        Self {
            vm,
            prefix: format!("{prefix}/batch"),
            claims_enabled: true,
            parallel_chunks: 8,
            lease_ttl_ms: 10_000,
            policy: Policy::default(),
            limits: JobLimits::default(),
            retention_ms: 7 * DAY_MS,
        }
    }
}
