//! What is stored of a job beside its items.

use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::ChunkIndex;

/// The head of an accepted job; written after all of its chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The schema version of this value.
    pub schema: u32,
    /// Who submitted the job.
    pub caller: Name,
    /// The service that the items are for.
    pub service: Name,
    /// SHA-256 over the terms and the items, in hex; tells a resend from another job.
    pub digest: Name,
    /// Drawn anew for each submission, so that a lost answer can be settled by reading.
    pub token: u64,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// When the job was accepted, in Unix time.
    pub accepted_unix_ms: u64,
    /// When the last item is due, in Unix time.
    pub deadline_unix_ms: u64,
    /// How long the results stay readable after the deadline.
    pub retention_ms: u64,
    /// The number of items of each chunk, in order.
    pub chunk_items: Vec<u32>,
}

impl Head {
    /// The schema version that this build writes.
    pub const SCHEMA: u32 = 1;

    /// Returns the number of items.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunk_items.iter().sum()
    }

    /// Returns the places of the chunks, in order.
    pub fn chunks(&self) -> impl Iterator<Item = ChunkIndex> + use<> {
        (0..u32::try_from(self.chunk_items.len()).unwrap_or(u32::MAX)).map(ChunkIndex)
    }

    /// Returns the time at which the results may be removed.
    #[must_use]
    pub fn remove_unix_ms(&self) -> u64 {
        self.deadline_unix_ms.saturating_add(self.retention_ms)
    }
}

/// What is kept of a job that has ended, until its results are removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Archive {
    /// The job's head.
    pub head: Head,
    /// Whether the job was cancelled before it was completed.
    pub cancelled: bool,
    /// The items that ended with an error.
    pub failed: u32,
}

/// The value of a claim: who holds the chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry node.
    pub holder: Name,
    /// Drawn anew for each claim, so that a lost answer can be settled by reading.
    pub token: u64,
}

/// The value of a done mark.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The items of the chunk that ended with an error.
    pub failed: u32,
}

/// What outlives the claims of a chunk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// How many holders did not hand the chunk back in order.
    pub lost_holders: u32,
    /// Whether an earlier holder may have sent items.
    pub sent: bool,
}
