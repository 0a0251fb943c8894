//! Shares the snapshot in force within a process.

use std::sync::{Arc, Mutex, PoisonError};

use eel_record::{Problem, Snapshot};
use tokio::sync::watch;

use crate::{CurrentSnapshot, OfferOutcome};

/// Accepts snapshots from several sources and publishes the one in force to subscribers. Clones share their state.
#[derive(Clone, Debug)]
pub struct Publisher {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    current: Mutex<CurrentSnapshot>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    problems: watch::Sender<Arc<[Problem]>>,
}

impl Default for Publisher {
    fn default() -> Self {
        Self::new()
    }
}

impl Publisher {
    /// Creates a publisher with an empty snapshot at revision 0 in force.
    #[must_use]
    pub fn new() -> Self {
        let current = CurrentSnapshot::default();
        let snapshots = watch::Sender::new(Arc::clone(current.snapshot()));
        let shared = Shared {
            current: Mutex::new(current),
            snapshots,
            problems: watch::Sender::new(Arc::from([])),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Puts `snapshot` in force and publishes it if it is newer than the current one.
    pub fn offer(&self, snapshot: Arc<Snapshot>) -> OfferOutcome {
        let mut current = self
            .shared
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let offered = current.offer(Arc::clone(&snapshot));
        if offered == OfferOutcome::Accepted {
            // Sent while the lock is held, so that subscribers see revisions in order.
            self.shared.snapshots.send_replace(snapshot);
        }
        offered
    }

    /// Replaces the list of problems that keep records from being in force.
    pub fn set_problems(&self, problems: Vec<Problem>) {
        self.shared.problems.send_if_modified(|known| {
            let is_new = **known != *problems;
            if is_new {
                *known = problems.into();
            }
            is_new
        });
    }

    /// Returns the snapshot in force; initially an empty one at revision 0.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.shared.snapshots.borrow())
    }

    /// Returns the problems that keep the newest versions of records from being in force.
    #[must_use]
    pub fn problems(&self) -> Arc<[Problem]> {
        Arc::clone(&self.shared.problems.borrow())
    }

    /// Returns a receiver of the snapshot in force, whose revision never decreases.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshots.subscribe()
    }
}
