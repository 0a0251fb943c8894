//! The interface to the platform's key-value service.

use std::future::Future;

use futures_util::Stream;

use crate::{
    Lease, LeaseId, RangeOutcome, RangeRequest, StoreResult, Txn, TxnOutcome, WatchEvent,
    WatchOptions,
};

/// A key-value service with revisions, compare-and-swap, leases and watches.
pub trait KeyValue: Send + Sync + 'static {
    /// The event stream of a watch; dropping it ends the watch.
    type Watch: Stream<Item = WatchEvent> + Send + Unpin;

    /// Reads a key or a range of keys at one revision.
    ///
    /// # Errors
    /// `Unavailable` if no endpoint responded; `Rejected` if the service refused the request.
    fn range(
        &self,
        request: &RangeRequest,
    ) -> impl Future<Output = StoreResult<RangeOutcome>> + Send;

    /// Evaluates the compares of `txn` and applies one of its branches, atomically.
    ///
    /// # Errors
    /// `NotApplied`, `MayHaveApplied` or `Rejected`; for a read-only transaction, the errors of [`range`](Self::range).
    fn commit(&self, txn: &Txn) -> impl Future<Output = StoreResult<TxnOutcome>> + Send;

    /// Grants a lease that expires after `ttl_ms` unless it is extended.
    ///
    /// # Errors
    /// As for [`commit`](Self::commit). A lease whose grant may have been applied expires on its own.
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

    /// Watches all keys with a prefix. The stream reconnects after outages and yields each change once, in order.
    fn watch(&self, options: WatchOptions) -> Self::Watch;
}
