//! Builds the configuration records at one revision of the store from a read and a watch.

use std::collections::BTreeMap;

use bytes::Bytes;
use eel_record::{Snapshot, SnapshotOutcome, StoredRecord};
use eel_store::{KeyValuePair, WatchEvent};
use eel_types::Revision;

/// The effect of a watch event on the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// The records are unchanged: the changes of a revision are still incomplete, or the event carries no change.
    Pending,
    /// All changes of a revision were applied; the records reflect that revision.
    Complete,
    /// The store has compacted changes that were not received; all records have to be read again.
    Compacted,
}

/// The value of a record and the revision that last modified it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Stored {
    revision: Revision,
    value: Bytes,
}

/// The records under one prefix at one revision of the store. The changes of a revision are applied together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    prefix: String,
    revision: Revision,
    /// The records by key without the prefix.
    stored: BTreeMap<String, Stored>,
    /// Changes received since the last progress event.
    pending: Vec<WatchEvent>,
}

impl Records {
    /// Creates the records from `pairs`, a read of all keys under `prefix` at `revision`.
    #[must_use]
    pub fn new(prefix: &str, revision: Revision, pairs: Vec<KeyValuePair>) -> Self {
        let mut records = Self {
            prefix: prefix.into(),
            revision,
            ..Self::default()
        };
        for pair in pairs {
            records.put(pair);
        }
        records
    }

    /// Returns the store's revision that the records reflect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Processes one event of a watch that starts at the revision after the read. A progress event applies the changes
    /// received before it.
    pub fn on_event(&mut self, event: WatchEvent) -> EventOutcome {
        match event {
            WatchEvent::Put(_) | WatchEvent::Delete { .. } => {
                self.pending.push(event);
                EventOutcome::Pending
            }
            WatchEvent::Progress { revision, .. } => self.complete(revision),
            WatchEvent::Compacted { .. } => EventOutcome::Compacted,
        }
    }

    /// Builds the snapshot of these records. A record that is not valid stays in force in its version of `previous`.
    #[must_use]
    pub fn snapshot(&self, previous: &Snapshot) -> SnapshotOutcome {
        let stored = self.stored.iter().map(|(path, stored)| StoredRecord {
            path: path.as_str().into(),
            revision: stored.revision,
            value: stored.value.to_vec(),
        });
        Snapshot::from_records(self.revision, previous, stored)
    }

    /// Applies the pending changes. Without any, neither the records nor their revision change.
    fn complete(&mut self, revision: Revision) -> EventOutcome {
        if self.pending.is_empty() {
            return EventOutcome::Pending;
        }
        for event in std::mem::take(&mut self.pending) {
            match event {
                WatchEvent::Put(pair) => self.put(pair),
                WatchEvent::Delete { key, .. } => self.delete(&key),
                WatchEvent::Progress { .. } | WatchEvent::Compacted { .. } => {}
            }
        }
        self.revision = self.revision.max(revision);
        EventOutcome::Complete
    }

    fn put(&mut self, pair: KeyValuePair) {
        let Some(path) = pair.key.strip_prefix(&self.prefix) else {
            return;
        };
        let stored = Stored {
            revision: pair.mod_revision,
            value: pair.value,
        };
        self.stored.insert(path.to_owned(), stored);
    }

    fn delete(&mut self, key: &str) {
        if let Some(path) = key.strip_prefix(&self.prefix) {
            self.stored.remove(path);
        }
    }
}
