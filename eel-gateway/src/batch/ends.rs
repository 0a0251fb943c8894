//! Logs and counts how runs of items end, and why items have no output.

use eel_ledger::{ErrorCause, ItemRef, MAX_UNSETTLED_RUNS, RunOutcome};
use eel_verdict::Verdict;

use super::item::Run;
use crate::{context::Context, target::BodyFraming};

/// Logs and counts the end of a run.
pub(super) fn on_run_end(
    run: &Run,
    item: &ItemRef,
    target_id: &str,
    run_outcome: &RunOutcome,
    yielded: bool,
) {
    let response = run.response;
    let outcome = outcome_name(run_outcome);
    let framing = response.framing.map_or("", BodyFraming::as_str);
    run.context.metrics.count_item(outcome);
    let verdict = match run_outcome {
        RunOutcome::Interrupted(_) | RunOutcome::Doubtful(..) => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    };
    log::info!(
        target: "jobs", request_id = run.item.id.as_str(), job = item.job.as_str(), target_id, outcome,
        failures = failures_after(run_outcome), max_attempts = run.head.max_attempts, verdict = verdict.as_str(), yielded,
        status = response.status, is_signed = response.is_signed, framing, last_event_id = run.last_event.unwrap_or(0), local_port = response.local_port, is_kept = response.is_kept;
        "A run of an item ended."
    );
    if let RunOutcome::Completed(progress) = run_outcome
        && progress.unsettled_runs >= MAX_UNSETTLED_RUNS
    {
        log::warn!(
            target: "jobs", request_id = run.item.id.as_str(), job = item.job.as_str(), runs = progress.unsettled_runs,
            last_event_id = run.last_event.unwrap_or(0);
            "A text is listed though no target has said that it is whole."
        );
    }
}

/// Logs and counts an item that has no output, `left_ms` before its give-up time.
pub(super) fn on_errored(
    context: &Context,
    item: &ItemRef,
    id: &str,
    cause: ErrorCause,
    left_ms: u64,
) {
    context.metrics.count_errored(cause.as_str());
    log::info!(
        target: "jobs", request_id = id, job = item.job.as_str(), item = item.item, cause = cause.as_str(), left_ms;
        "An item has no output."
    );
}

/// Returns the name of an outcome in logs and metrics.
fn outcome_name(run_outcome: &RunOutcome) -> &'static str {
    match run_outcome {
        RunOutcome::Completed(_) => "completed",
        RunOutcome::Interrupted(_) => "broken_off",
        RunOutcome::Failed(_) => "failed",
        RunOutcome::Doubtful(..) => "doubtful",
        RunOutcome::Discarded(_) => "discarded",
        RunOutcome::Rejected | RunOutcome::Unsendable => "impossible",
    }
}

/// Returns how many runs of an item have failed once a run has this outcome; 0 if it does not matter any more.
fn failures_after(run_outcome: &RunOutcome) -> u32 {
    match run_outcome {
        RunOutcome::Failed(progress) => progress.failures + 1,
        RunOutcome::Completed(progress)
        | RunOutcome::Interrupted(progress)
        | RunOutcome::Discarded(progress)
        | RunOutcome::Doubtful(progress, _) => progress.failures,
        RunOutcome::Rejected | RunOutcome::Unsendable => 0,
    }
}
