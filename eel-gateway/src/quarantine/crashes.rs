//! Finds out whether a target has ended as it began a response, and what that says about the request.

use eel_fleet::{TargetEntry, stable_hash};
use eel_quarantine::{Crash, PartSet, Prompt};

use crate::{
    context::Context,
    target::{Connection, OutgoingRequest},
};

/// Records that the response of `target` to a request or item failed as it began, if the target has ended as well.
pub(crate) async fn on_early_end(
    context: &Context,
    target: &TargetEntry,
    outgoing: &OutgoingRequest,
) {
    if outgoing.prompt.parts.is_empty() {
        return;
    }
    // A target that accepts connections has only lost one of them.
    if Connection::open(target.address).await.is_ok() {
        return;
    }
    let prompt = &outgoing.prompt;
    let started_unix_ms = target.started_unix_ms.unwrap_or_default();
    context.metrics.early_ends.inc();
    log::info!(
        target: "quarantine", request_id = outgoing.request_id.as_str(), target_id = target.id.as_str(),
        parts:% = PartSet::new(prompt.parts.clone());
        "A target ended as it began a response."
    );
    let crash = Crash {
        target: stable_hash(&format!("{}/{started_unix_ms}", target.id)),
        prompt: prompt.clone(),
    };
    let now_ms = context.clock.now_ms();
    let blocked = context.quarantine().on_crash(now_ms, crash);
    on_blocked(context, &blocked);
    context.quarantine_changed.notify_one();
}

/// Records a completed response to `prompt`.
pub(crate) fn on_completed(context: &Context, prompt: &Prompt) {
    if prompt.parts.is_empty() {
        return;
    }
    let now_ms = context.clock.now_ms();
    let mut quarantine = context.quarantine();
    let lifted = quarantine.on_completed(now_ms, &prompt.parts);
    let has_news = quarantine.has_news();
    drop(quarantine);
    for parts in &lifted {
        log::warn!(target: "quarantine", parts:% = parts; "A response with blocked parts was completed; they are not blocked any more.");
    }
    if !lifted.is_empty() {
        update_gauge(context);
    }
    if has_news {
        context.quarantine_changed.notify_one();
    }
}

/// Logs the sets that are blocked from now on.
pub(super) fn on_blocked(context: &Context, blocked: &[PartSet]) {
    if blocked.is_empty() {
        return;
    }
    for parts in blocked {
        log::warn!(target: "quarantine", parts:% = parts; "Prompts with these parts crash targets; requests with all of them are rejected.");
    }
    update_gauge(context);
}

/// Sets the metric of blocked parts.
pub(super) fn update_gauge(context: &Context) {
    let count = i64::try_from(context.quarantine().len()).unwrap_or(i64::MAX);
    context.metrics.blocked_parts.set(count);
}
