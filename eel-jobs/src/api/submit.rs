//! Submits a job: checks its terms, parses its items, admits it and stores it.

use std::{collections::BTreeMap, sync::Arc};

use eel_batch::{
    Head, JobPlan, JobTerms, PlanError, Progress,
    admission::{self, Decision, Queued},
    store::{JobView, SubmitError, Submitted},
};
use eel_store::KeyValue;
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use error_stack::Report;
use http::HeaderMap;
use salvo::{Request, Response, http::ParseError};

use super::response::{ApiError, write_status};
use crate::{Host, JobNode, node::unix_ms};

const SERVICE: &str = "x-eel-service";
const DEADLINE_MS: &str = "x-eel-deadline-ms";
const REPEATABLE: &str = "x-eel-repeatable";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The retry delay given to callers while the node shuts down or handles its maximum of submissions.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// Handles a submission. A resend with the same idempotency key returns the status of the stored job.
pub(super) async fn submit<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), ApiError> {
    let caller = node.host.authenticate(req.headers())?;
    let mut terms = terms(req.headers(), caller, node.options.retention_ms)?;
    let service = node.host.authorize(&terms.caller, &terms.service)?;
    terms.repeatable &= service.repeatable;
    if node.draining.is_cancelled() {
        let refusal = Refusal::not_run(Reason::Leaving);
        return Err(refusal.retry_after(BUSY_RETRY_AFTER_MS).into());
    }
    let Ok(_permit) = node.submissions.try_acquire() else {
        let refusal = Refusal::not_run(Reason::Overloaded);
        return Err(refusal.retry_after(BUSY_RETRY_AFTER_MS).into());
    };
    let plan = read_plan(node, req, terms).await?;
    let resend = node.jobs.find_resend(&plan).await;
    let view = match resend.map_err(|report| submit_error(&report))? {
        Some(_) => read_view(node, &plan).await?,
        None => new_view(admit_and_store(node, &plan).await?),
    };
    write_status(res, plan.job, &view);
    Ok(())
}

/// Reads a job that is already stored.
async fn read_view<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    plan: &JobPlan,
) -> Result<JobView, ApiError> {
    let view = node.jobs.get(plan.job).await;
    let view = view.map_err(|_| ApiError::store_unavailable())?;
    view.ok_or_else(ApiError::unknown_job)
}

fn new_view(head: Head) -> JobView {
    JobView {
        progress: Progress::new(&head, &BTreeMap::new(), false),
        head,
    }
}

/// Admits and stores a new job.
async fn admit_and_store<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    plan: &JobPlan,
) -> Result<Head, ApiError> {
    let now_unix_ms = unix_ms();
    admit(node, plan, now_unix_ms)?;
    let submitted = node.jobs.submit(plan, now_unix_ms, rand::random()).await;
    let submitted = submitted.map_err(|report| submit_error(&report))?;
    let head = match submitted {
        Submitted::Accepted(head) => {
            node.metrics.jobs_accepted.inc();
            head
        }
        Submitted::Existing(head) => head,
    };
    log::info!(
        target: "jobs",
        "Job {} of caller {} is stored with {} items.",
        plan.job,
        head.caller,
        head.items()
    );
    Ok(head)
}

/// Checks that the job can meet its deadline at the service's current rate.
fn admit<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    plan: &JobPlan,
    now_unix_ms: u64,
) -> Result<(), ApiError> {
    let live_jobs = node.live_jobs();
    let service = &plan.head.service;
    let queued = live_jobs.queued(service);
    let candidate = Queued {
        deadline_unix_ms: plan.head.deadline_unix_ms,
        items: plan.head.items().into(),
    };
    match admission::decide(
        now_unix_ms,
        &queued,
        live_jobs.items_per_s(service),
        candidate,
    ) {
        Decision::Accept => Ok(()),
        Decision::Refuse {
            earliest_deadline_unix_ms,
            retry_after_ms,
        } => Err(ApiError::too_late(
            earliest_deadline_unix_ms,
            retry_after_ms,
        )),
    }
}

async fn read_plan<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    terms: JobTerms,
) -> Result<JobPlan, ApiError> {
    let limits = node.options.limits;
    let lines = match req.payload_with_max_size(limits.bytes).await {
        Ok(lines) => lines.clone(),
        Err(ParseError::PayloadTooLarge) => {
            return Err(Refusal::not_run(Reason::TooLarge).into());
        }
        Err(_) => return Err(ApiError::bad_request("The body can't be read.")),
    };
    let parsed = tokio::task::spawn_blocking(move || JobPlan::parse(&terms, &lines, limits));
    match parsed.await {
        Ok(Ok(plan)) => Ok(plan),
        Ok(Err(report)) => Err(plan_error(&report)),
        Err(_) => Err(ApiError::bad_request("The job can't be read.")),
    }
}

fn plan_error(report: &Report<PlanError>) -> ApiError {
    let error = report.current_context();
    let message = format!("The job was not accepted: {error}.");
    match error {
        PlanError::TooManyBytes { .. }
        | PlanError::TooManyItems { .. }
        | PlanError::TooManyChunks { .. } => {
            ApiError::from(Refusal::not_run(Reason::TooLarge)).with_message(message)
        }
        PlanError::Empty
        | PlanError::NoKey
        | PlanError::BadLine { .. }
        | PlanError::DuplicateId { .. } => ApiError::bad_request(message),
    }
}

fn submit_error(report: &Report<SubmitError>) -> ApiError {
    let error = *report.current_context();
    log::warn!(target: "jobs", "Cannot store a submission: {error}.");
    ApiError::from(error.refusal()).with_message(format!("{error}."))
}

/// Reads the terms of a job from the request headers.
fn terms(headers: &HeaderMap, caller: Name, retention_ms: u64) -> Result<JobTerms, ApiError> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let need = |name: &str| {
        let message = format!("The header `{name}` is missing.");
        text(name).ok_or_else(|| ApiError::bad_request(message))
    };
    let deadline_ms: u64 = need(DEADLINE_MS)?.parse().map_err(|_| {
        ApiError::bad_request(format!(
            "The header `{DEADLINE_MS}` is not a number of milliseconds."
        ))
    })?;
    let repeatable = match text(REPEATABLE) {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => {
            let message = format!("The header `{REPEATABLE}` is neither `true` nor `false`.");
            return Err(ApiError::bad_request(message));
        }
    };
    Ok(JobTerms {
        caller,
        idempotency_key: need(IDEMPOTENCY_KEY)?.into(),
        service: need(SERVICE)?.into(),
        repeatable,
        deadline_unix_ms: unix_ms().saturating_add(deadline_ms),
        retention_ms,
    })
}
