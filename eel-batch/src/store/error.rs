//! Errors of jobs kept in a key-value service.

use error_stack::Report;

/// The result of a call on kept jobs.
pub type StoreResult<T> = Result<T, Report<Error>>;

/// Why a call on kept jobs failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key-value service gave no usable answer.
    #[error("the key-value service gave no usable answer")]
    Store,
    /// A stored value can't be read or written.
    #[error("a stored value is damaged")]
    Damaged,
}
