//! Saves the progress of items in the store, so that another node can resume them.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use eel_ledger::Piece;
use eel_store::{KeyValue as _, Op, Txn};

use crate::context::Context;

/// The maximum number of keys removed in one transaction, which may have 32 entries.
pub(super) const MAX_REMOVALS: usize = 30;
/// The minimum number of removable keys for a transaction that writes no progress.
const MIN_REMOVALS_ALONE: usize = 15;

/// Writes pieces of progress and removes `dropped` keys and those whose items have all ended. Returns the key of the pieces if
/// they were written.
pub(super) async fn save(
    context: &Context,
    pieces: &[Piece],
    dropped: &[String],
) -> Option<String> {
    let mut removed = removable(context);
    if pieces.is_empty() && dropped.is_empty() && removed.len() < MIN_REMOVALS_ALONE {
        return None;
    }
    removed.retain(|key| !dropped.contains(key));
    let removed: Vec<&String> = dropped.iter().chain(&removed).take(MAX_REMOVALS).collect();
    let Some(value) = Piece::encode_all(pieces).map(Bytes::from) else {
        log::error!(target: "jobs", pieces = pieces.len(); "Cannot encode the progress of items.");
        return None;
    };
    let sequence = context.save_sequence.fetch_add(1, Ordering::Relaxed);
    let key = context
        .ledger()
        .keys()
        .partial(&context.name, context.incarnation, sequence);
    let put = (!pieces.is_empty()).then(|| Op::put(key.clone(), value.clone()));
    let removals = removed.iter().map(|key| Op::Delete {
        key: (*key).clone(),
    });
    let txn = Txn {
        success: put.into_iter().chain(removals).collect(),
        ..Txn::default()
    };
    if let Err(error) = context.store.commit(&txn).await {
        context.on_store_failure("save the progress of items", error.current_context());
        return None;
    }
    context.on_store_response();
    let mut partials = context.partials();
    for key in removed {
        partials.on_removed(key);
    }
    if !pieces.is_empty() {
        // The value was encoded here, so that it can be decoded.
        partials.on_put(&key, &value);
    }
    Some(key)
}

/// Returns keys of ended items that this node wrote, or that it owns in place of a node that is no longer live.
fn removable(context: &Context) -> Vec<String> {
    let now_ms = context.clock.now_ms();
    let ledger = context.ledger();
    let ended = context.partials().ended(&ledger, MAX_REMOVALS);
    let keys = ledger.keys().clone();
    drop(ledger);
    let is_mine = |key: &String| {
        keys.partial_writer(key).is_some_and(|writer| {
            let is_gone = || !context.peers().is_live(now_ms, writer);
            *writer == *context.name || (is_gone() && context.is_owner_of(key))
        })
    };
    ended.into_iter().filter(is_mine).collect()
}
