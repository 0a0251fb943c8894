//! The progress of a job, and the assembly of its results in item order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Archive, ChunkIndex, Done, Head, ItemIndex, ItemResult};

/// The state of a job as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is accepted, and some items have no result yet.
    InProgress,
    /// The job is cancelled, and some items have no result yet.
    Cancelling,
    /// The job is cancelled, and every item has its result.
    Cancelled,
    /// The job was not cancelled, and every item has its result.
    Completed,
}

/// The progress of a job, counted in finished chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether the job is running, cancelled or completed.
    pub state: JobState,
    /// The number of items in the job.
    pub items: u32,
    /// The number of items in finished chunks with a response of the service.
    pub completed: u32,
    /// The number of items in finished chunks that ended with an error.
    pub failed: u32,
}

impl Progress {
    /// Computes the progress of a live job from its finished chunks.
    #[must_use]
    pub fn new(head: &Head, done: &BTreeMap<ChunkIndex, Done>, cancelled: bool) -> Self {
        let chunks = head.chunks().zip(&head.chunk_items);
        let ended: u32 = chunks
            .filter(|(chunk, _)| done.contains_key(chunk))
            .map(|(_, items)| items)
            .sum();
        let failed = done.values().map(|done| done.failed).sum();
        Self::from_counts(head.items(), ended, failed, cancelled)
    }

    /// Computes the progress of an archived job, whose items all have results.
    #[must_use]
    pub fn ended(archive: &Archive) -> Self {
        let items = archive.head.items();
        Self::from_counts(items, items, archive.failed, archive.cancelled)
    }

    fn from_counts(items: u32, ended: u32, failed: u32, cancelled: bool) -> Self {
        let state = match (ended == items, cancelled) {
            (true, true) => JobState::Cancelled,
            (true, false) => JobState::Completed,
            (false, true) => JobState::Cancelling,
            (false, false) => JobState::InProgress,
        };
        Self {
            state,
            items,
            completed: ended - failed,
            failed,
        }
    }
}

/// Puts the results of one chunk, which arrive in any order, into item order.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    next: u32,
    waiting: BTreeMap<ItemIndex, ItemResult>,
    duplicates: u32,
}

impl Assembler {
    /// Adds `result` and returns the results that are next in item order. A second result of an item is ignored.
    pub fn push(&mut self, result: ItemResult) -> Vec<ItemResult> {
        let known = result.item.0 < self.next || self.waiting.contains_key(&result.item);
        if known {
            self.duplicates += 1;
            return Vec::new();
        }
        self.waiting.insert(result.item, result);
        let mut ready = Vec::new();
        while let Some(result) = self.waiting.remove(&ItemIndex(self.next)) {
            ready.push(result);
            self.next += 1;
        }
        ready
    }

    /// Returns the number of results that [`Assembler::push`] has returned.
    #[must_use]
    pub fn emitted(&self) -> u32 {
        self.next
    }

    /// Returns the number of ignored second results; 0 unless a commit was not fenced.
    #[must_use]
    pub fn duplicates(&self) -> u32 {
        self.duplicates
    }
}
