//! Submits and cancels declared jobs according to their records.

use std::fmt;

use eel_batch::{
    JobPlan, JobState, Keys,
    store::{CancelOutcome, JobStore, SubmitError, Submitted},
};
use eel_record::RecordKey;
use eel_store::KeyValue;
use serde::Serialize;
use sha2::{Digest as _, Sha256};

use super::Context;
use crate::{Exit, job::DeclaredJob};

/// The result of applying a declared job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobApplyStatus {
    /// The job was submitted and accepted by this apply.
    Accepted,
    /// The job had already been accepted.
    Existing,
    /// The job is cancelled, by this apply or an earlier cancellation.
    Cancelled,
    /// The job was cancelled earlier; a cancelled job cannot be started again.
    CancelledBefore,
    /// The job ended before the cancellation; its results stay readable.
    Ended,
    /// The store does not know the job: it was never accepted, or its retention has expired. Nothing is left to cancel.
    Unknown,
    /// The deadline has passed, so the job is not submitted.
    PastDeadline,
    /// A job with the same name and caller but different content has already been accepted.
    Conflict,
    /// A call of the store failed: the job was not accepted, or the result is unknown. It is safe to apply again.
    Unsettled,
}

/// A declared job and the result of applying it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobOutcome {
    /// The record that declares the job.
    pub key: RecordKey,
    /// The identifier of the job, for `job get` and `job results`.
    pub id: String,
    /// What the apply did with the job, or why it did nothing.
    #[serde(rename = "verdict")]
    pub status: JobApplyStatus,
}

impl JobOutcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self.status {
            JobApplyStatus::Accepted
            | JobApplyStatus::Existing
            | JobApplyStatus::Cancelled
            | JobApplyStatus::Ended
            | JobApplyStatus::Unknown
            | JobApplyStatus::PastDeadline => Exit::Success,
            JobApplyStatus::Conflict | JobApplyStatus::CancelledBefore => Exit::Partial,
            JobApplyStatus::Unsettled => Exit::Unknown,
        }
    }
}

impl fmt::Display for JobOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = match self.status {
            JobApplyStatus::Accepted => "accepted",
            JobApplyStatus::Existing => "already accepted",
            JobApplyStatus::Cancelled => "cancelled",
            JobApplyStatus::CancelledBefore => {
                "refused: the job was cancelled earlier; declare it under a new name"
            }
            JobApplyStatus::Ended => "already ended",
            JobApplyStatus::Unknown => "not found, nothing to cancel",
            JobApplyStatus::PastDeadline => "not submitted: the deadline has passed",
            JobApplyStatus::Conflict => {
                "refused: a job of this name with different content exists; declare it under a new name"
            }
            JobApplyStatus::Unsettled => "unknown: a call of the store failed; apply again",
        };
        write!(f, "{} ({}): {status}", self.key, self.id)
    }
}

/// Submits and cancels declared jobs. Idempotent.
pub async fn reconcile_jobs<S: KeyValue + Clone>(
    jobs: &[DeclaredJob],
    context: &Context<'_, S>,
) -> Vec<JobOutcome> {
    let store = JobStore::new(context.store.clone(), Keys::of_fleet(context.prefix));
    let mut outcomes = Vec::new();
    for job in jobs {
        let status = match &job.plan {
            Some(plan) => submit(&store, plan, &job.key, context).await,
            None => cancel(&store, job).await,
        };
        outcomes.push(JobOutcome {
            key: job.key.clone(),
            id: job.id.to_string(),
            status,
        });
    }
    outcomes
}

/// Submits a job unless the store knows it already. Results are kept beyond the deadline, so a job that is not found
/// before its deadline was never accepted.
async fn submit<S: KeyValue>(
    store: &JobStore<S>,
    plan: &JobPlan,
    key: &RecordKey,
    context: &Context<'_, S>,
) -> JobApplyStatus {
    match store.find_resend(plan).await {
        Ok(Some(_)) => return existing_status(store, plan).await,
        Ok(None) if plan.head.deadline_unix_ms <= context.now_unix_ms => {
            return JobApplyStatus::PastDeadline;
        }
        Ok(None) => {}
        Err(report) => return submit_error_status(*report.current_context()),
    }
    let token = submission_token(context.token, key);
    match store.submit(plan, context.now_unix_ms, token).await {
        Ok(Submitted::Accepted(_)) => JobApplyStatus::Accepted,
        Ok(Submitted::Existing(_)) => JobApplyStatus::Existing,
        Err(report) => submit_error_status(*report.current_context()),
    }
}

/// Returns the status for a job that the store knows. Cancellation is final: declaring the job as running again does
/// not restart it.
async fn existing_status<S: KeyValue>(store: &JobStore<S>, plan: &JobPlan) -> JobApplyStatus {
    let Ok(found) = store.get(plan.job).await else {
        return JobApplyStatus::Unsettled;
    };
    match found.map(|view| view.progress.state) {
        Some(JobState::Cancelling | JobState::Cancelled) => JobApplyStatus::CancelledBefore,
        Some(JobState::InProgress | JobState::Completed) | None => JobApplyStatus::Existing,
    }
}

async fn cancel<S: KeyValue>(store: &JobStore<S>, job: &DeclaredJob) -> JobApplyStatus {
    match store.cancel(job.id).await {
        Ok(CancelOutcome::Cancelled) => JobApplyStatus::Cancelled,
        Ok(CancelOutcome::Ended) => JobApplyStatus::Ended,
        Ok(CancelOutcome::Unknown) => JobApplyStatus::Unknown,
        Err(report) => {
            log::warn!("apply: Cannot cancel the declared job: {report}.");
            JobApplyStatus::Unsettled
        }
    }
}

fn submit_error_status(error: SubmitError) -> JobApplyStatus {
    match error {
        SubmitError::Conflict => JobApplyStatus::Conflict,
        SubmitError::NotAccepted | SubmitError::Unknown => JobApplyStatus::Unsettled,
    }
}

/// Derives a number that is unique to this submission from the token of the apply and the record key.
fn submission_token(token: &str, key: &RecordKey) -> u64 {
    let digest = Sha256::digest(format!("{token} {key}"));
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
