//! What a call does to the store, which decides what a lost answer means.

use crate::StoreError;

/// What a call does to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It reads.
    Reads,
    /// It writes.
    Writes,
}

impl Effect {
    /// Returns what it means that no answer came.
    #[must_use]
    pub fn unanswered(self) -> StoreError {
        match self {
            Self::Reads => StoreError::Unavailable,
            Self::Writes => StoreError::MayHaveApplied,
        }
    }

    /// Returns what it means that the call was not sent, or that the service did nothing.
    #[must_use]
    pub fn not_done(self) -> StoreError {
        match self {
            Self::Reads => StoreError::Unavailable,
            Self::Writes => StoreError::NotApplied,
        }
    }
}
