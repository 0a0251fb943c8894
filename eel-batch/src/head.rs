//! The stored values of a job other than its items and results.

use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::ChunkIndex;

/// The head of an accepted job, written after all of its chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The schema version of the stored value.
    pub schema: u32,
    /// The name of the caller that submitted the job.
    pub caller: Name,
    /// The name of the service that runs the items.
    pub service: Name,
    /// SHA-256 over the service, `repeatable` and the items, in hex; distinguishes a resend from a job with other
    /// content.
    pub digest: Name,
    /// A new random number for each submission, so that a read resolves a submission whose response was lost.
    pub token: u64,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// When the job was accepted, in Unix time.
    pub accepted_unix_ms: u64,
    /// The deadline of the last item, in Unix time.
    pub deadline_unix_ms: u64,
    /// How long the results are kept after the deadline.
    pub retention_ms: u64,
    /// The number of items of each chunk, in order.
    pub chunk_items: Vec<u32>,
}

impl Head {
    /// The schema version that this build writes.
    pub const SCHEMA: u32 = 1;

    /// Returns the number of items in all chunks.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunk_items.iter().sum()
    }

    /// Returns the indices of the chunks, in order.
    pub fn chunks(&self) -> impl Iterator<Item = ChunkIndex> + use<> {
        (0..u32::try_from(self.chunk_items.len()).unwrap_or(u32::MAX)).map(ChunkIndex)
    }

    /// Returns when the results may be removed, in Unix time.
    #[must_use]
    pub fn remove_unix_ms(&self) -> u64 {
        self.deadline_unix_ms.saturating_add(self.retention_ms)
    }
}

/// The stored value of an archived job, kept until its results are removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Archive {
    /// The head that accepted the job.
    pub head: Head,
    /// Whether the job was cancelled before it completed.
    pub cancelled: bool,
    /// The number of items that ended with an error.
    pub failed: u32,
}

/// The stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The name of the entry node that holds the chunk.
    pub holder: Name,
    /// A new random number for each claim, so that a read resolves a claim whose response was lost.
    pub token: u64,
}

/// The stored value of a done mark.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The number of items of the chunk that ended with an error.
    pub failed: u32,
}

/// The history of the earlier holders of a chunk, which outlives their claims.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The number of holders that did not release the chunk.
    pub lost_holders: u32,
    /// Whether an earlier holder may have sent items.
    pub sent: bool,
}
