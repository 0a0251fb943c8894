//! Transactions of the key-value service.

use bytes::Bytes;
use eel_types::Revision;

use crate::{LeaseId, RangeOutcome, RangeRequest};

/// A condition on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// The key to compare.
        key: String,
    },
    /// The key exists.
    Exists {
        /// The key to compare.
        key: String,
    },
    /// The last write to the key was at `revision`.
    ModRevision {
        /// The key to compare.
        key: String,
        /// The revision that the key must have.
        revision: Revision,
    },
    /// The key was created at `revision`.
    CreateRevision {
        /// The key to compare.
        key: String,
        /// The revision that the key must have.
        revision: Revision,
    },
    /// The key holds `value`.
    Value {
        /// The key to compare.
        key: String,
        /// The value that the key must have.
        value: Bytes,
    },
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key, whether it exists or not.
    Put {
        /// The key to write.
        key: String,
        /// The new value.
        value: Bytes,
        /// The lease to attach the key to, if any.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if it exists.
    Delete {
        /// The key to delete.
        key: String,
    },
    /// Deletes all keys that start with a prefix.
    DeletePrefix {
        /// The prefix of the keys to delete.
        prefix: String,
    },
    /// Reads a key or a range of keys.
    Range(RangeRequest),
}

impl Op {
    /// Creates a write of `value` to `key` without a lease.
    #[must_use]
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }
}

/// An atomic transaction: applies `success` if all compares hold, otherwise `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions; an empty list always holds.
    pub compares: Vec<Compare>,
    /// The operations to apply if all conditions hold.
    pub success: Vec<Op>,
    /// The operations to apply otherwise.
    pub failure: Vec<Op>,
}

impl Txn {
    /// Returns the keys and values that the `success` branch writes.
    pub fn puts(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.success.iter().filter_map(|op| match op {
            Op::Put { key, value, .. } => Some((key.as_str(), value)),
            Op::Delete { .. } | Op::DeletePrefix { .. } | Op::Range(_) => None,
        })
    }

    /// Returns `true` if neither branch writes or deletes.
    #[must_use]
    pub fn is_read_only(&self) -> bool {
        self.success
            .iter()
            .chain(&self.failure)
            .all(|op| matches!(op, Op::Range(_)))
    }
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpOutcome {
    /// A key was written.
    Put,
    /// Keys were deleted.
    Delete {
        /// The number of keys deleted.
        deleted: u64,
    },
    /// The pairs that were read.
    Range(RangeOutcome),
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all compares held, so that the `success` branch was applied.
    pub succeeded: bool,
    /// The store revision after the transaction; the revision of its writes if it wrote.
    pub revision: Revision,
    /// The results of the operations of the applied branch, in order.
    pub responses: Vec<OpOutcome>,
}
