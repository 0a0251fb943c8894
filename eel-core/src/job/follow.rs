//! Polls a job until it ends, with a progress bar on a terminal.

use std::time::Duration;

use error_stack::Report;
use indicatif::{ProgressBar, ProgressStyle};

use super::{Error, JobClient, JobStatus};

const POLL_INTERVAL_MS: u64 = 1_000;
const BAR_TEMPLATE: &str = "{bar:40} {pos}/{len} items, {msg} failed, {eta} left";

/// Polls the status of job `id` until it is final, and returns it.
///
/// # Errors
///
/// Returns an error if no entry node responds, or one refuses the request.
pub async fn follow(id: &str, client: &JobClient) -> Result<JobStatus, Report<Error>> {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template(BAR_TEMPLATE) {
        bar.set_style(style);
    }
    loop {
        let status = client.get(id).await?;
        bar.set_length(status.items);
        bar.set_position(status.completed + status.failed);
        bar.set_message(status.failed.to_string());
        if status.is_final() {
            bar.finish_and_clear();
            return Ok(status);
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
