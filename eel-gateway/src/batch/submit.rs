//! Accepts batch jobs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eel_ledger::{Item, JobHead, submission};
use eel_platform::{caller_fields, decode_job};
use eel_store::{KeyValue as _, StoreError, Txn};
use eel_table::{Route, Tenant};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use http::{HeaderMap, Response, StatusCode, header};
use tokio::time::sleep;

use super::calls::ensure_owned;
use crate::{
    context::{Context, now_unix_ms},
    http::{Body, empty, full, refuse},
};

/// The time limits that a route sets for the items of a job, counted from its submission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobTimes {
    pub(crate) due_ms: u64,
    pub(crate) give_up_ms: u64,
}

/// How long before the caller's deadline the final response is sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// The pause before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// When a caller whose job was not stored should retry, in ms.
const RETRY_AFTER_MS: u64 = 500;
/// When a caller should retry if another node can store its job, in ms.
const OTHER_NODE_RETRY_AFTER_MS: u64 = 50;
/// The maximum length of a job's id: a key of the store has at most 200 bytes.
const MAX_ID_BYTES: usize = 100;

/// Stores a job and accepts it, or refuses it with a verdict on whether it may have been stored.
pub(crate) async fn submit(
    context: &Arc<Context>,
    route: &Route,
    times: JobTimes,
    tenant: Option<Arc<Tenant>>,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<Body> {
    let fields = caller_fields(headers);
    let id = fields
        .request_id
        .filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES && !id.contains('/'));
    let bad_request = Refusal::not_run(Reason::BadRequest);
    let Some(id) = id else {
        return refuse(&bad_request);
    };
    let items = match decode_job(body) {
        Ok(items) => items,
        Err(error) => {
            log::info!(target: "jobs", job = id.as_str(), error:% = error; "A job is not valid.");
            let mut response = refuse(&bad_request);
            *response.body_mut() = full(format!("{bad_request}: {error}\n"));
            return response;
        }
    };
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or(route.host.as_str());
    let tenant = tenant.as_ref().map(|it| &it.name);
    let head = new_head(route, times, tenant, host);
    let txn = match submission(context.ledger().keys(), &id, head, &items) {
        Ok(txn) => txn,
        Err(error) => {
            log::warn!(target: "jobs", job = id.as_str(), error:% = error; "Cannot store a job.");
            return refuse(&Refusal::not_run(Reason::TooLarge));
        }
    };
    let allowed_ms = fields.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let until = Instant::now() + Duration::from_millis(allowed_ms).saturating_sub(DEADLINE_MARGIN);
    if context.may_end_before(until) {
        return refuse(&Refusal::not_run(Reason::Leaving));
    }
    let response = match store(context, &txn, until).await {
        Ok(true) => {
            context.apply_own_write(&txn);
            empty(StatusCode::ACCEPTED)
        }
        Ok(false) => on_repeat(context, &id, tenant).await,
        Err(refusal) => refuse(&refusal),
    };
    log_submission(&id, &items, &response);
    response
}

/// Responds to a job whose id was accepted before, which another tenant may have used.
async fn on_repeat(context: &Context, id: &str, tenant: Option<&Name>) -> Response<Body> {
    if tenant.is_none() {
        return empty(StatusCode::ACCEPTED);
    }
    match ensure_owned(context, id, tenant).await {
        Ok(()) => empty(StatusCode::ACCEPTED),
        Err(response) if response.status() == StatusCode::NOT_FOUND => {
            log::info!(target: "jobs", job = id; "The id of a job belongs to a job of another tenant.");
            response
        }
        // The job may be the caller's own, which was accepted.
        Err(_) => refuse(&Refusal::may_have_run(Reason::DeadlineExceeded)),
    }
}

fn new_head(route: &Route, times: JobTimes, tenant: Option<&Name>, host: &str) -> JobHead {
    let now_unix_ms = now_unix_ms();
    JobHead {
        host: host.into(),
        submitted_unix_ms: now_unix_ms,
        due_unix_ms: now_unix_ms + times.due_ms,
        give_up_unix_ms: now_unix_ms + times.give_up_ms,
        max_attempts: route.max_attempts,
        items: 0,
        parts: 0,
        tenant: tenant.cloned(),
    }
}

/// Writes the job; returns `false` if it already exists.
///
/// A write whose response was lost is retried; its condition lets it take effect only once. The refusal has the verdict
/// "not run" only if no try can have been applied.
async fn store(context: &Context, txn: &Txn, until: Instant) -> Result<bool, Refusal> {
    let mut may_be_stored = false;
    while !is_storable_elsewhere(context, may_be_stored) {
        match context.store.commit(txn).await {
            Ok(outcome) => {
                context.on_store_response();
                return Ok(outcome.succeeded);
            }
            Err(error) => {
                let error = *error.current_context();
                may_be_stored |= error == StoreError::MayHaveApplied;
                context.on_store_failure("accept a job", &error);
                if matches!(error, StoreError::Rejected(_)) {
                    break;
                }
            }
        }
        if Instant::now() + RETRY_DELAY >= until {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    Err(if may_be_stored {
        Refusal::may_have_run(Reason::DeadlineExceeded)
    } else {
        let retry_after_ms = if is_storable_elsewhere(context, false) {
            OTHER_NODE_RETRY_AFTER_MS
        } else {
            RETRY_AFTER_MS
        };
        Refusal::not_run(Reason::StoreUnavailable).retry_after(retry_after_ms)
    })
}

/// Returns whether the job cannot have been stored and another node reaches the store while this one does not.
fn is_storable_elsewhere(context: &Context, may_be_stored: bool) -> bool {
    let now_ms = context.clock.now_ms();
    !may_be_stored && context.is_store_failing() && context.peers().is_store_reachable(now_ms)
}

fn log_submission(id: &str, items: &[Item], response: &Response<Body>) {
    log::info!(
        target: "jobs", job = id, items = items.len(), status = response.status().as_u16();
        "A job was decided."
    );
}
