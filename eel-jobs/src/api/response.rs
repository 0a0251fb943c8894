//! JSON responses of the batch API: job status and errors.

use eel_batch::{JobId, JobState, Progress, store::JobView};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use http::{
    HeaderName, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use salvo::Response;
use serde::Serialize;

const VERDICT: HeaderName = HeaderName::from_static("x-eel-verdict");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-eel-retry-after-ms");
/// The retry delay given to callers while the store does not respond.
const STORE_RETRY_AFTER_MS: u64 = 5_000;

/// The error response to a call.
#[derive(Clone, Debug)]
pub(super) struct ApiError {
    refusal: Refusal,
    status: u16,
    message: String,
    earliest_deadline_unix_ms: Option<u64>,
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            status: refusal.reason.http_status(),
            message: format!("The call was not served: {refusal}."),
            earliest_deadline_unix_ms: None,
        }
    }
}

impl ApiError {
    /// Returns the error for a malformed call.
    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            ..Self::from(Refusal::not_run(Reason::BadRequest))
        }
    }

    /// Returns the error for a job that is not stored or belongs to another caller.
    pub(super) fn unknown_job() -> Self {
        Self {
            status: StatusCode::NOT_FOUND.as_u16(),
            ..Self::bad_request("No such job is kept.")
        }
    }

    /// Returns the error for a read to which the store did not respond.
    pub(super) fn store_unavailable() -> Self {
        let refusal = Refusal::not_run(Reason::StoreUnavailable);
        Self::from(refusal.retry_after(STORE_RETRY_AFTER_MS))
    }

    /// Returns the error for a job that cannot meet its deadline.
    pub(super) fn too_late(earliest_deadline_unix_ms: u64, retry_after_ms: u64) -> Self {
        let refusal = Refusal::not_run(Reason::Overloaded).retry_after(retry_after_ms);
        Self {
            message: "The job can't make its deadline on the capacity at hand.".to_owned(),
            earliest_deadline_unix_ms: Some(earliest_deadline_unix_ms),
            ..Self::from(refusal)
        }
    }

    /// Returns the reason of the refusal, for metrics.
    pub(super) fn reason(&self) -> Reason {
        self.refusal.reason
    }

    /// Replaces the error message.
    pub(super) fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    r#type: &'static str,
    message: &'a str,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    earliest_deadline_unix_ms: Option<u64>,
}

/// Writes an error response with its verdict and retry delay.
pub(super) fn write_error(res: &mut Response, error: &ApiError) {
    let ApiError { refusal, .. } = error;
    let body = ErrorBody {
        error: ErrorDetail {
            r#type: refusal.reason.as_str(),
            message: &error.message,
            verdict: refusal.verdict.as_str(),
            retry_after_ms: refusal.retry_after_ms,
            earliest_deadline_unix_ms: error.earliest_deadline_unix_ms,
        },
    };
    let status = StatusCode::from_u16(error.status);
    write_json(res, status.unwrap_or(StatusCode::BAD_GATEWAY), &body);
    let headers = res.headers_mut();
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
        headers.insert(RETRY_AFTER_MS, retry_after_ms.into());
    }
}

#[derive(Serialize)]
struct StatusBody {
    id: String,
    object: &'static str,
    state: JobState,
    service: Name,
    created_at_unix_ms: u64,
    deadline_unix_ms: u64,
    results_kept_until_unix_ms: u64,
    items: u32,
    completed: u32,
    failed: u32,
}

/// Writes the status of a job.
pub(super) fn write_status(res: &mut Response, job: JobId, view: &JobView) {
    let JobView { head, progress } = view;
    let Progress {
        state,
        items,
        completed,
        failed,
    } = *progress;
    let body = StatusBody {
        id: job.to_string(),
        object: "batch",
        state,
        service: head.service.clone(),
        created_at_unix_ms: head.accepted_unix_ms,
        deadline_unix_ms: head.deadline_unix_ms,
        results_kept_until_unix_ms: head.remove_unix_ms(),
        items,
        completed,
        failed,
    };
    write_json(res, StatusCode::OK, &body);
}

fn write_json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    res.status_code(status);
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    let _ = res.write_body(serde_json::to_vec(body).unwrap_or_default());
}
