//! Writes the origins of this node's streams to the store.

use std::time::Duration;

use eel_origin::JournalWrite;
use eel_store::{KeyValue as _, Op, RejectReason, StoreError, StoreResult, Txn};
use error_stack::Report;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::retention_ms;
use crate::context::{Context, now_unix_ms};

/// The minimum time between two writes of a node, and the part of it for each other node.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);
const WRITE_INTERVAL_PER_PEER: Duration = Duration::from_micros(1_500);
/// The pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The interval of checks for keys that can be removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of keys removed in one transaction, which may have 32 entries.
const MAX_REMOVALS: usize = 30;

/// Writes the origins of streams as they are added; does not return.
pub(crate) async fn write_journal(context: &Context) {
    loop {
        let (now_ms, ttl_ms) = (context.clock.now_ms(), retention_ms(context));
        let next = context
            .origins
            .journal()
            .next_write(now_ms, now_unix_ms(), ttl_ms);
        let Some(write) = next else {
            let added = timeout(SWEEP_INTERVAL, context.origins.added.notified());
            if added.await.is_err() {
                remove_leftovers(context).await;
            }
            continue;
        };
        let started = Instant::now();
        match commit(context, &write).await {
            Ok(()) => {
                on_written(context, &write);
                context.on_store_response();
                sleep_until(started + write_interval(context)).await;
            }
            Err(error) => {
                let now_ms = context.clock.now_ms();
                context.origins.journal().on_failed(now_ms, &write);
                context.on_store_failure("record the origins of streams", error.current_context());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes old records that nodes left behind when they ended.
async fn remove_leftovers(context: &Context) {
    let (now_ms, ttl_ms) = (context.clock.now_ms(), retention_ms(context));
    let keys = context
        .origins
        .leftovers()
        .keys(now_ms, ttl_ms, MAX_REMOVALS);
    if keys.is_empty() {
        return;
    }
    let removals = keys.iter().cloned();
    let txn = Txn {
        success: removals.map(|key| Op::Delete { key }).collect(),
        ..Txn::default()
    };
    match context.store.commit(&txn).await {
        Ok(_) => context.origins.leftovers().on_removed(&keys),
        Err(error) => {
            context.on_store_failure("remove old origins of streams", error.current_context());
        }
    }
}

fn on_written(context: &Context, write: &JournalWrite) {
    let mut journal = context.origins.journal();
    journal.on_written(write);
    context.origins.stored.send_replace(journal.stored());
}

fn write_interval(context: &Context) -> Duration {
    let peers = u32::try_from(context.peers().receivers().count()).unwrap_or(u32::MAX);
    MIN_WRITE_INTERVAL.max(WRITE_INTERVAL_PER_PEER.saturating_mul(peers))
}

async fn commit(context: &Context, write: &JournalWrite) -> StoreResult<()> {
    let key = |sequence| {
        let keys = &context.origins.keys;
        keys.streams(&context.name, context.incarnation, sequence)
    };
    let put = write.record.as_ref().map(|(sequence, record)| {
        let value = record.encode();
        let value = value.ok_or(StoreError::Rejected(RejectReason::Invalid))?;
        Ok::<_, Report<StoreError>>(Op::put(key(*sequence), value))
    });
    let put = put.transpose()?;
    let removals = write.removed.iter();
    let removals = removals.map(|&sequence| Op::Delete { key: key(sequence) });
    let txn = Txn {
        success: put.into_iter().chain(removals).collect(),
        ..Txn::default()
    };
    context.store.commit(&txn).await?;
    Ok(())
}
