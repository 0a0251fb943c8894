//! Settles writes whose answer was lost.

use std::time::Duration;

use bytes::Bytes;
use eel_types::Revision;

use crate::{Compare, KeyValue, KeyValuePair, RangeRequest, StoreError, StoreResult, Txn};

const MAX_TRIES: u32 = 4;
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_HISTORY_STEPS: u32 = 16; // versions that may have overwritten ours while we asked

/// The value by which a transaction's write is told from everyone else's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteToken {
    /// A key that the transaction writes.
    pub key: String,
    /// The value it writes there, unique to this transaction: it holds a random number.
    pub value: Bytes,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The success branch took effect, once.
    Applied {
        /// The revision of its writes.
        revision: Revision,
    },
    /// The compares did not hold; the success branch did not take effect.
    NotApplied {
        /// What the token's key holds.
        current: Option<KeyValuePair>,
    },
    /// The store gave no answer in time; the transaction may have taken effect, or may still do so.
    Unknown,
}

/// Commits `txn`, and if the answer is lost finds out by sending it again and reading.
///
/// Sending again is safe because `txn` must hold a compare on `token.key` that its own success makes fail: `Absent` or
/// `ModRevision`. A key created under `Absent` must not be deleted within the seconds that settling takes.
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
            // The service refuses every copy alike, and answers again: the state tells what the first copy did.
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

/// The first and only copy was answered: its compares did not hold.
async fn not_applied<S: KeyValue>(store: &S, token: &WriteToken) -> CommitOutcome {
    let outcome = store.range(&RangeRequest::key(token.key.as_str())).await;
    let current = outcome.ok().and_then(|o| o.kvs.into_iter().next());
    CommitOutcome::NotApplied { current }
}

/// Looks for the token in the key's present and past values, back to the one that `txn` compares with.
async fn find_write<S: KeyValue>(store: &S, txn: &Txn, token: &WriteToken) -> CommitOutcome {
    let base = compared_revision(txn, token);
    let mut current = None;
    let mut request = RangeRequest::key(token.key.as_str());
    for _ in 0..MAX_HISTORY_STEPS {
        let Ok(outcome) = store.range(&request).await else {
            return CommitOutcome::Unknown;
        };
        let Some(pair) = outcome.kvs.into_iter().next() else {
            return CommitOutcome::Unknown; // ours may have been written and deleted since
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

/// The revision that `txn` expects the token's key to be at.
fn compared_revision(txn: &Txn, token: &WriteToken) -> Revision {
    let found = txn.compares.iter().find_map(|compare| match compare {
        Compare::ModRevision { key, revision } if *key == token.key => Some(*revision),
        _ => None,
    });
    found.unwrap_or_default()
}
