//! Lists results of items in the store, in chunks.

use std::time::Duration;

use eel_ledger::{JobKey, Ledger};
use eel_store::{KeyValue as _, StoreError, Txn};
use eel_types::Name;
use tokio::time::sleep;

use crate::{context::Context, store::load_job};

/// The interval between two rounds of the task that lists results.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// The pause before a write is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of transactions per round of listing.
const MAX_TRIES: u32 = 5;

/// Waits for the next round of listing; the wait is shorter while the node drains.
pub(super) async fn wait_for_round(context: &Context) {
    tokio::select! {
        () = sleep(LISTING_INTERVAL) => {}
        () = context.draining.cancelled() => sleep(RETRY_DELAY).await,
    }
}

/// Commits the transactions that `gather` returns until it returns none, at most [`MAX_TRIES`] times.
pub(super) async fn list(context: &Context, gather: impl Fn(&Ledger) -> Option<Txn>) {
    for _ in 0..MAX_TRIES {
        let gathered = gather(&context.ledger());
        let Some(txn) = gathered else {
            return;
        };
        match context.store.commit(&txn).await {
            Ok(outcome) if outcome.succeeded => {
                context.on_store_response();
                log_listed(context, &txn, outcome.revision.0);
                context.apply_own_write(&txn);
                context.on_change(outcome.revision);
            }
            Ok(_) => {
                context.on_store_response();
                reload_jobs(context, &txn).await;
            }
            Err(error) => {
                let error: StoreError = *error.current_context();
                context.on_store_failure("list results", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn log_listed(context: &Context, txn: &Txn, revision: u64) {
    let ledger = context.ledger();
    for (key, value) in txn.puts() {
        if let Some(JobKey::Chunk(job, number)) = ledger.keys().parse(key) {
            log::info!(
                target: "jobs", job, chunk = number, bytes = value.len(), revision;
                "Results were listed."
            );
        }
    }
}

/// Reads the jobs of a transaction that was not applied because a chunk of that number exists: another node listed it,
/// or this node did and the store's response was lost.
async fn reload_jobs(context: &Context, txn: &Txn) {
    for (key, _) in txn.puts() {
        let job = match context.ledger().keys().parse(key) {
            Some(JobKey::Chunk(job, _)) => Name::from(job),
            _ => continue,
        };
        if let Err(error) = load_job(context, &job).await {
            context.on_store_failure("read listed results", error.current_context());
        }
    }
}
