//! Submission of batch jobs.

use bytes::Bytes;
use eel_types::Name;
use error_stack::{Report, ResultExt as _};
use reqwest::Method;

use super::{Error, JobClient, JobStatus, client::read_status};

/// Options of a submission.
#[derive(Clone, Debug)]
pub struct SubmitOptions {
    /// The service that runs the items.
    pub service: Name,
    /// The time from now to the job's deadline.
    pub deadline_ms: u64,
    /// Whether an item may run more than once.
    pub repeatable: bool,
    /// Submissions with the same key create the job only once.
    pub idempotency_key: Name,
}

/// Submits a job with the items in `items_file`, one JSON value per line.
///
/// # Errors
///
/// Returns an error if the file cannot be read, no entry node responds, or one refuses the request.
pub async fn submit(
    options: &SubmitOptions,
    items_file: &std::path::Path,
    client: &JobClient,
) -> Result<JobStatus, Report<Error>> {
    let items = tokio::fs::read(items_file)
        .await
        .change_context(Error::File)
        .attach_with(|| items_file.display().to_string())?;
    submit_items(options, Bytes::from(items), client).await
}

/// Submits a job with `items`, one JSON value per line. Retries are safe: the idempotency key makes the job accepted
/// only once.
///
/// # Errors
///
/// Returns an error if no entry node responds, or one refuses the request.
pub async fn submit_items(
    options: &SubmitOptions,
    items: Bytes,
    client: &JobClient,
) -> Result<JobStatus, Report<Error>> {
    let response = client
        .send(&Method::POST, "/v1/batches", |request| {
            request
                .header("content-type", "application/jsonl")
                .header("x-eel-service", options.service.as_str())
                .header("x-eel-deadline-ms", options.deadline_ms)
                .header("x-eel-repeatable", options.repeatable.to_string())
                .header("idempotency-key", options.idempotency_key.as_str())
                .body(items.clone())
        })
        .await?;
    read_status(response).await
}
