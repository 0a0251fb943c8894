//! Keeps the blocked parts in the store, where restarted nodes find them.

use std::time::Duration;

use eel_quarantine::{PartSet, StoredBlock};
use eel_store::{Compare, KeyValue as _, KeyValuePair, Op, StoreResult, Txn};
use tokio::time::sleep;

use super::crashes::{on_blocked, update_gauge};
use crate::context::{Context, now_unix_ms};

const RECORDS: &str = "quarantine/";
/// The interval of checks for blocked parts that are not in the store.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the prefix of the keys of all records.
pub(crate) fn key_prefix(prefix: &str) -> String {
    format!("{prefix}{RECORDS}")
}

pub(super) fn key(context: &Context, id: u64) -> String {
    format!("{}{id:016x}", key_prefix(&context.prefix))
}

/// Returns the id of the set whose record is stored under `key`; `None` for other keys.
pub(crate) fn id_of(prefix: &str, key: &str) -> Option<u64> {
    let id = key.strip_prefix(prefix)?.strip_prefix(RECORDS)?;
    u64::from_str_radix(id, 16).ok()
}

/// Applies a record of the store.
pub(crate) fn on_record(context: &Context, pair: &KeyValuePair) {
    let Some(record) = StoredBlock::decode(&pair.value) else {
        log::warn!(target: "quarantine", key = pair.key.as_str(); "Cannot decode a record of blocked parts.");
        return;
    };
    let now_ms = context.clock.now_ms();
    let revision = pair.mod_revision.0;
    let is_new = context.quarantine().on_stored(now_ms, &record, revision);
    if is_new {
        on_blocked(context, &[record.parts]);
    }
}

/// Applies the removal of a record.
pub(crate) fn on_record_removed(context: &Context, id: u64) {
    let now_ms = context.clock.now_ms();
    if context.quarantine().on_removed(now_ms, id) {
        on_unblocked(context);
    }
}

/// Ceases to block the parts whose records are missing from `listed`, which holds the ids of all records in the store.
pub(crate) fn retain_listed(context: &Context, listed: &[u64]) {
    let now_ms = context.clock.now_ms();
    if context.quarantine().retain_listed(now_ms, listed) {
        on_unblocked(context);
    }
}

fn on_unblocked(context: &Context) {
    log::warn!(target: "quarantine", "The store has no record of blocked parts any more; they are not blocked any more.");
    update_gauge(context);
}

/// Writes blocked parts to the store and removes those that are not blocked any more; does not return.
pub(crate) async fn keep_records(context: &Context) {
    loop {
        let now_ms = context.clock.now_ms();
        let unstored = context.quarantine().unstored(now_ms);
        for parts in unstored {
            if let Err(error) = write(context, parts).await {
                context.on_store_failure("store blocked parts", error.current_context());
            }
        }
        let disproved = context.quarantine().unremoved();
        for id in disproved {
            match remove(context, id).await {
                Ok(()) => context.quarantine().on_record_removed(id),
                Err(error) => {
                    context.on_store_failure("remove blocked parts", error.current_context());
                }
            }
        }
        sleep(STORE_INTERVAL).await;
    }
}

/// Writes a record unless another node has written it.
async fn write(context: &Context, parts: PartSet) -> StoreResult<()> {
    let key = key(context, parts.id());
    let record = StoredBlock::new(now_unix_ms(), parts);
    let txn = Txn {
        compares: vec![Compare::Absent { key: key.clone() }],
        success: vec![Op::put(key, record.encode())],
        ..Txn::default()
    };
    let outcome = context.store.commit(&txn).await?;
    if outcome.succeeded {
        let now_ms = context.clock.now_ms();
        context
            .quarantine()
            .on_stored(now_ms, &record, outcome.revision.0);
    }
    Ok(())
}

async fn remove(context: &Context, id: u64) -> StoreResult<()> {
    let txn = Txn {
        success: vec![Op::Delete {
            key: key(context, id),
        }],
        ..Txn::default()
    };
    context.store.commit(&txn).await?;
    Ok(())
}
