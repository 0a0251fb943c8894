//! Transactions of the key-value service.

use bytes::Bytes;
use eel_types::Revision;

use crate::{LeaseId, RangeOutcome, RangeRequest};

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key exists.
    Exists {
        /// The key.
        key: String,
    },
    /// The key was last changed at `revision`.
    ModRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
    /// The key was created at `revision`.
    CreateRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: Revision,
    },
    /// The key holds `value`.
    Value {
        /// The key.
        key: String,
        /// The expected value.
        value: Bytes,
    },
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Bytes,
        /// The lease to attach the key to.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Deletes all keys that start with a prefix.
    DeletePrefix {
        /// The prefix.
        prefix: String,
    },
    /// Reads a range.
    Range(RangeRequest),
}

impl Op {
    /// Writes `value` to `key` without a lease.
    #[must_use]
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }
}

/// An atomic transaction: `success` if all compares hold, else `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions; none always hold.
    pub compares: Vec<Compare>,
    /// The operations if all conditions hold.
    pub success: Vec<Op>,
    /// The operations otherwise.
    pub failure: Vec<Op>,
}

impl Txn {
    /// Returns the keys and values that `success` writes.
    pub fn puts(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.success.iter().filter_map(|op| match op {
            Op::Put { key, value, .. } => Some((key.as_str(), value)),
            Op::Delete { .. } | Op::DeletePrefix { .. } | Op::Range(_) => None,
        })
    }

    /// Returns `true` if neither branch writes.
    #[must_use]
    pub fn is_read_only(&self) -> bool {
        self.success
            .iter()
            .chain(&self.failure)
            .all(|op| matches!(op, Op::Range(_)))
    }
}

/// What one operation did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpOutcome {
    /// A key was written.
    Put,
    /// Keys were deleted.
    Delete {
        /// The number of keys deleted.
        deleted: u64,
    },
    /// A range was read.
    Range(RangeOutcome),
}

/// What a transaction did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all compares held.
    pub succeeded: bool,
    /// The store's revision after the transaction: that of its writes, if it wrote.
    pub revision: Revision,
    /// The outcomes of the branch's operations, in order.
    pub responses: Vec<OpOutcome>,
}
