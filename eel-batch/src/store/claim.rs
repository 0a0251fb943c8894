//! Claims a chunk under the holder's lease.

use std::collections::BTreeSet;

use bytes::Bytes;
use eel_store::{
    CommitOutcome, Compare, KeyValue, LeaseId, Op, RangeOutcome, RangeRequest, Txn, WriteToken,
    commit_and_resolve,
};
use eel_types::{Name, Revision};
use error_stack::ResultExt as _;

use super::{
    ClaimToken, Error, JobStore, StoreResult, first_value, from_json, into_array, to_json,
};
use crate::{
    Claim, ClaimedChunk, Head, History, Item, ItemIndex, ItemResult, OpenChunk, Outcome, PartIndex,
    StateKey, WindowIndex, chunk,
};

/// The entry node that claims a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The name of the entry node.
    pub name: Name,
    /// The lease of the node; the claim ends with it.
    pub lease: LeaseId,
    /// A new random number for each claim.
    pub token: u64,
}

/// A claimed chunk with its items and stored state.
#[derive(Debug)]
pub struct ClaimedWork {
    /// Proof of the claim for each later write.
    pub claim_token: ClaimToken,
    /// The items of the chunk, in order.
    pub items: Vec<Item>,
    /// The state that earlier holders left. Its times are 0 until the new holder sets them.
    pub claimed: ClaimedChunk,
}

/// The outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This node claimed the chunk.
    Won(Box<ClaimedWork>),
    /// Another node holds the chunk, or the chunk is done or removed.
    Taken,
    /// The outcome is unknown. If the claim was stored, it lasts as long as the lease.
    Unknown,
}

/// The stored data of an unclaimed chunk.
struct UnclaimedChunk {
    input: Bytes,
    history: History,
    history_revision: Option<Revision>,
    claimed: ClaimedChunk,
}

impl<S: KeyValue> JobStore<S> {
    /// Claims a chunk, with one read of its stored data and one write.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond and the chunk is not claimed; [`Error::Damaged`] if the chunk
    /// cannot be decoded.
    pub async fn claim(
        &self,
        open: OpenChunk,
        head: &Head,
        holder: &Holder,
    ) -> StoreResult<ClaimOutcome> {
        let Some(found) = self.find_chunk(open, head).await? else {
            return Ok(ClaimOutcome::Taken);
        };
        let items: Vec<Item> = chunk::unpack(&found.input).change_context(Error::Damaged)?;
        let (txn, token) = self.claim_txn(open, holder, &found)?;
        match commit_and_resolve(&self.store, &txn, &token).await {
            Ok(CommitOutcome::Applied { revision }) => {
                Ok(ClaimOutcome::Won(Box::new(ClaimedWork {
                    claim_token: ClaimToken::new(&self.keys, open, revision),
                    items,
                    claimed: found.claimed,
                })))
            }
            Ok(CommitOutcome::NotApplied { .. }) => Ok(ClaimOutcome::Taken),
            Ok(CommitOutcome::Unknown) => Ok(ClaimOutcome::Unknown),
            Err(error) => Err(error.change_context(Error::Store)),
        }
    }

    /// Deletes the claim of `holder` after [`ClaimOutcome::Unknown`]; a claim of another holder is kept.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the store did not respond.
    pub async fn delete_own_claim(&self, open: OpenChunk, holder: &Holder) -> StoreResult<()> {
        let key = self.keys.state(StateKey::Claim(open.job, open.chunk));
        let value = claim_value(holder)?;
        let txn = Txn {
            compares: vec![Compare::Value {
                key: key.clone(),
                value,
            }],
            success: vec![Op::Delete { key }],
            failure: Vec::new(),
        };
        self.commit_with_retry(&txn).await.map(drop)
    }

