//! The state machine that decides which snapshot is in force.

use std::sync::Arc;

use eel_record::Snapshot;
use eel_types::Revision;

/// The outcome of offering a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The snapshot is newer and is now in force.
    Accepted,
    /// A snapshot of the same revision is in force already.
    Unchanged,
    /// A newer snapshot is in force; the offered one was dropped.
    Stale,
}

/// The snapshot in force. Its revision never decreases, in whatever order snapshots are offered.
#[derive(Clone, Debug, Default)]
pub struct CurrentSnapshot {
    snapshot: Arc<Snapshot>,
}

impl CurrentSnapshot {
    /// Returns the snapshot in force; initially an empty one at revision 0.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the revision of the snapshot in force; initially 0.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Puts `snapshot` in force if it is newer than the current one.
    pub fn offer(&mut self, snapshot: Arc<Snapshot>) -> OfferOutcome {
        match snapshot.revision.cmp(&self.snapshot.revision) {
            std::cmp::Ordering::Less => OfferOutcome::Stale,
            std::cmp::Ordering::Equal => OfferOutcome::Unchanged,
            std::cmp::Ordering::Greater => {
                self.snapshot = snapshot;
                OfferOutcome::Accepted
            }
        }
    }
}
