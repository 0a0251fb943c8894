//! What the rest of the entry node gives to the batch part.

use std::future::Future;

use bytes::Bytes;
use eel_batch::{Method, Response};
use eel_types::{Attempt, Name};
use eel_verdict::Refusal;
use http::HeaderMap;
use tokio_util::sync::CancellationToken;

/// What a service's record says about batch items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Whether every call may run more than once; a caller can only narrow this.
    pub repeatable: bool,
}

/// One item on its way to a target.
#[derive(Clone, Debug)]
pub struct ItemRequest {
    /// Who submitted the job.
    pub caller: Name,
    /// The service.
    pub service: Name,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Names the item the same at each attempt, for a service that recognises resends.
    pub idempotency_key: Name,
    /// Counts the sends by this holder.
    pub attempt: Attempt,
    /// The HTTP method.
    pub method: Method,
    /// The path at the service.
    pub url: Name,
    /// The JSON body.
    pub body: Bytes,
    /// When the item must have ended, in monotonic milliseconds of the process.
    pub deadline_ms: u64,
    /// Cancelled when the item should be cut off; `send` then ends soon with a verdict.
    pub cancel: CancellationToken,
}

/// The entry node as the batch part sees it.
pub trait Host: Send + Sync + 'static {
    /// Returns the caller whose key `headers` carry.
    ///
    /// # Errors
    ///
    /// Refuses an unknown key as not run.
    fn authenticate(&self, headers: &HeaderMap) -> Result<Name, Refusal>;

    /// Checks that `caller` may use `service` and returns what the service's record says.
    ///
    /// # Errors
    ///
    /// Refuses an unknown or forbidden service as not run.
    fn authorize(&self, caller: &Name, service: &Name) -> Result<ServicePolicy, Refusal>;

    /// Returns how many batch items may be sent to `service` now.
    fn credits(&self, service: &Name) -> u32;

    /// Sends one item of class batch to a target, once.
    fn send(&self, request: ItemRequest) -> impl Future<Output = Result<Response, Refusal>> + Send;

    /// Returns the monotonic time of the process.
    fn now_ms(&self) -> u64;
}
