//! Cancels a job.

use bytes::Bytes;
use eel_store::{Compare, KeyValue, Op, OpOutcome, RangeRequest, Txn};

use super::{JobStore, StoreResult};
use crate::{JobId, StateKey};

/// The outcome of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, now or by an earlier call.
    Cancelled,
    /// The job had ended and was archived.
    Ended,
    /// The job is not stored.
    Unknown,
}

impl<S: KeyValue> JobStore<S> {
    /// Cancels `job`. The call may be repeated.
    ///
    /// # Errors
    ///
    /// [`Error::Store`](super::Error::Store) if the store did not respond; the job may be cancelled.
    pub async fn cancel(&self, job: JobId) -> StoreResult<CancelOutcome> {
        let txn = Txn {
            compares: vec![Compare::Exists {
                key: self.keys.state(StateKey::Head(job)),
            }],
            success: vec![Op::put(
                self.keys.state(StateKey::Cancel(job)),
                Bytes::from_static(b"{}"),
            )],
            failure: vec![Op::Range(RangeRequest::key(self.keys.archive(job)))],
        };
        let outcome = self.commit_with_retry(&txn).await?;
        if outcome.succeeded {
            return Ok(CancelOutcome::Cancelled);
        }
        match outcome.responses.first() {
            Some(OpOutcome::Range(archive)) if !archive.kvs.is_empty() => Ok(CancelOutcome::Ended),
            _ => Ok(CancelOutcome::Unknown),
        }
    }
}
