//! Counts of the requests that the stand-in engine executed.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::watch;

/// How many executions of requests with one tag started, finished and were cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Executions {
    /// Executions that started, including those that ended since.
    pub started: u32,
    /// Executions that produced a complete response.
    pub finished: u32,
    /// Executions that ended before they finished, such as when the client disconnected.
    pub cancelled: u32,
}

/// The executions by tag. Clones share one set of counts.
#[derive(Clone)]
pub struct ExecutionCounts {
    by_tag: Arc<Mutex<HashMap<String, Executions>>>,
    changes: watch::Sender<u64>,
}

impl Default for ExecutionCounts {
    fn default() -> Self {
        Self {
            by_tag: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl ExecutionCounts {
    /// Returns the executions of the requests with `tag`.
    #[must_use]
    pub fn of(&self, tag: &str) -> Executions {
        let by_tag = self.by_tag.lock().unwrap_or_else(PoisonError::into_inner);
        by_tag.get(tag).copied().unwrap_or_default()
    }

    /// Returns the sums over all tags.
    #[must_use]
    pub fn total(&self) -> Executions {
        let by_tag = self.by_tag.lock().unwrap_or_else(PoisonError::into_inner);
        by_tag
            .values()
            .fold(Executions::default(), |sum, one| Executions {
                started: sum.started + one.started,
                finished: sum.finished + one.finished,
                cancelled: sum.cancelled + one.cancelled,
            })
    }

    /// Waits until `condition` holds for the executions of `tag`.
    pub async fn wait_for(&self, tag: &str, condition: impl Fn(Executions) -> bool) {
        let mut changes = self.changes.subscribe();
        while !condition(self.of(tag)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the number of tags that were executed more than once.
    #[must_use]
    pub fn repeated_tags(&self) -> usize {
        let by_tag = self.by_tag.lock().unwrap_or_else(PoisonError::into_inner);
        by_tag.values().filter(|one| one.started > 1).count()
    }

    pub(crate) fn update(&self, tag: &str, change: impl FnOnce(&mut Executions)) {
        let mut by_tag = self.by_tag.lock().unwrap_or_else(PoisonError::into_inner);
        change(by_tag.entry(tag.to_owned()).or_default());
        drop(by_tag);
        self.changes.send_modify(|version| *version += 1);
    }
}
