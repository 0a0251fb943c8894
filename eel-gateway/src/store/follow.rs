//! Reads the keys of the store and follows their changes.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_ledger::Job;
use eel_platform::{OPERATOR_AND_TARGET_PREFIXES, WATCHED_PREFIX};
use eel_store::{KeyValue as _, KeyValuePair, RangeRequest, StoreResult, WatchEvent, WatchOptions};
use eel_types::Revision;
use futures_util::StreamExt as _;
use tokio::time::sleep;

use super::apply;
use crate::{context::Context, quarantine};

/// The pauses between two tries of the initial read, doubled up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Reads the keys that the node needs and then follows the changes; does not return.
///
/// Routes, targets and nodes are read first: they are few, and requests wait for them. Jobs are read while the watch is
/// already running; a node that runs no items reads a job only when a call needs it.
pub(crate) async fn follow(context: &Context) {
    loop {
        let revision = read_with_retry(context, "read routes and targets", read_fleet).await;
        begin_jobs(context);
        tokio::select! {
            () = follow_changes(context, revision) => {}
            () = read_jobs(context) => {}
        }
        log::info!(target: "store", "The store has compacted the watched revision; all keys are read again.");
    }
}

/// Applies the changes after `revision`; returns when the store has compacted them.
async fn follow_changes(context: &Context, revision: Revision) {
    let mut watch = context.store.watch(WatchOptions {
        prefix: WATCHED_PREFIX.into(),
        from_revision: Some(Revision(revision.0 + 1)),
    });
    while let Some(event) = watch.next().await {
        match event {
            WatchEvent::Put(pair) => apply::on_put(context, &pair),
            WatchEvent::Delete { key, mod_revision } => {
                context.on_change(mod_revision);
                apply::on_delete(context, &key);
            }
            WatchEvent::Progress { asked_at, .. } => on_complete(context, asked_at),
            WatchEvent::Compacted { .. } => return,
        }
    }
}

/// Records that the watch has delivered all changes made before `asked_at`.
fn on_complete(context: &Context, asked_at: Option<Instant>) {
    context.on_store_response();
    if let Some(asked_at) = asked_at {
        context.ledger().on_complete(context.clock.ms_at(asked_at));
    }
}

/// Prepares the ledger for a watch that starts now and may have missed changes before.
fn begin_jobs(context: &Context) {
    let mut ledger = context.ledger();
    ledger.on_gap();
    if !context.runs_batch {
        // Calls read the jobs that they need again.
        ledger.clear();
    }
    drop(ledger);
    context.on_ledger_change();
}

/// Reads all jobs once if this node runs batch; does not return.
async fn read_jobs(context: &Context) {
    if context.runs_batch {
        read_with_retry(context, "read jobs", read_all_jobs).await;
        context.ledger().on_all_read();
        context.has_read_jobs.store(true, Ordering::Relaxed);
        context.batch_wake.notify_one();
    }
    std::future::pending::<()>().await;
}

/// Reads blocked parts, default versions, routes, targets and nodes; returns the revision of the first read, after which the watch has to
/// start.
async fn read_fleet(context: &Context) -> StoreResult<Revision> {
    let nodes = apply::node_key(&context.prefix, "");
    let blocked_parts = quarantine::key_prefix(&context.prefix);
    let default_versions = context.origins.all_defaults();
    let mut pairs = Vec::new();
    let mut first = None;
    // These come first: the routes let requests in.
    for prefix in [blocked_parts.as_str(), default_versions.as_str()]
        .into_iter()
        .chain(OPERATOR_AND_TARGET_PREFIXES)
        .chain([nodes.as_str()])
    {
        let outcome = context.store.range(&RangeRequest::prefix(prefix)).await?;
        first.get_or_insert(outcome.revision);
        pairs.extend(outcome.kvs);
    }
    apply::retain_listed(context, &pairs);
    for pair in &pairs {
        apply::on_put(context, pair);
    }
    Ok(first.unwrap_or_default())
}

async fn read_all_jobs(context: &Context) -> StoreResult<Revision> {
    let keys = context.ledger().keys().clone();
    // Saved progress is read last, when the jobs that it belongs to are known.
    for prefix in [keys.all_jobs(), keys.all_partials()] {
        let outcome = context.store.range(&RangeRequest::prefix(prefix)).await?;
        for pair in &outcome.kvs {
            apply::on_put(context, pair);
        }
    }
    Ok(Revision::default())
}

/// Repeats `read` until it succeeds; `what` names the operation in the log.
async fn read_with_retry(
    context: &Context,
    what: &'static str,
    read: impl AsyncFn(&Context) -> StoreResult<Revision>,
) -> Revision {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match read(context).await {
            Ok(revision) => {
                context.on_store_response();
                return revision;
            }
            Err(error) => {
                context.on_store_failure(what, error.current_context());
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads one job, for a call that arrives before the watch has delivered the job; again if the watch missed changes
/// meanwhile.
///
/// # Errors
///
/// The error of the store if it cannot be read.
pub(crate) async fn load_job(context: &Context, id: &str) -> StoreResult<()> {
    let request = RangeRequest::prefix(context.ledger().keys().job(id));
    loop {
        let mark = context.ledger().mark();
        let kvs = read_keys(context, &request).await?;
        if context.ledger().on_read(mark, to_pairs(&kvs)) {
            context.on_ledger_change();
            return Ok(());
        }
    }
}

/// Reads the results of a job that the ledger does not have yet, or the whole job if the ledger lost it meanwhile.
///
/// # Errors
///
/// The error of the store if they cannot be read.
pub(crate) async fn load_results(context: &Context, id: &str) -> StoreResult<()> {
    let (mark, request) = {
        let ledger = context.ledger();
        let last = ledger.job(id).and_then(Job::last_chunk);
        let request = RangeRequest {
            after: last.map(|number| ledger.keys().chunk(id, number)),
            ..RangeRequest::prefix(ledger.keys().results(id))
        };
        (ledger.mark(), request)
    };
    let kvs = read_keys(context, &request).await?;
    if !context.ledger().on_results_read(mark, id, to_pairs(&kvs)) {
        return load_job(context, id).await;
    }
    context.on_ledger_change();
    Ok(())
}

async fn read_keys(context: &Context, request: &RangeRequest) -> StoreResult<Vec<KeyValuePair>> {
    let outcome = context.store.range(request).await?;
    let newest = outcome.kvs.iter().map(|pair| pair.mod_revision).max();
    context.on_change(newest.unwrap_or_default());
    Ok(outcome.kvs)
}

fn to_pairs(kvs: &[KeyValuePair]) -> impl Iterator<Item = (&str, &Bytes)> {
    kvs.iter().map(|pair| (pair.key.as_str(), &pair.value))
}
