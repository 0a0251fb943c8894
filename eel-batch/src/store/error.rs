//! Errors of operations on stored jobs.

use error_stack::Report;

/// The result of an operation on stored jobs.
pub type StoreResult<T> = Result<T, Report<Error>>;

/// The reason why an operation on stored jobs failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key-value service did not respond, or rejected the request.
    #[error("the key-value service gave no usable response")]
    Store,
    /// A stored value cannot be decoded, or a value cannot be encoded.
    #[error("a stored value is damaged")]
    Damaged,
}
