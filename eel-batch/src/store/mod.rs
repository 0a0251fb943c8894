//! Operations on the jobs in the key-value service.

mod cancel;
mod claim;
mod claim_writes;
mod error;
mod follow;
mod lookup;
mod submit;
mod sweep;

use std::time::Duration;

use bytes::Bytes;
use eel_store::{KeyValue, OpOutcome, RangeOutcome, StoreError, Txn, TxnOutcome};
use error_stack::{Report, ResultExt as _};
use serde::{Serialize, de::DeserializeOwned};

use crate::Keys;
pub use cancel::CancelOutcome;
pub use claim::{ClaimOutcome, ClaimedWork, Holder};
pub use claim_writes::{ClaimToken, FencedWrite};
pub use error::{Error, StoreResult};
pub use follow::{Snapshot, StateEvent};
pub use lookup::{ChunkLines, JobView, ResultLine};
pub use submit::{SubmitError, Submitted};

/// The maximum number of tries of a transaction that may be repeated.
const MAX_TRIES: u32 = 4;
const INITIAL_BACKOFF_MS: u64 = 50;

/// The jobs stored in a key-value service.
#[derive(Debug)]
pub struct JobStore<S> {
    store: S,
    keys: Keys,
}

impl<S: KeyValue> JobStore<S> {
    /// Creates a store of jobs in `store`, under `keys`.
    #[must_use]
    pub fn new(store: S, keys: Keys) -> Self {
        Self { store, keys }
    }

    /// Returns the builder of the keys under which jobs are stored.
    #[must_use]
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Returns the client of the key-value service.
    #[must_use]
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Commits `txn`, which must be idempotent, and retries with backoff until the store responds, rejects it, or the
    /// tries are used up.
    async fn commit_with_retry(&self, txn: &Txn) -> StoreResult<TxnOutcome> {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        for _ in 1..MAX_TRIES {
            match self.store.commit(txn).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) if matches!(error.current_context(), StoreError::Rejected(_)) => {
                    return Err(error.change_context(Error::Store));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(backoff_ms)).await,
            }
            backoff_ms *= 2;
        }
        let last = self.store.commit(txn).await;
        last.change_context(Error::Store)
    }

    /// Runs a read-only transaction and returns its ranges.
    async fn read(&self, txn: &Txn) -> StoreResult<Vec<RangeOutcome>> {
        let outcome = self.commit_with_retry(txn).await?;
        let ranges = outcome
            .responses
            .into_iter()
            .map(|response| match response {
                OpOutcome::Range(range) => range,
                OpOutcome::Put | OpOutcome::Delete { .. } => RangeOutcome::default(),
            });
        Ok(ranges.collect())
    }
}

fn to_json<T: Serialize>(value: &T) -> StoreResult<Bytes> {
    let json = serde_json::to_vec(value).change_context(Error::Damaged)?;
    Ok(Bytes::from(json))
}

fn from_json<T: DeserializeOwned>(value: &[u8]) -> StoreResult<T> {
    serde_json::from_slice(value).change_context(Error::Damaged)
}

/// Decodes the value of the first key in `range`; `None` if there is none.
fn first_value<T: DeserializeOwned>(range: &RangeOutcome) -> StoreResult<Option<T>> {
    let pair = range.kvs.first();
    pair.map(|pair| from_json(&pair.value)).transpose()
}

/// Converts `ranges` to an array; fails if the response holds another number of ranges than requested.
fn into_array<const N: usize>(ranges: Vec<RangeOutcome>) -> StoreResult<[RangeOutcome; N]> {
    ranges.try_into().map_err(|_| Report::new(Error::Damaged))
}
