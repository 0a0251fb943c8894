//! Rotates the leases that claims are attached to.

use eel_store::{KeyValue, LeaseId, StoreResult};
use tokio::sync::Mutex;

/// The minimum time for which a claim is stored.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// The time after which new claims are attached to a new lease.
const ROTATION_INTERVAL_MS: u64 = 60 * 60 * 1_000;

#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: LeaseId,
    at_ms: u64,
}

/// The lease that new claims are attached to. It is never renewed, so the store deletes its claims when it expires.
#[derive(Debug, Default)]
pub(super) struct ClaimLease(Mutex<Option<Granted>>);

impl ClaimLease {
    /// Returns the current lease, or grants a new one if the rotation time has passed.
    ///
    /// # Errors
    ///
    /// The store's error if the grant fails.
    pub(super) async fn get(&self, now_ms: u64, store: &impl KeyValue) -> StoreResult<LeaseId> {
        let mut granted = self.0.lock().await;
        if let Some(granted) = *granted
            && now_ms < granted.at_ms + ROTATION_INTERVAL_MS
        {
            return Ok(granted.lease);
        }
        let lease = store
            .grant_lease(RETENTION_MS + ROTATION_INTERVAL_MS)
            .await?
            .id;
        *granted = Some(Granted {
            lease,
            at_ms: now_ms,
        });
        Ok(lease)
    }

    /// Discards the current lease after the store has rejected a write with it.
    pub(super) async fn discard(&self) {
        *self.0.lock().await = None;
    }
}
