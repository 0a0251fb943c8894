//! Origins of streams as they are stored.

use eel_types::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a stream: a hash of the id of the caller's attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the stream that the attempt `attempt_id` begins.
    #[must_use]
    pub fn of(attempt_id: &str) -> Self {
        Self(xxh3_64(attempt_id.as_bytes()))
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The service whose target sent the first event.
    pub service: Name,
    /// The version of that target; empty if it announces none.
    pub version: Name,
}

/// Streams that a node has begun within about a second, as one value of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// When the value was written, by the clock of the node, which may be wrong. Nodes of earlier releases ignore old values.
    pub written_unix_ms: u64,
    /// The streams of each origin.
    pub streams: Vec<(Origin, Vec<StreamId>)>,
}

impl OriginRecord {
    /// Encodes the record as a store value; `None` if it cannot be encoded.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a store value; `None` if it is not a valid record.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// The default version of a service as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDefault {
    /// The service.
    pub service: Name,
    /// The version at which streams without a record began.
    pub version: Name,
}

impl StoredDefault {
    /// Encodes the value; `None` if it cannot be encoded.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a store value; `None` if it is not valid.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}
