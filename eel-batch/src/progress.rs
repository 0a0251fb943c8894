//! Progress of a job and the assembly of its results in item order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Archive, ChunkIndex, Done, Head, ItemIndex, ItemResult};

/// The state of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted, and some items have no result yet.
    InProgress,
    /// Cancelled, and some items have no result yet.
    Cancelling,
    /// Cancelled; every item has its result.
    Cancelled,
    /// Every item has its result.
    Completed,
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The state.
    pub state: JobState,
    /// The number of items.
    pub items: u32,
    /// The items of finished chunks that the service answered.
    pub completed: u32,
    /// The items of finished chunks that ended with an error.
    pub failed: u32,
}

impl Progress {
    /// Works out the progress from the finished chunks.
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

    /// Returns the progress of a job whose items all have results.
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

/// Puts the results of one chunk into item order; results come in any order, some later.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    next: u32,
    waiting: BTreeMap<ItemIndex, ItemResult>,
    duplicates: u32,
}

impl Assembler {
    /// Takes `result` and returns the results that are now next in order.
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

    /// Returns how many items came out.
    #[must_use]
    pub fn emitted(&self) -> u32 {
        self.next
    }

    /// Returns how many results came for an item that had one; always zero unless a commit was
    /// not fenced.
    #[must_use]
    pub fn duplicates(&self) -> u32 {
        self.duplicates
    }
}
