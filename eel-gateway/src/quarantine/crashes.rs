//! Finds out whether a target has ended as it began a response, and what that says about the request.

use std::sync::Arc;

use eel_fleet::TargetEntry;
use eel_quarantine::{Crash, PartSet, Scope};

use super::Suspects;
use crate::{
    context::Context,
    target::{Connection, OutgoingRequest},
};

/// Records that the response of `target` to a request or item failed as it began, if the target has ended as well.
pub(crate) async fn on_early_end(
    context: &Arc<Context>,
    target: &TargetEntry,
    outgoing: &Arc<OutgoingRequest>,
) {
    let suspects = &outgoing.suspects;
    if !suspects.of(Scope::Parts).parts.is_empty() {
        record_if_ended(context, target, outgoing).await;
    } else if !suspects.of(Scope::Requests).parts.is_empty() {
        // A request is not blamed before others that were broken off are known, so that its retry need not wait.
        let (context, target, outgoing) = (context.clone(), target.clone(), outgoing.clone());
        tokio::spawn(async move { record_if_ended(&context, &target, &outgoing).await });
    }
}

async fn record_if_ended(context: &Context, target: &TargetEntry, outgoing: &OutgoingRequest) {
    let suspects = &outgoing.suspects;
    // A target that accepts connections has only lost one of them.
    if Connection::open(target.address).await.is_ok() {
        return;
    }
    context.metrics.early_ends.inc();
    log::info!(
        target: "quarantine", request_id = outgoing.request_id.as_str(), target_id = target.id.as_str(),
        parts:% = PartSet::new(suspects.of(Scope::Parts).parts.clone()),
        request:% = PartSet::new(suspects.of(Scope::Requests).parts.clone());
        "A target ended as it began a response."
    );
    let now_ms = context.clock.now_ms();
    let parts = suspects.of(Scope::Parts);
    let is_explained = context.quarantine(Scope::Parts).blocks(parts);
    for scope in Scope::ALL {
        let prompt = suspects.of(scope);
        let is_other_cause = scope == Scope::Requests && is_explained;
        if prompt.parts.is_empty() || is_other_cause {
            continue;
        }
        let crash = Crash {
            target: target.incarnation(),
            prompt: prompt.clone(),
        };
        let blocked = context.quarantine(scope).on_crash(now_ms, crash);
        on_blocked(context, scope, &blocked);
    }
    context.quarantine_changed.notify_one();
}

/// Records a completed response.
pub(crate) fn on_completed(context: &Context, suspects: &Suspects) {
    for scope in Scope::ALL {
        on_survived(context, scope, suspects);
    }
}

/// Records a response that has gone on beyond its first events: its parts do not crash the target, whatever follows.
pub(crate) fn on_progress(context: &Context, suspects: &Suspects) {
    on_survived(context, Scope::Parts, suspects);
}

fn on_survived(context: &Context, scope: Scope, suspects: &Suspects) {
    let prompt = suspects.of(scope);
    if prompt.parts.is_empty() {
        return;
    }
    let now_ms = context.clock.now_ms();
    let mut quarantine = context.quarantine(scope);
    let lifted = quarantine.on_completed(now_ms, &prompt.parts);
    let has_news = quarantine.has_news();
    drop(quarantine);
    for parts in &lifted {
        log::warn!(target: "quarantine", scope = name_of(scope), parts:% = parts; "A target has responded to a blocked request; the block ends.");
    }
    if !lifted.is_empty() {
        update_gauge(context, scope);
    }
    if has_news {
        context.quarantine_changed.notify_one();
    }
}

/// Logs what is blocked from now on.
pub(super) fn on_blocked(context: &Context, scope: Scope, blocked: &[PartSet]) {
    if blocked.is_empty() {
        return;
    }
    for parts in blocked {
        match scope {
            Scope::Parts => {
                log::warn!(target: "quarantine", parts:% = parts; "Prompts with these parts crash targets; requests with all of them are rejected.");
            }
            Scope::Requests => {
                log::warn!(target: "quarantine", request:% = parts; "A request crashes targets; it is rejected when it comes again.");
            }
        }
    }
    update_gauge(context, scope);
}

/// Sets the metric of what is blocked.
pub(super) fn update_gauge(context: &Context, scope: Scope) {
    let count = i64::try_from(context.quarantine(scope).len()).unwrap_or(i64::MAX);
    let gauge = match scope {
        Scope::Parts => &context.metrics.blocked_parts,
        Scope::Requests => &context.metrics.blocked_requests,
    };
    gauge.set(count);
}

/// Returns the name of a scope in the log.
pub(super) fn name_of(scope: Scope) -> &'static str {
    match scope {
        Scope::Parts => "parts",
        Scope::Requests => "request",
    }
}
