//! Runs the batch job of the quickstart.

use std::fmt::Write as _;

use eel_core::job::{JobClient, JobStatus, SubmitOptions, results, submit_items};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;

use super::{
    Error,
    fleet::{CALLER_KEY, Fleet},
};

const ITEMS: u32 = 50;
const DEADLINE_MS: u64 = 60_000;
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The final status and the results of the job.
#[derive(Clone, Debug, Serialize)]
pub struct JobOutcome {
    /// The job's status, read after its last result.
    pub status: JobStatus,
    /// The results, one JSON object per line, in the order of the items.
    pub results: String,
}

impl JobOutcome {
    /// Returns the number of results that hold a response of the service and no error.
    #[must_use]
    pub fn answered(&self) -> usize {
        let lines = self.results.lines();
        let parsed = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        parsed.filter(|line| line["error"].is_null()).count()
    }
}

/// Submits the job and reads its results until it ends.
pub(super) async fn run(fleet: &Fleet) -> Result<JobOutcome, Report<Error>> {
    let entries = vec![fleet.url.as_str().into()];
    let client = JobClient::new(entries, CALLER_KEY.into(), CONNECT_TIMEOUT_MS)
        .change_context(Error::Job)?;
    let options = SubmitOptions {
        service: "scribe".into(),
        deadline_ms: DEADLINE_MS,
        repeatable: true,
        idempotency_key: "quickstart".into(),
    };
    let submitted = submit_items(&options, items().into(), &client).await;
    let id = submitted.change_context(Error::Job)?.id;
    let mut lines = Vec::new();
    results(&id, true, &client, &mut lines)
        .await
        .change_context(Error::Job)?;
    Ok(JobOutcome {
        status: client.get(&id).await.change_context(Error::Job)?,
        results: String::from_utf8(lines).change_context(Error::Job)?,
    })
}

fn items() -> String {
    let mut lines = String::new();
    for item in 0..ITEMS {
        let _ = writeln!(
            lines,
            r#"{{"custom_id":"flight-{item}","method":"POST","url":"/v1/completions","body":{{"model":"scribe","prompt":"Summarise flight {item}.","max_tokens":2}}}}"#
        );
    }
    lines
}
