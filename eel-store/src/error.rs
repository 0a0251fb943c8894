//! Errors of the key-value service, classified by their possible effect on the store.

use error_stack::Report;

/// The result of a call to the key-value service.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// Reasons why a call fails, and whether its write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The write did not take effect and never will; it is safe to retry.
    #[error("the write was not applied")]
    NotApplied,
    /// No response came back: the write may have taken effect, or may still do so.
    #[error("the write may have been applied")]
    MayHaveApplied,
    /// The service refused the call; a retry without changes fails as well.
    #[error("the store rejected the call: {0}")]
    Rejected(RejectReason),
    /// A read got no response.
    #[error("the store is unavailable")]
    Unavailable,
}

impl StoreError {
    /// Returns `true` if a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_applied(self) -> bool {
        matches!(self, Self::MayHaveApplied)
    }
}

/// Reasons why the service refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The lease does not exist or has expired.
    #[error("the lease does not exist or has expired")]
    LeaseNotFound,
    /// The request exceeds the service's size limit.
    #[error("the request is too large")]
    TooLarge,
    /// The requested revision has been compacted.
    #[error("the requested revision has been compacted")]
    Compacted,
    /// The request is malformed or not permitted.
    #[error("the request is malformed or not permitted")]
    Invalid,
}
