//! Resolves writes whose response was lost.

use std::time::Duration;

use bytes::Bytes;
use eel_types::Revision;

use crate::{Compare, KeyValue, KeyValuePair, RangeRequest, StoreError, StoreResult, Txn};

const MAX_TRIES: u32 = 4;
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_HISTORY_STEPS: u32 = 16; // versions that may have overwritten the write meanwhile

/// A write that identifies a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteToken {
    /// One of the keys that the transaction writes.
    pub key: String,
    /// The value that the transaction writes to `key`; it contains a random number, so it is unique to the transaction.
    pub value: Bytes,
}

/// The resolved outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The success branch took effect, exactly once.
    Applied {
        /// The revision of its writes.
        revision: Revision,
    },
    /// The compares did not hold; the success branch did not take effect.
    NotApplied {
        /// The current content of the token's key; `None` if it does not exist or cannot be read.
        current: Option<KeyValuePair>,
    },
    /// The store did not respond in time; the transaction may have taken effect, or may still do so.
    Unknown,
}

/// Commits `txn`; if the response is lost, sends it again and reads the key of the token to find out the outcome.
///
/// To make sending again safe, `txn` must contain a compare on `token.key` that fails after its own success: `Absent`
/// or `ModRevision`. A key created under `Absent` must not be deleted within the seconds that this function takes.
///
/// # Errors
/// `NotApplied` or `Rejected` if the transaction certainly had no effect and none is to come.
pub async fn commit_and_resolve<S: KeyValue>(
    store: &S,
    txn: &Txn,
    token: &WriteToken,
) -> StoreResult<CommitOutcome> {
    let mut in_doubt = false;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    for tries in 1..=MAX_TRIES {
        let error = match store.commit(txn).await {
            Ok(outcome) if outcome.succeeded => {
                let revision = outcome.revision;
                return Ok(CommitOutcome::Applied { revision });
            }
            Ok(_) if in_doubt => return Ok(find_write(store, txn, token).await),
            Ok(_) => return Ok(not_applied(store, token).await),
            Err(error) => error,
        };
        match error.current_context() {
            StoreError::NotApplied if in_doubt || tries < MAX_TRIES => {}
            StoreError::MayHaveApplied => in_doubt = true,
            // The service responds again and refuses every copy alike; only the state shows the effect of the first.
            StoreError::Rejected(_) if in_doubt => return Ok(find_write(store, txn, token).await),
            StoreError::NotApplied | StoreError::Rejected(_) | StoreError::Unavailable => {
                return Err(error);
            }
        }
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
    Ok(CommitOutcome::Unknown)
}

/// Returns the outcome of a transaction that was sent once and whose compares did not hold.
async fn not_applied<S: KeyValue>(store: &S, token: &WriteToken) -> CommitOutcome {
    let outcome = store.range(&RangeRequest::key(token.key.as_str())).await;
    let current = outcome.ok().and_then(|o| o.kvs.into_iter().next());
    CommitOutcome::NotApplied { current }
}

/// Searches the current and earlier values of the key for the token, back to the revision that `txn` compares with.
async fn find_write<S: KeyValue>(store: &S, txn: &Txn, token: &WriteToken) -> CommitOutcome {
    let base = compared_revision(txn, token);
    let mut current = None;
    let mut request = RangeRequest::key(token.key.as_str());
    for _ in 0..MAX_HISTORY_STEPS {
        let Ok(outcome) = store.range(&request).await else {
            return CommitOutcome::Unknown;
        };
        let Some(pair) = outcome.kvs.into_iter().next() else {
            return CommitOutcome::Unknown; // the write may have taken effect and been deleted since
        };
        let current = current.get_or_insert_with(|| pair.clone());
        if pair.value == token.value {
            let revision = pair.mod_revision;
            return CommitOutcome::Applied { revision };
        }
        if pair.version <= 1 || pair.mod_revision <= base {
            let current = Some(current.clone());
            return CommitOutcome::NotApplied { current };
        }
        request.revision = Some(Revision(pair.mod_revision.0 - 1));
    }
    CommitOutcome::Unknown
}

/// Returns the revision of the token's key that `txn` compares with; 0 if it has no such compare.
fn compared_revision(txn: &Txn, token: &WriteToken) -> Revision {
    let found = txn.compares.iter().find_map(|compare| match compare {
        Compare::ModRevision { key, revision } if *key == token.key => Some(*revision),
        _ => None,
    });
    found.unwrap_or_default()
}
