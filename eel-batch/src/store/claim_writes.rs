//! Writes under a claim. Each write compares the epoch of the claim, so that a holder that was paused past its lease is
//! refused.

use eel_store::{CommitOutcome, Compare, KeyValue, Op, Txn, WriteToken, commit_and_resolve};
use eel_types::Revision;
use error_stack::ResultExt as _;
use serde::{Deserialize, Serialize};

use super::{Error, JobStore, StoreResult, to_json};
use crate::{History, ItemIndex, Keys, OpenChunk, Part, StateKey, WindowIndex, chunk};

/// Proves that its owner claimed a chunk: the claim key and its epoch.
#[derive(Clone, Debug)]
pub struct ClaimToken {
    open: OpenChunk,
    claim_key: String,
    epoch: Revision,
}

/// The outcome of a write under a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencedWrite {
    /// The write is stored.
    Written,
    /// The claim was lost: another node holds the chunk, or none does.
    Refused,
    /// The outcome is unknown. The same write may be repeated until the lease expires.
    Unknown,
}

/// The stored value of a window of started marks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StartedMark {
    epoch: Revision,
    pub items: Vec<ItemIndex>,
}

impl ClaimToken {
    pub(super) fn new(keys: &Keys, open: OpenChunk, epoch: Revision) -> Self {
        Self {
            open,
            claim_key: keys.state(StateKey::Claim(open.job, open.chunk)),
            epoch,
        }
    }

    /// Returns the claimed chunk.
    #[must_use]
    pub fn chunk(&self) -> OpenChunk {
        self.open
    }

    fn compare(&self) -> Compare {
        Compare::CreateRevision {
            key: self.claim_key.clone(),
            revision: self.epoch,
        }
    }
}

impl<S: KeyValue> JobStore<S> {
    /// Writes the started mark of `items`.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the mark was not written.
    pub async fn mark(
        &self,
        claim_token: &ClaimToken,
        window: WindowIndex,
        items: &[ItemIndex],
    ) -> StoreResult<FencedWrite> {
        let key = self
            .keys
            .started(claim_token.open.job, claim_token.open.chunk, window);
        let value = to_json(&StartedMark {
            epoch: claim_token.epoch,
            items: items.to_vec(),
        })?;
        let put = Op::put(key.as_str(), value.clone());
        self.write_once(claim_token, WriteToken { key, value }, vec![put])
            .await
    }

    /// Commits a part of the results. The last part also writes the done mark and releases the claim.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the part was not written, [`Error::Damaged`] if it cannot be encoded.
    pub async fn commit(&self, claim_token: &ClaimToken, part: &Part) -> StoreResult<FencedWrite> {
        let OpenChunk { job, chunk } = claim_token.open;
        let key = self.keys.output(job, chunk, part.index);
        let packed = chunk::pack(&part.results).change_context(Error::Damaged)?;
        let value = bytes::Bytes::from(packed.bytes);
        let mut ops = vec![Op::put(key.as_str(), value.clone())];
        if let Some(done) = part.done {
            let key = self.keys.state(StateKey::Done(job, chunk));
            ops.push(Op::put(key, to_json(&done)?));
            ops.push(Op::Delete {
                key: claim_token.claim_key.clone(),
            });
        }
        self.write_once(claim_token, WriteToken { key, value }, ops)
            .await
    }

    /// Releases the claim. No item may be in flight, and every result must be committed.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond; the claim then ends with the lease, and the started marks remain.
    pub async fn release(
        &self,
        claim_token: &ClaimToken,
        history: History,
    ) -> StoreResult<FencedWrite> {
        let OpenChunk { job, chunk } = claim_token.open;
        let ops = vec![
            Op::put(self.keys.history(job, chunk), to_json(&history)?),
            Op::DeletePrefix {
                prefix: self.keys.marks(job, chunk),
            },
        ];
        self.delete_claim(claim_token, ops).await
    }

    /// Deletes the claim of a holder that has lost it by its own clock: a lease that is renewed late keeps it. The
    /// started marks and the history remain, as items may have been sent. The holder must write no more under the claim.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond; the deletion may be repeated, or the claim ends with the lease.
    pub async fn abandon(&self, claim_token: &ClaimToken) -> StoreResult<FencedWrite> {
        self.delete_claim(claim_token, Vec::new()).await
    }

    /// Deletes the claim and applies `ops` if the claim is still held.
    async fn delete_claim(
        &self,
        claim_token: &ClaimToken,
        mut ops: Vec<Op>,
    ) -> StoreResult<FencedWrite> {
        ops.push(Op::Delete {
            key: claim_token.claim_key.clone(),
        });
        let txn = Txn {
            compares: vec![claim_token.compare()],
            success: ops,
            failure: Vec::new(),
        };
        let outcome = self.commit_with_retry(&txn).await?;
        Ok(if outcome.succeeded {
            FencedWrite::Written
        } else {
            FencedWrite::Refused
        })
    }

    /// Applies `ops` if the claim is still held and the key of `token` is absent.
    async fn write_once(
        &self,
        claim_token: &ClaimToken,
        token: WriteToken,
        ops: Vec<Op>,
    ) -> StoreResult<FencedWrite> {
        let absent = Compare::Absent {
            key: token.key.clone(),
        };
        let txn = Txn {
            compares: vec![claim_token.compare(), absent],
            success: ops,
            failure: Vec::new(),
        };
        let settled = commit_and_resolve(&self.store, &txn, &token)
            .await
            .change_context(Error::Store)?;
        Ok(match settled {
            CommitOutcome::Applied { .. } => FencedWrite::Written,
            // An earlier copy of this write was applied late.
            CommitOutcome::NotApplied {
                current: Some(pair),
            } if pair.value == token.value => FencedWrite::Written,
            CommitOutcome::NotApplied { .. } => FencedWrite::Refused,
            CommitOutcome::Unknown => FencedWrite::Unknown,
        })
    }
}
