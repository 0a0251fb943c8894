//! Maintains the lease of an entry node, to which all its claims on chunks are attached.

use std::{sync::Arc, time::Duration};

use eel_store::{KeyValue, LeaseId, RejectReason, StoreError};
use tokio::sync::watch;

use crate::{Host, JobNode};

/// The delay after a failed grant or extension.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A granted lease and the time until which the node may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// The time at which work under the lease must stop, in milliseconds of the monotonic clock.
    pub(crate) hold_until_ms: u64,
}

/// Grants and extends a lease and publishes it; `None` while there is none. Never returns.
pub(crate) async fn maintain<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    lease: &watch::Sender<Option<HeldLease>>,
) {
    let store = node.jobs.store();
    loop {
        let requested_at_ms = node.now_ms();
        let Ok(granted) = store.grant_lease(node.options.lease_ttl_ms).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        log::info!(target: "jobs", "Lease {} was granted.", granted.id);
        let held = HeldLease {
            id: granted.id,
            hold_until_ms: hold_until_ms(requested_at_ms, granted.ttl_ms),
        };
        lease.send_replace(Some(held));
        node.metrics.lease_held.set(1);
        extend(node, lease, held, granted.ttl_ms).await;
        lease.send_replace(None);
        node.metrics.lease_held.set(0);
        log::warn!(target: "jobs", "Lease {} was lost.", granted.id);
    }
}

/// Extends the lease until it may no longer be relied on or the store does not know it any more.
async fn extend<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    lease: &watch::Sender<Option<HeldLease>>,
    mut held: HeldLease,
    ttl_ms: u64,
) {
    let mut pause = Duration::from_millis(ttl_ms / 3);
    loop {
        tokio::time::sleep(pause).await;
        let requested_at_ms = node.now_ms();
        if requested_at_ms >= held.hold_until_ms {
            return;
        }
        match node.jobs.store().keep_alive(held.id).await {
            Ok(extended) => {
                held.hold_until_ms = hold_until_ms(requested_at_ms, extended.ttl_ms);
                pause = Duration::from_millis(extended.ttl_ms / 3);
                lease.send_replace(Some(held));
            }
            Err(error) => {
                let not_found = StoreError::Rejected(RejectReason::LeaseNotFound);
                if *error.current_context() == not_found {
                    return;
                }
                pause = RETRY_DELAY;
            }
        }
    }
}

/// Returns the time until which the lease is relied on. A quarter of the time to live is left as a margin for clock
/// drift and messages in transit.
fn hold_until_ms(requested_at_ms: u64, ttl_ms: u64) -> u64 {
    requested_at_ms + ttl_ms - ttl_ms / 4
}
