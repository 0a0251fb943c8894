//! The records of the store at one revision.

use std::collections::BTreeMap;

use bytes::Bytes;
use eel_record::{Snapshot, SnapshotOutcome, StoredRecord};
use eel_store::{KeyValuePair, WatchEvent};
use eel_types::Revision;

/// What an event of the watch did to the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// Changes of a revision have come in, or none that matter; the revision is not complete yet.
    Pending,
    /// The records are those of a later revision now.
    Complete,
    /// Changes are missing: the records have to be read afresh.
    Compacted,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Stored {
    revision: Revision,
    value: Bytes,
}

/// The records under one prefix, as the store held them at one revision. Changes of a revision appear together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    prefix: String,
    revision: Revision,
    stored: BTreeMap<String, Stored>,
    pending: Vec<WatchEvent>,
}

impl Records {
    /// Starts from a read of all keys under `prefix` at `revision`.
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

    /// The revision that the records reflect.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes in one event of the watch that started after the read.
    pub fn on_event(&mut self, event: WatchEvent) -> EventOutcome {
        match event {
            WatchEvent::Put(_) | WatchEvent::Delete { .. } => {
                self.pending.push(event);
                EventOutcome::Pending
            }
            WatchEvent::Progress { revision } => self.complete(revision),
            WatchEvent::Compacted { .. } => EventOutcome::Compacted,
        }
    }

    /// Builds the snapshot of these records that follows `previous`.
    #[must_use]
    pub fn snapshot(&self, previous: &Snapshot) -> SnapshotOutcome {
        let stored = self.stored.iter().map(|(path, stored)| StoredRecord {
            path: path.as_str().into(),
            revision: stored.revision,
            value: stored.value.to_vec(),
        });
        Snapshot::from_records(self.revision, previous, stored)
    }

    /// Applies the pending changes. Without any, the configuration stays as it is, and so does its revision.
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
