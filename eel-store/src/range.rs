//! Reads of the key-value service.

use bytes::Bytes;
use eel_types::Revision;

use crate::LeaseId;

/// A read of one key or of all keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeRequest {
    /// The key, or the prefix of the keys.
    pub key: String,
    /// Whether `key` is a prefix.
    pub is_prefix: bool,
    /// Start after this key, which has the prefix; for reading on where an earlier outcome said `more`.
    pub after: Option<String>,
    /// The most pairs to return; 0 for no limit.
    pub limit: u32,
    /// Return the number of pairs only.
    pub count_only: bool,
    /// Return the pairs without their values.
    pub keys_only: bool,
    /// Leave out pairs that were last changed before this revision.
    pub min_mod_revision: Option<Revision>,
    /// Read the state at this revision in place of the present one.
    pub revision: Option<Revision>,
}

impl RangeRequest {
    /// Reads one key.
    #[must_use]
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            ..Self::default()
        }
    }

    /// Reads all keys that start with `prefix`.
    #[must_use]
    pub fn prefix(prefix: impl Into<String>) -> Self {
        Self {
            key: prefix.into(),
            is_prefix: true,
            ..Self::default()
        }
    }
}

/// A key with its value and history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValuePair {
    /// The key.
    pub key: String,
    /// The value; empty if only keys were asked for.
    pub value: Bytes,
    /// The revision that created the key.
    pub create_revision: Revision,
    /// The revision that last changed the key.
    pub mod_revision: Revision,
    /// The number of changes since the key was created, starting at 1.
    pub version: u64,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// What a range held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeOutcome {
    /// The pairs in key order.
    pub kvs: Vec<KeyValuePair>,
    /// The store's revision at the read.
    pub revision: Revision,
    /// The number of keys in the range, whatever the limit.
    pub count: u64,
    /// Whether the limit left pairs out.
    pub more: bool,
}
