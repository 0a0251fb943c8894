//! The interface through which batch job processing uses the rest of the entry node.

use std::future::Future;

use bytes::Bytes;
use eel_batch::{Method, Response};
use eel_types::{Attempt, Name};
use eel_verdict::Refusal;
use http::HeaderMap;
use tokio_util::sync::CancellationToken;

/// The properties of a service's record that apply to batch items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Whether every call may run more than once. A job can only restrict this.
    pub repeatable: bool,
}

/// One attempt to send an item to a target.
#[derive(Clone, Debug)]
pub struct ItemRequest {
    /// The caller that submitted the job.
    pub caller: Name,
    /// The name of the service.
    pub service: Name,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Identifies the item across attempts, for a service that detects resends.
    pub idempotency_key: Name,
    /// The number of the attempt among those of the current holder of the claim.
    pub attempt: Attempt,
    /// The HTTP method.
    pub method: Method,
    /// The path and query at the service.
    pub url: Name,
    /// The JSON body; empty if the item has none.
    pub body: Bytes,
    /// The deadline, in milliseconds of the process's monotonic clock.
    pub deadline_ms: u64,
    /// Cancelled to abort the item; [`Host::send`] then returns soon with a verdict.
    pub cancel: CancellationToken,
}

/// The services of the entry node that batch job processing needs.
pub trait Host: Send + Sync + 'static {
    /// Returns the name of the caller whose key `headers` carry.
    ///
    /// # Errors
    ///
    /// Refuses a missing or unknown key as not run.
    fn authenticate(&self, headers: &HeaderMap) -> Result<Name, Refusal>;

    /// Checks that `caller` may use `service` and returns the properties of the service's record.
    ///
    /// # Errors
    ///
    /// Refuses an unknown or forbidden service as not run.
    fn authorize(&self, caller: &Name, service: &Name) -> Result<ServicePolicy, Refusal>;

    /// Returns the number of batch items that may be sent to `service` now; 0 for an unknown service.
    fn credits(&self, service: &Name) -> u32;

    /// Sends one item of class batch to a target, without retries. Returns a refusal if there is no complete response.
    fn send(&self, request: ItemRequest) -> impl Future<Output = Result<Response, Refusal>> + Send;

    /// Returns the time of the process's monotonic clock, in milliseconds.
    fn now_ms(&self) -> u64;
}
