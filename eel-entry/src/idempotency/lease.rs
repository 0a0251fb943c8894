//! The leases that claims are attached to.

use eel_store::{KeyValue, LeaseId, StoreResult};
use tokio::sync::Mutex;

/// How long a claim is kept at the least.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long new claims are attached to one lease.
const ROTATION_MS: u64 = 60 * 60 * 1_000;

#[derive(Clone, Copy, Debug)]
struct Granted {
    lease: LeaseId,
    at_ms: u64,
}

/// The lease that new claims are attached to; it is never renewed, so that claims end with it.
#[derive(Debug, Default)]
pub(super) struct ClaimLease(Mutex<Option<Granted>>);

impl ClaimLease {
    /// Returns the present lease, or grants the next one.
    ///
    /// # Errors
    ///
    /// An error of the store.
    pub(super) async fn get(&self, now_ms: u64, store: &impl KeyValue) -> StoreResult<LeaseId> {
        let mut granted = self.0.lock().await;
        if let Some(granted) = *granted
            && now_ms < granted.at_ms + ROTATION_MS
        {
            return Ok(granted.lease);
        }
        let lease = store.grant_lease(RETENTION_MS + ROTATION_MS).await?.id;
        *granted = Some(Granted {
            lease,
            at_ms: now_ms,
        });
        Ok(lease)
    }

    /// Forgets the present lease, which the store may not know any more.
    pub(super) async fn discard(&self) {
        *self.0.lock().await = None;
    }
}
