//! Errors of the key-value service, by what they say about the store's state.

use error_stack::Report;

/// The result of a call to the key-value service.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// Why a call failed, and whether its write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The write did not take effect and never will; it may be sent again.
    #[error("the write was not applied")]
    NotApplied,
    /// No answer came back: the write may have taken effect, or may still do so.
    #[error("the write may have been applied")]
    MayHaveApplied,
    /// The service refused the call; sending it again unchanged is useless.
    #[error("the call was rejected: {0}")]
    Rejected(RejectReason),
    /// A read got no answer.
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

/// Why the service refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The lease does not exist or has expired.
    #[error("the lease is gone")]
    LeaseNotFound,
    /// The request exceeds the service's size limit.
    #[error("the request is too large")]
    TooLarge,
    /// The revision asked for has been compacted away.
    #[error("the revision has been compacted")]
    Compacted,
    /// The service did not understand or allow the request.
    #[error("the request is invalid")]
    Invalid,
}
