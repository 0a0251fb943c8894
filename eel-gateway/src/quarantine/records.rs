//! Keeps what is blocked in the store, where restarted nodes find it.

use std::time::Duration;

use eel_quarantine::{PartSet, RecordUpdate, Scope, StoredBlock};
use eel_store::{Compare, KeyValue as _, KeyValuePair, Op, StoreResult, Txn};
use tokio::time::sleep;

use super::{
    admit::to_write,
    crashes::{name_of, on_blocked, update_gauge},
};
use crate::context::{Context, now_unix_ms};

const RECORDS: &str = "quarantine/";
/// Precedes the id in the key of a record of a request; nodes that know only records of parts ignore it.
const REQUEST: &str = "request-";
/// The interval of checks for blocks that are not in the store.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the prefix of the keys of all records.
pub(crate) fn key_prefix(prefix: &str) -> String {
    format!("{prefix}{RECORDS}")
}

pub(super) fn key(context: &Context, scope: Scope, id: u64) -> String {
    let kind = match scope {
        Scope::Parts => "",
        Scope::Requests => REQUEST,
    };
    format!("{}{kind}{id:016x}", key_prefix(&context.prefix))
}

/// Returns the scope and id of the set whose record is stored under `key`; `None` for other keys.
pub(crate) fn id_of(prefix: &str, key: &str) -> Option<(Scope, u64)> {
    let name = key.strip_prefix(prefix)?.strip_prefix(RECORDS)?;
    let (scope, id) = match name.strip_prefix(REQUEST) {
        Some(id) => (Scope::Requests, id),
        None => (Scope::Parts, name),
    };
    Some((scope, u64::from_str_radix(id, 16).ok()?))
}

/// Applies a record of the store.
pub(crate) fn on_record(context: &Context, scope: Scope, pair: &KeyValuePair) {
    let Some(record) = StoredBlock::decode(&pair.value) else {
        log::warn!(target: "quarantine", key = pair.key.as_str(); "Cannot decode a record of what is blocked.");
        return;
    };
    let now_ms = context.clock.now_ms();
    let revision = pair.mod_revision.0;
    let is_new = context
        .quarantine(scope)
        .on_stored(now_ms, &record, revision);
    if is_new {
        on_blocked(context, scope, &[record.parts]);
    }
}

/// Applies the removal of a record.
pub(crate) fn on_record_removed(context: &Context, scope: Scope, id: u64) {
    let now_ms = context.clock.now_ms();
    if context.quarantine(scope).on_removed(now_ms, id) {
        on_unblocked(context, scope);
    }
}

/// Ends the blocks whose records are missing from `listed`, which holds the ids of all records in the store.
pub(crate) fn retain_listed(context: &Context, listed: &[(Scope, u64)]) {
    let now_ms = context.clock.now_ms();
    for scope in Scope::ALL {
        let of_scope = listed.iter().filter(|(it, _)| *it == scope);
        let ids: Vec<u64> = of_scope.map(|&(_, id)| id).collect();
        if context.quarantine(scope).retain_listed(now_ms, &ids) {
            on_unblocked(context, scope);
        }
    }
}

fn on_unblocked(context: &Context, scope: Scope) {
    log::warn!(target: "quarantine", scope = name_of(scope); "The store has no record of a block any more; the block ends.");
    update_gauge(context, scope);
}

/// Writes what is blocked to the store and removes what is not blocked any more; does not return.
pub(crate) async fn keep_records(context: &Context) {
    loop {
        for scope in Scope::ALL {
            keep_records_of(context, scope).await;
        }
        sleep(STORE_INTERVAL).await;
    }
}

async fn keep_records_of(context: &Context, scope: Scope) {
    let now_ms = context.clock.now_ms();
    let unstored = context.quarantine(scope).unstored(now_ms);
    for parts in unstored {
        if let Err(error) = write(context, scope, parts).await {
            context.on_store_failure("store a block", error.current_context());
        }
    }
    let ended = context.quarantine(scope).ended_trials(now_unix_ms());
    for update in ended {
        if let Err(error) = write_end_of_trial(context, scope, &update).await {
            context.on_store_failure("store the end of a trial", error.current_context());
        }
    }
    let abandoned = context
        .quarantine(scope)
        .end_abandoned(now_ms, now_unix_ms());
    for parts in &abandoned {
        log::warn!(target: "quarantine", scope = name_of(scope), parts:% = parts; "No blocked request has come to be tried; the block ends.");
    }
    if !abandoned.is_empty() {
        update_gauge(context, scope);
    }
    let disproved = context.quarantine(scope).unremoved();
    for id in disproved {
        match remove(context, scope, id).await {
            Ok(()) => context.quarantine(scope).on_record_removed(id),
            Err(error) => context.on_store_failure("remove a block", error.current_context()),
        }
    }
}

/// Writes a record unless another node has written it.
async fn write(context: &Context, scope: Scope, parts: PartSet) -> StoreResult<()> {
    let key = key(context, scope, parts.id());
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
            .quarantine(scope)
            .on_stored(now_ms, &record, outcome.revision.0);
    }
    Ok(())
}

/// Writes when a request may be tried next, unless another node has changed the record.
async fn write_end_of_trial(
    context: &Context,
    scope: Scope,
    update: &RecordUpdate,
) -> StoreResult<()> {
    let (compare, put) = to_write(context, scope, update);
    let txn = Txn {
        compares: vec![compare],
        success: vec![put],
        ..Txn::default()
    };
    let outcome = context.store.commit(&txn).await?;
    let mut quarantine = context.quarantine(scope);
    quarantine.on_trial_end_stored(update.record.parts.id());
    if outcome.succeeded {
        let now_ms = context.clock.now_ms();
        quarantine.on_stored(now_ms, &update.record, outcome.revision.0);
    }
    Ok(())
}

async fn remove(context: &Context, scope: Scope, id: u64) -> StoreResult<()> {
    let txn = Txn {
        success: vec![Op::Delete {
            key: key(context, scope, id),
        }],
        ..Txn::default()
    };
    context.store.commit(&txn).await?;
    Ok(())
}
