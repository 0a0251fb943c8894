//! One job, as a node has read it from the store.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::{Item, JobHead, ListedResult};

/// One job. It is accepted once its head and all its items have been read.
#[derive(Clone, Debug, Default)]
pub struct Job {
    head: Option<JobHead>,
    parts: BTreeMap<u32, Bytes>,
    items: Vec<Item>,
    early_chunks: BTreeMap<u32, Vec<ListedResult>>,
    chunks: u32,
    results: Vec<ListedResult>,
    /// The indices of the items whose results are listed. A malformed chunk may name any index.
    listed: BTreeSet<u32>,
    is_ended: bool,
}

impl Job {
    /// Returns the head; `None` until the job is accepted.
    #[must_use]
    pub fn head(&self) -> Option<&JobHead> {
        self.head
            .as_ref()
            .filter(|head| self.items.len() == head.items as usize)
    }

    /// Returns the items; the body of an item whose result is listed is empty.
    #[must_use]
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the results in their final positions.
    #[must_use]
    pub fn results(&self) -> &[ListedResult] {
        &self.results
    }

    /// Returns the number that the next chunk of results gets.
    #[must_use]
    pub fn next_chunk(&self) -> u32 {
        self.chunks
    }

    /// Returns the number of the last chunk of results; `None` if there is none.
    #[must_use]
    pub fn last_chunk(&self) -> Option<u32> {
        self.chunks.checked_sub(1)
    }

    /// Returns whether the result of `item` is listed.
    #[must_use]
    pub fn is_listed(&self, item: u32) -> bool {
        self.listed.contains(&item)
    }

    /// Returns whether the caller ended the job.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns whether the job is accepted, not ended, and has items without a listed result.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.is_ended && self.head().is_some() && self.results.len() < self.items.len()
    }

    pub(crate) fn set_head(&mut self, head: JobHead) {
        self.head = Some(head);
        self.assemble();
    }

    pub(crate) fn set_part(&mut self, number: u32, value: Bytes) {
        if self.items.is_empty() {
            self.parts.insert(number, value);
            self.assemble();
        }
    }

    pub(crate) fn set_chunk(&mut self, number: u32, results: Vec<ListedResult>) {
        if number < self.chunks {
            return;
        }
        self.early_chunks.insert(number, results);
        while let Some(results) = self.early_chunks.remove(&self.chunks) {
            self.chunks += 1;
            for result in results {
                self.list(result);
            }
        }
    }

    pub(crate) fn set_ended(&mut self) {
        self.is_ended = true;
    }

    fn list(&mut self, result: ListedResult) {
        self.listed.insert(result.item);
        if let Some(item) = self.items.get_mut(result.item as usize) {
            item.body = Bytes::new();
        }
        self.results.push(result);
    }

    fn assemble(&mut self) {
        let Some(head) = &self.head else {
            return;
        };
        if !self.items.is_empty() || self.parts.len() < head.parts as usize {
            return;
        }
        let bytes: Vec<u8> = self.parts.values().flatten().copied().collect();
        match postcard::from_bytes::<Vec<Item>>(&bytes) {
            Ok(items) => self.items = items,
            Err(_) => self.head = None,
        }
        self.parts.clear();
        for &index in &self.listed {
            if let Some(item) = self.items.get_mut(index as usize) {
                item.body = Bytes::new();
            }
        }
    }
}
