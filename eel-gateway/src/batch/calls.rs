//! Calls about a submitted job: reading results, reading the body of an item, and ending the job.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eel_ledger::Job;
use eel_platform::encode_results;
use eel_store::{Compare, KeyValue as _, Op, StoreError, Txn};
use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use error_stack::Report;
use http::{HeaderValue, Response, StatusCode, header};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    context::Context,
    http::{Body, empty, full, refuse},
    store::{load_job, load_results},
};

/// How long writing the end of a job is retried.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// When a caller should retry at a node that cannot reach the store, in ms.
const RETRY_AFTER_MS: u64 = 500;

/// Responds with the results from position `from` on; waits up to `wait_ms` for the first one.
pub(crate) async fn results(
    context: &Arc<Context>,
    id: &str,
    tenant: Option<&Name>,
    from: usize,
    wait_ms: u64,
) -> Response<Body> {
    let arrived_ms = context.clock.now_ms();
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut changes = context.ledger_changes.subscribe();
    loop {
        if let Err(response) = ensure_owned(context, id, tenant).await {
            return response;
        }
        changes.mark_unchanged();
        if let Some(body) = new_results(context, id, from) {
            return json(body);
        }
        if Instant::now() >= until || !is_open(context, id) {
            return respond_without_new(context, id, from, arrived_ms).await;
        }
        // `changed` fails only if the sender is dropped, which lives as long as the context.
        let _ = timeout_at(until, changes.changed()).await;
    }
}

/// Responds to a call for which the ledger has no new result. Unless the ledger is recent, the results are read from the
/// store first.
async fn respond_without_new(
    context: &Context,
    id: &str,
    from: usize,
    arrived_ms: u64,
) -> Response<Body> {
    let is_recent = context.ledger().is_recent(arrived_ms);
    if !is_recent {
        context.metrics.result_reads.inc();
        log::debug!(target: "jobs", job = id, from; "The watch is behind; the results are read from the store.");
        if let Err(error) = load_results(context, id).await {
            return store_unavailable(context, &error);
        }
    }
    let ledger = context.ledger();
    let results = ledger.job(id).map(|job| encode_results(job, from));
    results.map_or_else(|| empty(StatusCode::NOT_FOUND), json)
}

/// Encodes the results from position `from` on; `None` if there are none yet.
fn new_results(context: &Context, id: &str, from: usize) -> Option<Vec<u8>> {
    let ledger = context.ledger();
    let job = ledger.job(id)?;
    (job.results().len() > from).then(|| encode_results(job, from))
}

/// Returns whether further results of the job can be listed.
fn is_open(context: &Context, id: &str) -> bool {
    context.ledger().job(id).is_some_and(Job::is_open)
}

/// Responds with the body of an item that has no result yet.
pub(crate) async fn item_body(
    context: &Arc<Context>,
    id: &str,
    tenant: Option<&Name>,
    item: &str,
) -> Response<Body> {
    if let Err(response) = ensure_owned(context, id, tenant).await {
        return response;
    }
    let ledger = context.ledger();
    let body = ledger.job(id).and_then(|job| open_body(job, item));
    body.map_or_else(
        || empty(StatusCode::NOT_FOUND),
        |body| Response::new(full(body)),
    )
}

fn open_body(job: &Job, id: &str) -> Option<Bytes> {
    let position = job.items().iter().position(|item| *item.id == *id)?;
    let index = u32::try_from(position).ok()?;
    let is_open = !job.is_ended() && !job.is_listed(index);
    is_open.then(|| job.items()[position].body.clone())
}

/// Ends a job; its items without a result are not run any further.
pub(crate) async fn end(context: &Arc<Context>, id: &str, tenant: Option<&Name>) -> Response<Body> {
    if let Err(response) = ensure_owned(context, id, tenant).await {
        return response;
    }
    let key = context.ledger().keys().end(id);
    let txn = Txn {
        compares: vec![Compare::Absent { key: key.clone() }],
        success: vec![Op::put(key, Bytes::new())],
        failure: Vec::new(),
    };
    let until = Instant::now() + END_TIMEOUT;
    loop {
        match context.store.commit(&txn).await {
            Ok(_) => {
                context.on_store_response();
                context.apply_own_write(&txn);
                log::info!(target: "jobs", job = id; "A job was ended by its caller.");
                return empty(StatusCode::OK);
            }
            Err(error) => {
                let error: StoreError = *error.current_context();
                context.on_store_failure("end a job", &error);
            }
        }
        if Instant::now() >= until {
            return refuse(&Refusal::may_have_run(Reason::DeadlineExceeded));
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the job from the store unless the ledger has it. Fails with the response to the caller if there is no such job
/// of its tenant or the store cannot be read.
pub(super) async fn ensure_owned(
    context: &Context,
    id: &str,
    tenant: Option<&Name>,
) -> Result<(), Response<Body>> {
    ensure_known(context, id).await?;
    let ledger = context.ledger();
    let head = ledger.job(id).and_then(Job::head);
    if head.is_some_and(|it| it.may_be_used_by(tenant)) {
        Ok(())
    } else {
        Err(empty(StatusCode::NOT_FOUND))
    }
}

async fn ensure_known(context: &Context, id: &str) -> Result<(), Response<Body>> {
    if is_known(context, id) {
        return Ok(());
    }
    match load_job(context, id).await {
        Ok(()) if is_known(context, id) => Ok(()),
        Ok(()) => Err(empty(StatusCode::NOT_FOUND)),
        Err(error) => Err(store_unavailable(context, &error)),
    }
}

fn store_unavailable(context: &Context, error: &Report<StoreError>) -> Response<Body> {
    context.on_store_failure("read a job", error.current_context());
    refuse(&Refusal::not_run(Reason::StoreUnavailable).retry_after(RETRY_AFTER_MS))
}

fn is_known(context: &Context, id: &str) -> bool {
    context
        .ledger()
        .job(id)
        .is_some_and(|job| job.head().is_some())
}

fn json(body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
