//! Range reads of the key-value service.

use bytes::Bytes;
use eel_types::Revision;

use crate::LeaseId;

/// A request for one key or for all keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeRequest {
    /// The key, or the key prefix if `is_prefix` is set.
    pub key: String,
    /// Whether `key` is a prefix.
    pub is_prefix: bool,
    /// Return only keys after this one, which must have the prefix. Pass the last key of the previous outcome to read
    /// the next page.
    pub after: Option<String>,
    /// The maximum number of pairs to return; 0 for no limit.
    pub limit: u32,
    /// Return only the number of pairs.
    pub count_only: bool,
    /// Return the pairs without their values.
    pub keys_only: bool,
    /// Return only pairs that were last changed at this revision or later.
    pub min_mod_revision: Option<Revision>,
    /// Read the state at this revision instead of the current one.
    pub revision: Option<Revision>,
}

impl RangeRequest {
    /// Creates a request for one key.
    #[must_use]
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            ..Self::default()
        }
    }

    /// Creates a request for all keys that start with `prefix`.
    #[must_use]
    pub fn prefix(prefix: impl Into<String>) -> Self {
        Self {
            key: prefix.into(),
            is_prefix: true,
            ..Self::default()
        }
    }
}

/// A key with its value, revisions and lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValuePair {
    /// The complete key, including its prefix.
    pub key: String,
    /// The value; empty if the request has `keys_only` set.
    pub value: Bytes,
    /// The revision of the write that created the key.
    pub create_revision: Revision,
    /// The revision of the last write to the key.
    pub mod_revision: Revision,
    /// The number of writes since the key was created, including the creation.
    pub version: u64,
    /// The lease that the key is attached to, if any.
    pub lease: Option<LeaseId>,
}

/// The result of a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeOutcome {
    /// The pairs, ordered by key.
    pub kvs: Vec<KeyValuePair>,
    /// The store revision at the time of the read.
    pub revision: Revision,
    /// The total number of keys in the range, regardless of the limit.
    pub count: u64,
    /// Whether the limit truncated the result.
    pub more: bool,
}