    /// Reads an unclaimed chunk; `None` if it is claimed, done or removed.
    async fn find_chunk(
        &self,
        open: OpenChunk,
        head: &Head,
    ) -> StoreResult<Option<UnclaimedChunk>> {
        let OpenChunk { job, chunk } = open;
        let key = |state| Op::Range(RangeRequest::key(self.keys.state(state)));
        let input = self.keys.input(job, &head.digest, chunk);
        let txn = Txn {
            success: vec![
                key(StateKey::Claim(job, chunk)),
                key(StateKey::Done(job, chunk)),
                Op::Range(RangeRequest::key(input)),
                Op::Range(RangeRequest::key(self.keys.history(job, chunk))),
                Op::Range(RangeRequest::prefix(self.keys.marks(job, chunk))),
                Op::Range(RangeRequest::prefix(self.keys.outputs(job, chunk))),
            ],
            ..Txn::default()
        };
        let [claim, done, input, history, marks, outputs] = into_array(self.read(&txn).await?)?;
        let Some(input) = input.kvs.into_iter().next() else {
            return Ok(None);
        };
        if !claim.kvs.is_empty() || !done.kvs.is_empty() {
            return Ok(None);
        }
        let (settled, failed) = settled(&outputs)?;
        let known: History = first_value(&history)?.unwrap_or_default();
        let claimed = ClaimedChunk {
            items: head.chunk_items.get(chunk.0 as usize).copied().unwrap_or(0),
            repeatable: head.repeatable,
            settled,
            failed,
            marked: marked(&marks)?,
            history: known,
            next_part: PartIndex(count(&outputs)),
            next_window: WindowIndex(count(&marks)),
            ..ClaimedChunk::default()
        };
        Ok(Some(UnclaimedChunk {
            input: input.value,
            history: known,
            history_revision: history.kvs.first().map(|pair| pair.mod_revision),
            claimed,
        }))
    }

    /// Builds the transaction that claims a chunk. Every claim changes the history key, so the transaction fails if
    /// another node claimed the chunk after it was read, even if that claim has ended.
    fn claim_txn(
        &self,
        open: OpenChunk,
        holder: &Holder,
        found: &UnclaimedChunk,
    ) -> StoreResult<(Txn, WriteToken)> {
        let OpenChunk { job, chunk } = open;
        let key = self.keys.state(StateKey::Claim(job, chunk));
        let history = self.keys.history(job, chunk);
        let value = claim_value(holder)?;
        let unchanged = match found.history_revision {
            Some(revision) => Compare::ModRevision {
                key: history.clone(),
                revision,
            },
            None => Compare::Absent {
                key: history.clone(),
            },
        };
        let compares = vec![
            Compare::Absent { key: key.clone() },
            Compare::Absent {
                key: self.keys.state(StateKey::Done(job, chunk)),
            },
            Compare::Exists {
                key: self.keys.state(StateKey::Head(job)),
            },
            unchanged,
        ];
        let next = History {
            lost_holders: found.history.lost_holders + 1,
            sent: true,
        };
        let claim = Op::Put {
            key: key.clone(),
            value: value.clone(),
            lease: Some(holder.lease),
        };
        let txn = Txn {
            compares,
            success: vec![claim, Op::put(history, to_json(&next)?)],
            failure: Vec::new(),
        };
        Ok((txn, WriteToken { key, value }))
    }
}

fn claim_value(holder: &Holder) -> StoreResult<Bytes> {
    to_json(&Claim {
        holder: holder.name.clone(),
        token: holder.token,
    })
}

fn count(range: &RangeOutcome) -> u32 {
    u32::try_from(range.kvs.len()).unwrap_or(u32::MAX)
}

/// Returns the items with a committed result, and the number of these that ended with an error.
fn settled(outputs: &RangeOutcome) -> StoreResult<(BTreeSet<ItemIndex>, u32)> {
    let mut items = BTreeSet::new();
    let mut failed = 0;
    for pair in &outputs.kvs {
        let results: Vec<ItemResult> = chunk::unpack(&pair.value).change_context(Error::Damaged)?;
        for result in &results {
            failed += u32::from(matches!(result.outcome, Outcome::Error(_)));
            items.insert(result.item);
        }
    }
    Ok((items, failed))
}

fn marked(marks: &RangeOutcome) -> StoreResult<BTreeSet<ItemIndex>> {
    let mut items = BTreeSet::new();
    for pair in &marks.kvs {
        let window: super::claim_writes::StartedMark = from_json(&pair.value)?;
        items.extend(window.items);
    }
    Ok(items)
}
