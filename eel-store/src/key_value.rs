//! The edge to the platform's key-value service.

use std::future::Future;

use futures_util::Stream;

use crate::{
    Lease, LeaseId, RangeOutcome, RangeRequest, StoreResult, Txn, TxnOutcome, WatchEvent,
    WatchOptions,
};

/// A key-value service with revisions, compare-and-swap, leases and watches.
pub trait KeyValue: Send + Sync + 'static {
    /// The events of one watch; dropping it ends the watch.
    type Watch: Stream<Item = WatchEvent> + Send + Unpin;

    /// Reads the pairs of a range at one revision.
    ///
    /// # Errors
    /// `Unavailable` if no endpoint answered; `Rejected` if the service refused.
    fn range(
        &self,
        request: &RangeRequest,
    ) -> impl Future<Output = StoreResult<RangeOutcome>> + Send;

    /// Applies one branch of `txn` atomically, chosen by its compares.
    ///
    /// # Errors
    /// `NotApplied`, `MayHaveApplied` or `Rejected`; a transaction that writes nothing fails like a read.
    fn commit(&self, txn: &Txn) -> impl Future<Output = StoreResult<TxnOutcome>> + Send;

    /// Grants a lease that expires after `ttl_ms` unless it is kept alive.
    ///
    /// # Errors
    /// As for [`commit`](Self::commit). A lease whose grant may have been applied expires by itself.
    fn grant_lease(&self, ttl_ms: u64) -> impl Future<Output = StoreResult<Lease>> + Send;

    /// Extends a lease to its full time to live.
    ///
    /// # Errors
    /// `Rejected(LeaseNotFound)` if it has expired; otherwise as for [`commit`](Self::commit).
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = StoreResult<Lease>> + Send;

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    /// `Rejected(LeaseNotFound)` if it has expired; otherwise as for [`commit`](Self::commit).
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = StoreResult<()>> + Send;

    /// Watches a prefix. Outages are bridged: the reader sees each change once, in order.
    fn watch(&self, options: WatchOptions) -> Self::Watch;
}
