//! Keeps the node's own entry in the store under a lease.

use std::time::Duration;

use eel_fleet::NodeEntry;
use eel_store::{KeyValue as _, Lease, LeaseId, Op, RejectReason, StoreError, StoreResult, Txn};
use tokio::time::{Instant, sleep, sleep_until};

use super::apply::node_key;
use crate::context::Context;

/// The minimum number of renewals per TTL of the lease.
const RENEWALS_PER_TTL: u64 = 3;
/// The maximum time between two renewals: peers tell by them whether the store is away.
const MAX_RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// The pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the node's entry in the store until the node drains, then revokes its lease.
pub(crate) async fn keep_entry(context: &Context, entry: &NodeEntry, ttl_ms: u64) {
    let mut lease: Option<LeaseId> = None;
    let interval = Duration::from_millis(ttl_ms / RENEWALS_PER_TTL).min(MAX_RENEWAL_INTERVAL);
    while !context.draining.is_cancelled() {
        let next = Instant::now() + interval;
        let kept = match lease {
            Some(id) => context.store.keep_alive(id).await,
            None => publish(context, entry, ttl_ms).await,
        };
        match kept {
            Ok(kept) => {
                context.on_store_response();
                context.on_lease_renewed();
                lease = Some(kept.id);
            }
            Err(error) if is_lease_not_found(*error.current_context()) => {
                context.on_store_response();
                context.on_lease_renewed();
                log::warn!(target: "store", "The node's lease has expired; its entry is written again.");
                lease = None;
                continue;
            }
            Err(error) => {
                context.on_store_failure("renew the node's entry", error.current_context());
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        tokio::select! {
            () = sleep_until(next) => {}
            () = context.entry_lost.notified() => lease = None,
            () = context.draining.cancelled() => {}
        }
    }
    if let Some(lease) = lease {
        revoke_lease(context, lease).await;
    }
}

/// Revokes the node's lease, so that other nodes take over its jobs at once.
async fn revoke_lease(context: &Context, lease: LeaseId) {
    if let Err(error) = context.store.revoke(lease).await {
        log::warn!(target: "store", error:% = error.current_context(); "Cannot revoke the node's lease; its entry stays until the lease expires.");
    }
}

async fn publish(context: &Context, entry: &NodeEntry, ttl_ms: u64) -> StoreResult<Lease> {
    let lease = context.store.grant_lease(ttl_ms).await?;
    let put = Op::Put {
        key: node_key(&context.prefix, &context.name),
        value: entry.encode().into(),
        lease: Some(lease.id),
    };
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    context.store.commit(&txn).await?;
    Ok(lease)
}

fn is_lease_not_found(error: StoreError) -> bool {
    matches!(error, StoreError::Rejected(RejectReason::LeaseNotFound))
}
