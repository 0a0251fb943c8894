//! Which snapshots a node takes.

use std::sync::Arc;

use eel_record::Snapshot;
use eel_types::Revision;

/// What became of a snapshot that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Accepted,
    /// A snapshot of the same revision is in force already.
    Unchanged,
    /// A newer snapshot is in force; this one was dropped.
    Stale,
}

/// The snapshot in force. Its revision only ever grows, whatever is offered, in whatever order.
#[derive(Clone, Debug, Default)]
pub struct CurrentSnapshot {
    snapshot: Arc<Snapshot>,
}

impl CurrentSnapshot {
    /// Returns the snapshot in force; an empty one at revision 0 before the first was taken.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Takes `snapshot` if it is newer than the one in force.
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
