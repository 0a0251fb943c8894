//! Which snapshots a node takes.

use std::sync::Arc;

use eel_record::Snapshot;
use eel_types::Revision;

/// What became of a snapshot that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in force now.
    Taken,
    /// A snapshot of the same revision is in force already.
    Same,
    /// A newer snapshot is in force; this one was dropped.
    Stale,
}

/// The snapshot in force. Its revision only ever grows, whatever is offered, in whatever order.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    snapshot: Arc<Snapshot>,
}

impl InForce {
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
    pub fn offer(&mut self, snapshot: Arc<Snapshot>) -> Offered {
        match snapshot.revision.cmp(&self.snapshot.revision) {
            std::cmp::Ordering::Less => Offered::Stale,
            std::cmp::Ordering::Equal => Offered::Same,
            std::cmp::Ordering::Greater => {
                self.snapshot = snapshot;
                Offered::Taken
            }
        }
    }
}
