//! What a caller hears, held against what was executed.

use eel_standin::engine::Engine;
use reqwest::{RequestBuilder, Response};

use crate::fleet::Entry;

/// What a caller hears of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole answer with a success status.
    Success,
    /// An error with this verdict.
    Verdict(String),
    /// An answer that broke off.
    Disconnected,
}

/// The deadline of requests whose target never answers.
pub const SHORT_DEADLINE_MS: u64 = 1_500;

/// Prepares a call of the plain service; `/billing` is not repeatable.
pub fn call(entry: &Entry, repeatable: bool, tag: &str, deadline_ms: u64) -> RequestBuilder {
    let path = if repeatable { "alerts" } else { "billing" };
    entry
        .post(&format!("/services/dispatch/{path}"), tag, "tow ready")
        .header("x-eel-deadline-ms", deadline_ms)
}

/// Sends a request and waits for its end.
pub async fn outcome_of(request: RequestBuilder) -> CallerOutcome {
    match request.send().await {
        Ok(response) => read_outcome(response).await,
        Err(_) => CallerOutcome::Disconnected,
    }
}

/// Waits for the end of an answer.
pub async fn read_outcome(response: Response) -> CallerOutcome {
    let status = response.status();
    let verdict = response.headers().get("x-eel-verdict").cloned();
    match (response.text().await, verdict) {
        (Ok(_), _) if status.is_success() => CallerOutcome::Success,
        (Ok(_), Some(verdict)) => {
            CallerOutcome::Verdict(verdict.to_str().expect("text").to_owned())
        }
        (Ok(body), None) => panic!("{status} without a verdict: {body}"),
        (Err(_), _) => CallerOutcome::Disconnected,
    }
}

/// Checks what holds whatever the fault: "not run" is true, and what must not run twice doesn't.
pub fn check_verdict(
    case: &str,
    outcome: &CallerOutcome,
    repeatable: bool,
    tag: &str,
    engines: &[&Engine],
) {
    let counts = engines.iter().map(|engine| engine.counts().of(tag));
    let started: u32 = counts.map(|count| count.started).sum();
    if *outcome == CallerOutcome::Verdict("not-run".to_owned()) {
        assert_eq!(started, 0, "{case}: told not run");
    }
    if *outcome == CallerOutcome::Success {
        assert!(started >= 1, "{case}: answered");
    }
    assert!(repeatable || started <= 1, "{case}: ran {started} times");
}
