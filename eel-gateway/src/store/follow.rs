//! Follows everything that the store holds.

use std::time::Duration;

use eel_platform::WATCHED_PREFIX;
use eel_store::{KeyValue as _, RangeRequest, StoreResult, WatchEvent, WatchOptions};
use eel_types::Revision;
use futures_util::StreamExt as _;
use tokio::time::sleep;

use super::apply;
use crate::context::Context;

/// The pauses between two tries to read everything, doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Reads everything, then follows the changes, for ever.
pub(crate) async fn follow(context: &Context) {
    loop {
        let revision = read_all(context).await;
        let mut watch = context.store.watch(WatchOptions {
            prefix: WATCHED_PREFIX.into(),
            from_revision: Some(Revision(revision.0 + 1)),
        });
        while let Some(event) = watch.next().await {
            match event {
                WatchEvent::Put(pair) => apply::on_put(context, &pair),
                WatchEvent::Delete { key, .. } => apply::on_removed(context, &key),
                WatchEvent::Progress { .. } => context.on_store_answer(),
                WatchEvent::Compacted { .. } => break,
            }
        }
        log::info!(target: "store", "The store's history is gone; everything is read anew.");
    }
}

async fn read_all(context: &Context) -> Revision {
    let mut pause = FIRST_PAUSE;
    loop {
        match context
            .store
            .range(&RangeRequest::prefix(WATCHED_PREFIX))
            .await
        {
            Ok(outcome) => {
                context.on_store_answer();
                apply::retain_listed(context, &outcome.kvs);
                for pair in &outcome.kvs {
                    apply::on_put(context, pair);
                }
                return outcome.revision;
            }
            Err(error) => {
                context.on_store_failure("read everything", error.current_context());
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
