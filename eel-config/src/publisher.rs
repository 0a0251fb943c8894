//! Shares the snapshot in force within a process.

use std::sync::{Arc, Mutex, PoisonError};

use eel_record::{Problem, Snapshot};
use tokio::sync::watch;

use crate::{CurrentSnapshot, OfferOutcome};

/// Takes snapshots from several sides and passes the one in force on. Clones share their state.
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
    /// Starts with an empty snapshot at revision 0.
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

    /// Offers a snapshot; everyone who subscribed sees it if it is newer than the one in force.
    pub fn offer(&self, snapshot: Arc<Snapshot>) -> OfferOutcome {
        let mut current = self
            .shared
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let offered = current.offer(Arc::clone(&snapshot));
        if offered == OfferOutcome::Accepted {
            // Sent under the lock, so that subscribers see revisions in order.
            self.shared.snapshots.send_replace(snapshot);
        }
        offered
    }

    /// Replaces the list of what keeps records from being in force.
    pub fn set_problems(&self, problems: Vec<Problem>) {
        self.shared.problems.send_if_modified(|known| {
            let is_new = **known != *problems;
            if is_new {
                *known = problems.into();
            }
            is_new
        });
    }

    /// Returns the snapshot in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.shared.snapshots.borrow())
    }

    /// Returns what keeps records from being in force.
    #[must_use]
    pub fn problems(&self) -> Arc<[Problem]> {
        Arc::clone(&self.shared.problems.borrow())
    }

    /// Follows the snapshot in force; its revision only grows.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshots.subscribe()
    }
}
