//! Follows everything that the store holds.

use std::{sync::atomic::Ordering, time::Duration};

use eel_platform::{OPERATOR_AND_TARGET_PREFIXES, WATCHED_PREFIX};
use eel_store::{KeyValue as _, RangeRequest, StoreResult, WatchEvent, WatchOptions};
use eel_types::Revision;
use futures_util::StreamExt as _;
use tokio::time::sleep;

use super::apply;
use crate::context::Context;

/// The pauses between two tries to read everything, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Reads what the node needs, then follows the changes, for ever.
///
/// Routes, targets and nodes come first: they are few, and requests wait for them. Jobs follow while the watch runs
/// already; a node that runs no items reads a job only when a call asks for it.
pub(crate) async fn follow(context: &Context) {
    loop {
        let revision = until_read(context, "read routes and targets", read_fleet).await;
        tokio::select! {
            () = follow_changes(context, revision) => {}
            () = read_jobs(context) => {}
        }
        log::info!(target: "store", "The store's history is gone; everything is read anew.");
    }
}

/// Follows the changes after `revision`, until the store does not have them any more.
async fn follow_changes(context: &Context, revision: Revision) {
    let mut watch = context.store.watch(WatchOptions {
        prefix: WATCHED_PREFIX.into(),
        from_revision: Some(Revision(revision.0 + 1)),
    });
    while let Some(event) = watch.next().await {
        match event {
            WatchEvent::Put(pair) => apply::on_put(context, &pair),
            WatchEvent::Delete { key, mod_revision } => {
                context.lag().on_change(mod_revision);
                apply::on_removed(context, &key);
            }
            WatchEvent::Progress { revision } => {
                context.lag().on_complete(revision);
                context.on_store_answer();
            }
            WatchEvent::Compacted { .. } => return,
        }
    }
}

/// Reads all jobs once, and then never ends.
async fn read_jobs(context: &Context) {
    if context.runs_batch {
        until_read(context, "read jobs", read_all_jobs).await;
        context.has_read_jobs.store(true, Ordering::Relaxed);
        context.batch_wake.notify_one();
    } else {
        // Changes may have been missed, so what is known of jobs may have gaps. Calls read what they need anew.
        context.ledger().clear();
        context.on_ledger_change();
    }
    std::future::pending::<()>().await;
}

/// Reads routes, targets and nodes; returns the revision of the first read.
async fn read_fleet(context: &Context) -> StoreResult<Revision> {
    let nodes = apply::node_key(&context.prefix, "");
    let mut pairs = Vec::new();
    let mut first = None;
    for prefix in OPERATOR_AND_TARGET_PREFIXES
        .into_iter()
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
    // Pieces of text come last: by then the jobs that they belong to are known.
    for prefix in [keys.all_jobs(), keys.all_partials()] {
        let outcome = context.store.range(&RangeRequest::prefix(prefix)).await?;
        for pair in &outcome.kvs {
            apply::on_put(context, pair);
        }
    }
    Ok(Revision::default())
}

/// Repeats `read` until the store answers.
async fn until_read(
    context: &Context,
    what: &'static str,
    read: impl AsyncFn(&Context) -> StoreResult<Revision>,
) -> Revision {
    let mut pause = FIRST_PAUSE;
    loop {
        match read(context).await {
            Ok(revision) => {
                context.on_store_answer();
                return revision;
            }
            Err(error) => {
                context.on_store_failure(what, error.current_context());
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads one job, for a call that comes before the watch has brought it.
///
/// # Errors
///
/// If the store does not answer.
pub(crate) async fn load_job(context: &Context, id: &str) -> StoreResult<()> {
    let prefix = context.ledger().keys().job(id);
    let outcome = context.store.range(&RangeRequest::prefix(prefix)).await?;
    for pair in &outcome.kvs {
        apply::on_put(context, pair);
    }
    Ok(())
}
