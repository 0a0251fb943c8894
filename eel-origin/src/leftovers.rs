//! Finds the records that nodes left in the store when they ended.
//!
//! The clock of the node that wrote a record may be wrong. The age of a record therefore counts from when this node first
//! read it, on its monotonic clock: it may be taken for younger than it is, but never for older.

use std::collections::HashMap;

/// How long after the first write of a record further streams may be added to it, in ms: its node does so for a second.
const MAX_GROWTH_MS: u64 = 10_000;

/// When this node first read each record, by key, in ms on its monotonic clock.
#[derive(Debug, Default)]
pub struct Leftovers {
    read_ms: HashMap<String, u64>,
}

impl Leftovers {
    /// Applies a read of all records, which has the keys `keys`.
    pub fn on_read<'a>(&mut self, now_ms: u64, keys: impl IntoIterator<Item = &'a str>) {
        let mut earlier = std::mem::take(&mut self.read_ms);
        let keys = keys.into_iter();
        self.read_ms = keys
            .map(|key| {
                let known = earlier.remove_entry(key);
                known.unwrap_or_else(|| (key.to_owned(), now_ms))
            })
            .collect();
    }

    /// Returns whether no stream of the record may be resumed any more, as each may be for `ttl_ms` after its start.
    #[must_use]
    pub fn contains(&self, now_ms: u64, ttl_ms: u64, key: &str) -> bool {
        let read_ms = self.read_ms.get(key);
        read_ms.is_some_and(|read_ms| now_ms >= read_ms + ttl_ms + MAX_GROWTH_MS)
    }

    /// Returns up to `limit` keys of records that can be removed.
    #[must_use]
    pub fn keys(&self, now_ms: u64, ttl_ms: u64, limit: usize) -> Vec<String> {
        let keys = self.read_ms.keys();
        let old = keys.filter(|key| self.contains(now_ms, ttl_ms, key));
        old.take(limit).cloned().collect()
    }

    /// Records that keys were removed from the store.
    pub fn on_removed(&mut self, keys: &[String]) {
        for key in keys {
            self.read_ms.remove(key);
        }
    }
}
