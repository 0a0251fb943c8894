//! Brings declared jobs to the state that their records declare.

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

/// What became of a declared job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobApplyStatus {
    /// The job was accepted now.
    Accepted,
    /// The job was accepted before.
    Existing,
    /// The job is cancelled.
    Cancelled,
    /// The job was cancelled before and does not start again.
    CancelledBefore,
    /// The job had ended before it could be cancelled; its results stay readable.
    Ended,
    /// The job was never accepted, or its results are past their retention; nothing is left to cancel.
    Unknown,
    /// The deadline has passed, so the job is not submitted.
    PastDeadline,
    /// A job with the same name and caller, but other content, was accepted before.
    Conflict,
    /// The store took no write; the job was not accepted, or the cancel is not certain. Applying again is safe.
    Unsettled,
}

/// A declared job and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobOutcome {
    /// The record.
    pub key: RecordKey,
    /// The job's identifier, for `job get` and `job results`.
    pub id: String,
    /// What became of it.
    #[serde(rename = "verdict")]
    pub status: JobApplyStatus,
}

impl JobOutcome {
    /// Returns what the outcome means to a script.
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
            JobApplyStatus::Existing => "accepted before",
            JobApplyStatus::Cancelled => "cancelled",
            JobApplyStatus::CancelledBefore => {
                "refused, it was cancelled before; declare it under a new name"
            }
            JobApplyStatus::Ended => "had ended already",
            JobApplyStatus::Unknown => "was never accepted",
            JobApplyStatus::PastDeadline => "not submitted, its deadline has passed",
            JobApplyStatus::Conflict => {
                "refused, it was accepted before with other content; declare it under a new name"
            }
            JobApplyStatus::Unsettled => "not settled, the store gave no answer; apply again",
        };
        write!(f, "{} ({}): {status}", self.key, self.id)
    }
}

/// Submits and cancels declared jobs; doing so again changes nothing.
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

/// Results are kept beyond the deadline, so a job that is not found before its deadline was never accepted.
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

/// A cancel is final: declaring the job as running again does not start it.
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
            log::warn!("apply: {report}.");
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

/// Derives a number that no other submission draws.
fn submission_token(token: &str, key: &RecordKey) -> u64 {
    let digest = Sha256::digest(format!("{token} {key}"));
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
