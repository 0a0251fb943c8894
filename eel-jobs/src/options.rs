//! Settings of batch job processing.

use eel_batch::{JobLimits, Policy};
use eel_types::Name;

/// Settings of batch job processing on an entry node.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of the entry node's VM.
    pub vm: Name,
    /// The prefix of all keys in the store, without a trailing slash.
    pub prefix: String,
    /// Whether the node claims chunks. If not, it only serves the API and maintains stored jobs.
    pub claims_enabled: bool,
    /// The maximum number of chunks that the node holds at once.
    pub parallel_chunks: usize,
    /// The time to live of the lease that the node's claims are attached to.
    pub lease_ttl_ms: u64,
    /// The limits on attempts and the intervals of commits.
    pub policy: Policy,
    /// The limits on the size of a job.
    pub limits: JobLimits,
    /// The time for which results stay readable after the deadline.
    pub retention_ms: u64,
}

impl Options {
    /// Returns the default settings for the node on `vm`, with its keys under `{prefix}/batch`.
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
