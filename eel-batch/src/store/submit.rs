//! Submits a job: writes its chunks first and its head last, which accepts it.

use eel_store::{
    CommitOutcome, Compare, KeyValue, Op, RangeRequest, Txn, WriteToken, commit_and_resolve,
};
use eel_verdict::{Reason, Refusal};
use error_stack::Report;

use super::{Error, JobStore, StoreResult, first_value, into_array, to_json};
use crate::{Head, JobPlan, StateKey, chunk::MAX_BYTES, head::Archive};

/// The retry-after time of a refusal while the key-value service cannot store a job.
const RETRY_AFTER_MS: u64 = 5_000;

/// The head of a submitted job, and whether this call accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job was accepted by this call.
    Accepted(Head),
    /// The job was accepted before, with the same idempotency key and content.
    Existing(Head),
}

/// The reason why a job was not accepted, or may not have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The idempotency key belongs to a job with other content.
    #[error("the idempotency key belongs to a job with other content")]
    Conflict,
    /// The job was not accepted, and none of its items runs.
    #[error("the job can't be kept now and was not accepted")]
    NotAccepted,
    /// The job may have been accepted. A resend with the same key is safe and determines the outcome.
    #[error("the job may have been accepted; ask again with the same key")]
    Unknown,
}

impl SubmitError {
    /// Returns the refusal that is sent to the caller.
    #[must_use]
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Conflict => Refusal::not_run(Reason::Conflict),
            Self::NotAccepted => {
                Refusal::not_run(Reason::StoreUnavailable).retry_after(RETRY_AFTER_MS)
            }
            Self::Unknown => {
                Refusal::may_have_run(Reason::StoreUnavailable).retry_after(RETRY_AFTER_MS)
            }
        }
    }
}

impl<S: KeyValue> JobStore<S> {
    /// Returns the head of a job that was accepted before with the id and content of `plan`; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`SubmitError::Conflict`] if the accepted job has other content, [`SubmitError::NotAccepted`] if the store
    /// cannot be read.
    pub async fn find_resend(&self, plan: &JobPlan) -> Result<Option<Head>, Report<SubmitError>> {
        let found = self.find_head(plan).await;
        match found.map_err(|error| error.change_context(SubmitError::NotAccepted))? {
            Some(head) if head.digest == plan.head.digest => Ok(Some(head)),
            Some(_) => Err(Report::new(SubmitError::Conflict)),
            None => Ok(None),
        }
    }

    /// Stores the job of `plan`; `token` is a new random number.
    ///
    /// [`JobStore::find_resend`] should be called first, so that a resend does not write its chunks again.
    ///
    /// # Errors
    ///
    /// A [`SubmitError`] that states whether the job may have been accepted.
    pub async fn submit(
        &self,
        plan: &JobPlan,
        now_unix_ms: u64,
        token: u64,
    ) -> Result<Submitted, Report<SubmitError>> {
        let mut head = plan.head.clone();
        head.accepted_unix_ms = now_unix_ms;
        head.token = token;
        self.put_chunks(plan)
            .await
            .map_err(|error| error.change_context(SubmitError::NotAccepted))?;
        let txn = self
            .head_txn(plan, &head)
            .map_err(|error| error.change_context(SubmitError::NotAccepted))?;
        match commit_and_resolve(&self.store, &txn.0, &txn.1).await {
            Ok(CommitOutcome::Applied { .. }) => Ok(Submitted::Accepted(head)),
            Ok(CommitOutcome::NotApplied { .. }) => match self.find_resend(plan).await? {
                Some(found) if found.token == token => Ok(Submitted::Accepted(found)),
                Some(found) => Ok(Submitted::Existing(found)),
                None => Err(Report::new(SubmitError::NotAccepted)),
            },
            Ok(CommitOutcome::Unknown) => Err(Report::new(SubmitError::Unknown)),
            Err(error) => Err(error.change_context(SubmitError::NotAccepted)),
        }
    }

    async fn find_head(&self, plan: &JobPlan) -> StoreResult<Option<Head>> {
        let live = self.keys.state(StateKey::Head(plan.job));
        let txn = Txn {
            success: vec![
                Op::Range(RangeRequest::key(live)),
                Op::Range(RangeRequest::key(self.keys.archive(plan.job))),
            ],
            ..Txn::default()
        };
        let [live, archived] = into_array(self.read(&txn).await?)?;
        if let Some(head) = first_value(&live)? {
            return Ok(Some(head));
        }
        Ok(first_value::<Archive>(&archived)?.map(|archive| archive.head))
    }

    /// Writes the chunks, in transactions of at most [`MAX_BYTES`].
    async fn put_chunks(&self, plan: &JobPlan) -> StoreResult<()> {
        let expiry = self.keys.expiry(plan.head.remove_unix_ms(), plan.job);
        let mut ops = vec![Op::put(expiry, plan.head.digest.to_string())];
        let mut bytes = 0;
        for (index, chunk) in plan.head.chunks().zip(&plan.chunks) {
            if bytes + chunk.bytes.len() > MAX_BYTES && bytes > 0 {
                self.put_all(std::mem::take(&mut ops)).await?;
                bytes = 0;
            }
            bytes += chunk.bytes.len();
            let key = self.keys.input(plan.job, &plan.head.digest, index);
            ops.push(Op::put(key, chunk.bytes.clone()));
        }
        self.put_all(ops).await
    }

    async fn put_all(&self, ops: Vec<Op>) -> StoreResult<()> {
        let txn = Txn {
            success: ops,
            ..Txn::default()
        };
        self.commit_with_retry(&txn).await.map(drop)
    }

    /// Builds the transaction that writes the head. It fails if a chunk was removed by a sweep in the meantime.
    fn head_txn(&self, plan: &JobPlan, head: &Head) -> Result<(Txn, WriteToken), Report<Error>> {
        let key = self.keys.state(StateKey::Head(plan.job));
        let value = to_json(head)?;
        let archive = self.keys.archive(plan.job);
        let mut compares = vec![
            Compare::Absent { key: key.clone() },
            Compare::Absent { key: archive },
        ];
        let inputs = head.chunks();
        compares.extend(inputs.map(|chunk| Compare::Exists {
            key: self.keys.input(plan.job, &head.digest, chunk),
        }));
        let txn = Txn {
            compares,
            success: vec![Op::put(key.as_str(), value.clone())],
            failure: Vec::new(),
        };
        Ok((txn, WriteToken { key, value }))
    }
}
