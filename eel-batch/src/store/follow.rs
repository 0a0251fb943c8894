//! Reads and watches the state of all live jobs.

use eel_store::{KeyValue, KeyValuePair, RangeRequest, WatchEvent, WatchOptions};
use eel_types::Revision;
use error_stack::ResultExt as _;

use super::{Error, JobStore, StoreResult, from_json};
use crate::{Change, Claim, JobId, StateKey};

/// The maximum number of keys in one read.
const PAGE_KEYS: u32 = 5_000;

/// The state of all live jobs at one revision.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The changes that build the state from empty [`LiveJobs`](crate::LiveJobs), heads first.
    pub changes: Vec<Change>,
    /// The revision of the store at which the state was read.
    pub revision: Revision,
}

/// A decoded watch event.
#[derive(Clone, Debug)]
pub enum StateEvent {
    /// The state of a job changed.
    Change(Change),
    /// The event changes no job.
    Unrelated,
    /// Changes were compacted away: a new snapshot must be read.
    Lost,
}

impl<S: KeyValue> JobStore<S> {
    /// Reads the state of all live jobs at one revision.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond.
    pub async fn snapshot(&self) -> StoreResult<Snapshot> {
        let mut request = RangeRequest {
            limit: PAGE_KEYS,
            ..RangeRequest::prefix(self.keys.states())
        };
        let mut changes = Vec::new();
        loop {
            let page = self.store.range(&request).await;
            let page = page.change_context(Error::Store)?;
            changes.extend(page.kvs.iter().filter_map(|pair| self.change(pair)));
            let revision = *request.revision.get_or_insert(page.revision);
            match page.kvs.last() {
                Some(last) if page.more => request.after = Some(last.key.clone()),
                _ => {
                    // In key order, heads come after the claims and done marks of their chunks.
                    changes.sort_by_key(|change| !matches!(change, Change::Accepted(..)));
                    return Ok(Snapshot { changes, revision });
                }
            }
        }
    }

    /// Watches all state changes after `revision`.
    #[must_use]
    pub fn watch(&self, revision: Revision) -> S::Watch {
        self.store.watch(WatchOptions {
            prefix: self.keys.states(),
            from_revision: Some(Revision(revision.0 + 1)),
        })
    }

    /// Decodes an event of [`JobStore::watch`].
    #[must_use]
    pub fn decode_event(&self, event: &WatchEvent) -> StateEvent {
        let change = match event {
            WatchEvent::Put(pair) => self.change(pair),
            WatchEvent::Delete { key, .. } => self.deletion(key),
            WatchEvent::Progress { .. } => None,
            WatchEvent::Compacted { .. } => return StateEvent::Lost,
        };
        change.map_or(StateEvent::Unrelated, StateEvent::Change)
    }

    /// Reads the jobs that were cancelled at revision `from` or later, and the revision of the read.
    ///
    /// The cost does not depend on the number of live jobs.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond.
    pub async fn cancels(&self, from: Revision) -> StoreResult<(Vec<JobId>, Revision)> {
        let request = RangeRequest {
            keys_only: true,
            min_mod_revision: Some(from),
            ..RangeRequest::prefix(self.keys.cancels())
        };
        let range = self.store.range(&request).await;
        let range = range.change_context(Error::Store)?;
        let jobs = range.kvs.iter();
        let jobs = jobs.filter_map(|pair| match self.keys.parse_state(&pair.key) {
            Some(StateKey::Cancel(job)) => Some(job),
            _ => None,
        });
        Ok((jobs.collect(), range.revision))
    }

    fn change(&self, pair: &KeyValuePair) -> Option<Change> {
        let change = match self.keys.parse_state(&pair.key)? {
            StateKey::Head(job) => Change::Accepted(job, from_json(&pair.value).ok()?),
            StateKey::Cancel(job) => Change::Cancelled(job),
            StateKey::Claim(job, chunk) => {
                let claim: Claim = from_json(&pair.value).ok()?;
                Change::Claimed(job, chunk, claim)
            }
            StateKey::Done(job, chunk) => Change::Done(job, chunk, from_json(&pair.value).ok()?),
        };
        Some(change)
    }

    fn deletion(&self, key: &str) -> Option<Change> {
        match self.keys.parse_state(key)? {
            StateKey::Head(job) => Some(Change::Removed(job)),
            StateKey::Claim(job, chunk) => Some(Change::Unclaimed(job, chunk)),
            StateKey::Cancel(_) | StateKey::Done(..) => None,
        }
    }
}
