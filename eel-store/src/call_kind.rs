//! Read and write calls, which differ in the meaning of a lost response.

use crate::StoreError;

/// Whether a call changes the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call only reads.
    Read,
    /// The call may write.
    Write,
}

impl CallKind {
    /// Returns the error for a call that was sent but got no response.
    #[must_use]
    pub fn no_response_error(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::MayHaveApplied,
        }
    }

    /// Returns the error for a call that was not sent, or that the service certainly did not execute.
    #[must_use]
    pub fn not_executed_error(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::NotApplied,
        }
    }
}
