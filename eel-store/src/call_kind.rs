//! What a call does to the store, which decides what a lost answer means.

use crate::StoreError;

/// What a call does to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

impl CallKind {
    /// Returns what it means that no answer came.
    #[must_use]
    pub fn no_response_error(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::MayHaveApplied,
        }
    }

    /// Returns what it means that the call was not sent, or that the service did nothing.
    #[must_use]
    pub fn not_executed_error(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::NotApplied,
        }
    }
}
